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

/// Which trace ids are taken: those of open requests, and of requests that were closed lately. A second
/// request under the id of an open one may be read only when that one is closed, and its attempts would be
/// taken for the first one's. No I/O and no clock.
///
/// Bounds: open ids are bounded by whoever opens requests (one a client connection). Of the closed ones
/// kMaxClosed are remembered, each for kRetention of the caller's monotonic clock; beyond that the one closed
/// longest ago is forgotten early. 5,461 requests a second fill it: more than a fraction of a core carries,
/// fewer than a whole one does.
class TraceIds {
 public:
  /// How long a closed request's id is remembered: longer than an overloaded core delays reading.
  static constexpr Micros kRetention = 3'000'000;
  /// Closed requests' ids that are remembered.
  static constexpr std::size_t kMaxClosed = 16'384;

  /// The id is open from now on. False, and nothing changes, if it is taken.
  bool open(std::uint64_t id, Micros now);
  /// Whether open() would take it.
  [[nodiscard]] bool isFree(std::uint64_t id, Micros now);
  /// The request under this id is closed. Does nothing for an id that is not open.
  void close(std::uint64_t id, Micros now);

  /// Ids that are taken, but for expired ones that no call has removed yet.
  [[nodiscard]] std::size_t size() const { return ids_.size(); }

 private:
  void removeExpired(Micros now);

  std::unordered_map<std::uint64_t, bool> ids_;          // whether it is closed
  std::deque<std::pair<Micros, std::uint64_t>> closed_;  // when, and which; the longest ago first
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TRACE_IDS_H_
