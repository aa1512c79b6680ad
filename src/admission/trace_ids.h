// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_TRACE_IDS_H_
#define IVYPOST_ADMISSION_TRACE_IDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "admission/time.h"

namespace ivypost::admission {

/// The trace ids in use: those of open requests, and of requests that were closed recently. The ids of closed
/// requests count as in use since a duplicate of an open request may be read only after that request is
/// closed: without this, the attempts of the duplicate would be mistaken for those of the first request. No
/// I/O and no clock.
///
/// Bounds: the caller bounds the open ids (one per client connection). At most kMaxClosed closed ids are
/// retained, each for kRetention of the caller's monotonic clock; beyond that, the id closed longest ago is
/// removed early. The table is full at 5,461 requests a second: more than a sidecar with a fraction of a core
/// can handle, but fewer than one with a whole core can.
class TraceIds {
 public:
  /// Microseconds for which the id of a closed request is retained: longer than an overloaded core delays the
  /// reading of a duplicate.
  static constexpr Micros kRetention = 3'000'000;
  /// The most ids of closed requests that are retained.
  static constexpr std::size_t kMaxClosed = 16'384;

  /// Marks the id as open. Returns false, and changes nothing, if the id is in use.
  bool open(std::uint64_t id, Micros now);
  /// Whether open() would succeed.
  [[nodiscard]] bool isFree(std::uint64_t id, Micros now);
  /// Marks the id as closed. Does nothing for an id that is not open.
  void close(std::uint64_t id, Micros now);

  /// The number of ids in use, including expired ones that no call has removed yet.
  [[nodiscard]] std::size_t size() const { return ids_.size(); }

 private:
  void removeExpired(Micros now);

  std::unordered_map<std::uint64_t, bool> ids_;          // the value: whether the id is closed
  std::deque<std::pair<Micros, std::uint64_t>> closed_;  // time of closing and id, the oldest first
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TRACE_IDS_H_
