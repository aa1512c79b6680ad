// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Arithmetic on values from outside, which may be extreme or not numbers at all, and on smoothed ones.
#ifndef IVYPOST_UTIL_BOUNDED_MATH_H_
#define IVYPOST_UTIL_BOUNDED_MATH_H_

#include <algorithm>
#include <cstdint>

namespace ivypost::util {

/// Spans of time, in microseconds, are brought below this: 31 years, far above any that is meant, and the sum
/// of thousands is far from overflow.
constexpr std::int64_t kLongest = 1'000'000'000'000'000;

/// The value brought into the range. What is not a number becomes `low`, which has to be the safe bound.
[[nodiscard]] inline double within(double value, double low, double high) {
  return value >= low ? std::min(value, high) : low;
}

/// Brings a span of time into 0 to kLongest, in place.
inline void bound(std::int64_t& span) {
  span = std::clamp<std::int64_t>(span, 0, kLongest);
}

/// Moves a smoothed value towards a sample. `gain`: over 0 and up to 1, which forgets the past.
inline void smooth(double& value, double sample, double gain) {
  value += gain * (sample - value);
}

}  // namespace ivypost::util

#endif  // IVYPOST_UTIL_BOUNDED_MATH_H_
