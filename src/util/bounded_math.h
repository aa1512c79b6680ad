// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Clamping of external values, which may be extreme or NaN, and exponential smoothing.
#ifndef IVYPOST_UTIL_BOUNDED_MATH_H_
#define IVYPOST_UTIL_BOUNDED_MATH_H_

#include <algorithm>
#include <cstdint>

namespace ivypost::util {

/// The upper bound of time spans, in microseconds: 31 years, above any practical value; the sum of thousands
/// of such spans is far from overflow.
constexpr std::int64_t kLongest = 1'000'000'000'000'000;

/// Clamps a value to the range from `low` to `high`. NaN becomes `low`, which must be the safe bound.
[[nodiscard]] inline double within(double value, double low, double high) {
  return value >= low ? std::min(value, high) : low;
}

/// Clamps a time span to 0 to kLongest microseconds, in place.
inline void bound(std::int64_t& span) {
  span = std::clamp<std::int64_t>(span, 0, kLongest);
}

/// Updates an exponentially weighted moving average with a sample. `gain`: the weight of the sample, above 0
/// and up to 1; a gain of 1 discards all earlier samples.
inline void smooth(double& value, double sample, double gain) {
  value += gain * (sample - value);
}

}  // namespace ivypost::util

#endif  // IVYPOST_UTIL_BOUNDED_MATH_H_
