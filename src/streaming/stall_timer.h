// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAMING_STALL_TIMER_H_
#define IVYPOST_STREAMING_STALL_TIMER_H_

#include <chrono>
#include <cstdint>

namespace ivypost::streaming {

/// Computes the deadline for further bytes of a body, so that a client that writes slowly is served and one
/// that has stopped is abandoned. Reads no clock and sets no timer: the owner passes the times, which must
/// not decrease, and waits.
class StallTimer {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;  ///< Monotonic.
  using Duration = std::chrono::microseconds;               ///< The unit of all computations here.

  /// The minimum rate: half of the 64 kB per second at which the platform's contract allows clients to write.
  static constexpr std::int64_t kMinBytesPerSecond = 32'000;
  /// The period at the start of a body in which no bytes are required.
  static constexpr Duration kGracePeriod = std::chrono::milliseconds(2500);
  /// The longest pause between two reads, however high the rate was before: a client that has stopped must
  /// get an error or a close within 3 s.
  static constexpr Duration kStallTimeout = std::chrono::milliseconds(2500);

  /// Starts the timer of a body that begins at `now`.
  explicit StallTimer(TimePoint now) : begin_(now), last_(now) {}

  /// Records that `bytes` were received at `now`.
  void received(std::uint64_t bytes, TimePoint now) {
    bytes_ += bytes;
    last_ = now;
  }
  /// Excludes a period in which the sidecar did not read the body, since it had no capacity.
  void extendBy(Duration pause) { begin_ += pause; }
  /// The time at which the body is abandoned if no bytes are received before.
  [[nodiscard]] TimePoint deadline() const;
  /// The time to receive `bytes` more at the rate so far, or at kMinBytesPerSecond if that is faster or if no
  /// bytes have been received.
  [[nodiscard]] Duration expectedTime(std::uint64_t bytes) const;

 private:
  TimePoint begin_;  // the start, moved by the excluded periods
  TimePoint last_;
  std::uint64_t bytes_ = 0;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_STALL_TIMER_H_
