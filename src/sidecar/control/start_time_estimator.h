// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Converts the Unix start times of endpoints in lists into this process's monotonic time. No clock and no
/// I/O: the time is a parameter.
#ifndef IVYPOST_CONTROL_START_TIME_ESTIMATOR_H_
#define IVYPOST_CONTROL_START_TIME_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace ivypost {

/// Estimates when endpoints started, in monotonic time.
///
/// The wall clock may be wrong by any amount, from the start or after a step, in this process or in the one
/// that makes the lists. So the stated time is used only as far as the monotonic clock doesn't contradict it:
///   - no endpoint has started later than now;
///   - a start that no earlier list stated happened at most kNoticeDelay before the time until which the
///     previous list was known to be current. If the stated time is earlier, the endpoint counts as started
///     now: without a slow start, an endpoint that has just started would be overloaded, while an unneeded
///     slow start ends by itself.
///
/// Endpoints of the first list may have started at any time.
///
/// Invariant: an estimate never changes. The same endpoint with the same stated time has the same estimate
/// for as long as the estimate is remembered, even if some lists omit the endpoint: an endpoint that is
/// listed again does not count as newly started. Estimates are in this process's monotonic time.
class StartTimeEstimator {
 public:
  /// Microseconds; monotonic time unless stated otherwise.
  using Micros = std::int64_t;

  /// Maximum delay from a start until a list states it, while the source is connected. New endpoints are
  /// listed up to 2 s after their start; a wall clock that is ahead by less than kNoticeDelay can't be
  /// distinguished from such a delay.
  static constexpr Micros kNoticeDelay = 2'500'000;
  /// Maximum number of remembered starts; beyond it the one that was first stated longest ago is evicted.
  /// Twice the endpoints of the largest fleet.
  static constexpr std::size_t kMaxStarts = 8192;

  /// `unixTime`: wall-clock time at `now`, in microseconds. Read only once, so that a later step of the wall
  /// clock has no effect.
  StartTimeEstimator(Micros unixTime, Micros now) : unixToSteady_(now - unixTime) {}

  /// Begins a list that arrived at `now`; the following calls of startOf() are for its entries.
  /// `previousUntil`: until when the previous list was known to be current; empty: this is the first list,
  /// whose starts were not observed.
  void beginList(std::optional<Micros> previousUntil, Micros now);

  /// The estimated start, at least 1; 0 (long ago) if `startedAtMs` is 0. `upstream`: hash of the endpoint's
  /// id; `startedAtMs`: Unix time in milliseconds, as the list states it.
  Micros startOf(std::uint64_t upstream, std::int64_t startedAtMs);

  /// The number of remembered starts, at most kMaxStarts.
  [[nodiscard]] std::size_t remembered() const { return starts_.size(); }

 private:
  struct Start {
    std::uint64_t upstream = 0;
    std::int64_t startedAtMs = 0;
    bool operator==(const Start&) const = default;
  };
  struct Hash {
    std::size_t operator()(const Start& start) const {
      // The hashes of ids are well distributed; the multiplier of Fibonacci hashing spreads the times.
      constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15U;
      return static_cast<std::size_t>(start.upstream ^
                                      static_cast<std::uint64_t>(start.startedAtMs) * kMultiplier);
    }
  };

  const Micros unixToSteady_;  // added to Unix time to get monotonic time
  Micros now_ = 0;
  std::optional<Micros> earliestSeen_;  // lower bound of the starts that this list is the first to state
  std::unordered_map<Start, Micros, Hash> starts_;
  std::deque<Start> insertionOrder_;  // oldest first, for eviction
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_START_TIME_ESTIMATOR_H_
