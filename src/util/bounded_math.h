// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Arithmetic on figures from outside, which may be extreme or not numbers at all, and on smoothed ones.
#ifndef IVYPOST_UTIL_BOUNDED_MATH_H_
#define IVYPOST_UTIL_BOUNDED_MATH_H_

#include <algorithm>
#include <cstdint>

namespace ivypost::util {

// Spans of time (in microseconds) are brought below this, far above any sensible one: sums of a few stay far
// from overflow.
constexpr std::int64_t kLongest = 1'000'000'000'000'000;

// Brings a figure into range. What is not a number becomes the lower bound, which has to be the safe one.
inline double within(double value, double low, double high) {
  return value >= low ? std::min(value, high) : low;
}

inline void bound(std::int64_t& span) {
  span = std::clamp<std::int64_t>(span, 0, kLongest);
}

// Moves a smoothed figure towards a sample; a gain of 1 forgets the past.
inline void smooth(double& figure, double sample, double gain) {
  figure += gain * (sample - figure);
}

// Waits between repeated attempts: each is drawn between `base` and three times the last one, up to `longest`
// (decorrelated jitter; M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). Many that
// failed together drift apart, and wait longer the longer it lasts.
class DecorrelatedJitter {
 public:
  // `uniform` is a random number in [0, 1).
  double next(double base, double longest, double uniform) {
    last_ = std::min(longest, base + uniform * (3 * std::max(base, last_) - base));
    return last_;
  }
  void reset() { last_ = 0; }
  // Whether there was a wait since the last reset, with a `base` over 0.
  bool waits() const { return last_ > 0; }

 private:
  double last_ = 0;
};

}  // namespace ivypost::util

#endif  // IVYPOST_UTIL_BOUNDED_MATH_H_
