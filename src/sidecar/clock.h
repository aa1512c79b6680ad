// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The clock of the data plane, and its time as the decisions take it; and the wall clock, for what is told to
// others or outlasts the process.
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

// Unix time in microseconds by the wall clock, which may be wrong and may step: no span is measured by it.
// Negative before 1970.
inline std::int64_t unixNow() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

}  // namespace ivypost

#endif  // IVYPOST_CLOCK_H_
