// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_TIME_H_
#define IVYPOST_DEGRADATION_TIME_H_

#include <chrono>

namespace ivypost::degradation {

/// A duration in whole microseconds.
using Duration = std::chrono::microseconds;

/// A time on the caller's monotonic clock. This module reads no clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The duration as a number of microseconds, which is the unit of the signals that are times.
[[nodiscard]] constexpr double toMicroseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_TIME_H_
