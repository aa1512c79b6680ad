// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The monotonic clock of the data plane, in microseconds for the decision modules; and the wall clock, for
/// times that are sent to others or outlast the process.
#ifndef IVYPOST_CLOCK_H_
#define IVYPOST_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace ivypost {

/// The monotonic clock by which all durations are measured.
using Clock = std::chrono::steady_clock;

/// A time as the decision modules take it: microseconds since the clock's epoch, which differs between
/// machines.
[[nodiscard]] inline std::int64_t microsOf(Clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}
/// The monotonic time in microseconds, as microsOf().
[[nodiscard]] inline std::int64_t now() {
  return microsOf(Clock::now());
}

/// Unix time in microseconds by the wall clock, which may be wrong and may step: no duration is measured by
/// it. Negative before 1970.
[[nodiscard]] inline std::int64_t unixNow() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

}  // namespace ivypost

#endif  // IVYPOST_CLOCK_H_
