// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// By when more of a body has to have come, so that a client which writes slowly is waited for and one that
// has stopped is not. No clock of its own.
#ifndef IVYPOST_STREAMING_STALL_TIMER_H_
#define IVYPOST_STREAMING_STALL_TIMER_H_

#include <cstdint>

namespace ivypost::streaming {

using Micros = std::int64_t;

class StallTimer {
 public:
  // Clients may write 64 kB a second; half of that is asked for, after some grace.
  static constexpr std::int64_t kMinBytesPerSecond = 32'000;
  static constexpr Micros kGracePeriod = 2'500'000;
  // Between two pieces, however fast a body came at first: a client that has stopped is owed an error or a
  // close within 3 s.
  static constexpr Micros kStallTimeout = 2'500'000;

  explicit StallTimer(Micros now) : begin_(now), last_(now) {}

  void received(std::uint64_t bytes, Micros now) {
    bytes_ += bytes;
    last_ = now;
  }
  // Time that the body was not read because we had no room for it does not count.
  void extendBy(Micros span) { begin_ += span; }
  // Given up if nothing comes until then.
  Micros deadline() const;
  // How long `bytes` more take at the pace so far.
  Micros expectedTime(std::uint64_t bytes) const;

 private:
  Micros begin_, last_;
  std::uint64_t bytes_ = 0;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_STALL_TIMER_H_
