// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_TIME_H_
#define IVYPOST_DEGRADATION_TIME_H_

#include <chrono>

namespace ivypost::degradation {

/// A span of time as the decisions take it: whole microseconds.
using Duration = std::chrono::microseconds;

/// A moment on the caller's monotonic clock. The module reads no clock of its own.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A span as a number of microseconds, the unit of the signals that are times.
[[nodiscard]] constexpr double toMicroseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_TIME_H_
