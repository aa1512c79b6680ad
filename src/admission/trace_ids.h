// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Which trace ids are taken: those of open requests, and of those that were over lately. A second request
// under the id of an open one may be read only when that one is over, and would mix with its attempts. No I/O
// and no clock.
//
// Bounds: open ids are bounded by whoever opens requests (one for each client's connection); of those that
// are over kMaxClosed are remembered, each for kRetention. Beyond that the longest over is forgotten early:
// 5,461 requests a second fill it, more than a part of a core carries, fewer than a whole one does.
#ifndef IVYPOST_ADMISSION_TRACE_IDS_H_
#define IVYPOST_ADMISSION_TRACE_IDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace ivypost::admission {

using Micros = std::int64_t;

class TraceIds {
 public:
  // Longer than a full core delays reading, in microseconds.
  static constexpr Micros kRetention = 3'000'000;
  static constexpr std::size_t kMaxClosed = 16'384;

  // False if a request that is open, or was over lately, has this id; else it is open from now on.
  bool open(std::uint64_t id, Micros now);
  // Whether open() would take it.
  bool isFree(std::uint64_t id, Micros now);
  // The request under this id is over. Ignored for one that is not open.
  void close(std::uint64_t id, Micros now);

  // Ids held: open ones and those remembered.
  std::size_t size() const { return ids_.size(); }

 private:
  void removeExpired(Micros now);

  std::unordered_map<std::uint64_t, bool> ids_;          // whether it is over
  std::deque<std::pair<Micros, std::uint64_t>> closed_;  // those that are, the longest over first
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TRACE_IDS_H_
