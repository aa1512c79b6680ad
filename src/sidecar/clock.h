// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The clock of the data plane, and its time as the decisions take it.
#ifndef IVYPOST_CLOCK_H_
#define IVYPOST_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace ivypost {

using Clock = std::chrono::steady_clock;

// Monotonic microseconds.
inline std::int64_t microsOf(Clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}
inline std::int64_t now() {
  return microsOf(Clock::now());
}

}  // namespace ivypost

#endif  // IVYPOST_CLOCK_H_
