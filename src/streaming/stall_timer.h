// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAMING_STALL_TIMER_H_
#define IVYPOST_STREAMING_STALL_TIMER_H_

#include <chrono>
#include <cstdint>

namespace ivypost::streaming {

/// By when more of a body has to have come, so that a client which writes slowly is waited for and one that
/// has stopped is not. It has no clock and no timer of its own: times are given, and the owner waits. Given
/// times never go back.
class StallTimer {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;  ///< Monotonic.
  using Duration = std::chrono::microseconds;               ///< As fine as is needed here.

  /// Clients may write 64 kB a second (the platform's contract); half of that is asked for ...
  static constexpr std::int64_t kMinBytesPerSecond = 32'000;
  /// ... after so long, in which nothing need come.
  static constexpr Duration kGracePeriod = std::chrono::milliseconds(2500);
  /// Between two pieces, however fast a body came at first: a client that has stopped is owed an error or a
  /// close within 3 s.
  static constexpr Duration kStallTimeout = std::chrono::milliseconds(2500);

  /// A body that begins now.
  explicit StallTimer(TimePoint now) : begin_(now), last_(now) {}

  /// Counts bytes that have come.
  void received(std::uint64_t bytes, TimePoint now) {
    bytes_ += bytes;
    last_ = now;
  }
  /// Leaves out a time in which the body was not read, since our side had no capacity for it.
  void extendBy(Duration pause) { begin_ += pause; }
  /// The body is abandoned if nothing comes until then.
  [[nodiscard]] TimePoint deadline() const;
  /// How long `bytes` more take at the rate so far, at the slowest that is waited for if none have come.
  [[nodiscard]] Duration expectedTime(std::uint64_t bytes) const;

 private:
  TimePoint begin_;  // later by what was left out
  TimePoint last_;
  std::uint64_t bytes_ = 0;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_STALL_TIMER_H_
