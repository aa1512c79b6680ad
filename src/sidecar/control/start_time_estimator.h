// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// When endpoints started, by this process's monotonic clock, from the Unix time that lists state. No clock
/// and no I/O: the time is a parameter.
#ifndef IVYPOST_CONTROL_START_TIME_ESTIMATOR_H_
#define IVYPOST_CONTROL_START_TIME_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace ivypost {

/// Estimates the starts of endpoints.
///
/// The wall clock may be wrong by any amount, from the start or after a step, here or where lists are made.
/// So a list's time counts as far as the monotonic clock doesn't contradict it:
///   - nothing has started later than now;
///   - a start that was seen to happen, since the list before didn't state it, is no older than that list and
///     kNoticeDelay. One that is said to be older counts as of now: an endpoint that is still warming up and
///     is taken for a warm one is overloaded, and the other error ends with the slow start.
///
/// What is in the first list may have started at any time.
///
/// Invariant: a start never moves. The same endpoint with the same stated time has the same estimate for as
/// long as it is remembered, also if lists leave it out meanwhile; it was not seen to start when it is back.
/// The clock is this process's monotonic one. Without lists nothing changes.
class StartTimeEstimator {
 public:
  /// Microseconds, monotonic if not said otherwise.
  using Micros = std::int64_t;

  /// How late a list may state a start while its source is in touch. New endpoints are listed up to 2 s after
  /// their start; a wall clock that is less than this ahead can't be known from that.
  static constexpr Micros kNoticeDelay = 2'500'000;
  /// Starts remembered; beyond that the one that was first stated longest ago is forgotten. Twice the
  /// endpoints of the largest fleet.
  static constexpr std::size_t kMaxStarts = 8192;

  /// `unixTime`: by the wall clock, in microseconds, at `now`. Taken once: a later step of the wall clock
  /// changes nothing.
  StartTimeEstimator(Micros unixTime, Micros now) : unixToSteady_(now - unixTime) {}

  /// A list has come at `now`, and its starts are asked for next. `previousUntil`: how long the list before
  /// it was known to be current; none: there was none, so no start was seen.
  void beginList(std::optional<Micros> previousUntil, Micros now);

  /// The time of the start, 1 or more; 0 for `startedAtMs` 0: long ago. `upstream`: the hash of its id;
  /// `startedAtMs`: Unix time in milliseconds, as the list states it.
  Micros startOf(std::uint64_t upstream, std::int64_t startedAtMs);

  /// Starts that are remembered, kMaxStarts at the most.
  [[nodiscard]] std::size_t remembered() const { return starts_.size(); }

 private:
  struct Start {
    std::uint64_t upstream = 0;
    std::int64_t startedAtMs = 0;
    bool operator==(const Start&) const = default;
  };
  struct Hash {
    std::size_t operator()(const Start& start) const {
      // Ids' hashes are mixed already; a multiplier of Fibonacci hashing spreads the time.
      constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15U;
      return static_cast<std::size_t>(start.upstream ^
                                      static_cast<std::uint64_t>(start.startedAtMs) * kMultiplier);
    }
  };

  const Micros unixToSteady_;  // added to Unix time
  Micros now_ = 0;
  std::optional<Micros> earliestSeen_;  // of a start that this list is the first to state
  std::unordered_map<Start, Micros, Hash> starts_;
  std::deque<Start> order_;  // as they were first stated
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_START_TIME_ESTIMATOR_H_
