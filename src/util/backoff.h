// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_UTIL_BACKOFF_H_
#define IVYPOST_UTIL_BACKOFF_H_

#include <algorithm>

namespace ivypost::util {

/// Backoff between retries: each delay is drawn between `base` and three times the previous delay, up to
/// `longest` (decorrelated jitter; M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
/// 2015). Retries that began together spread out, and the delays grow while failures continue. The caller
/// provides clock and random numbers.
class DecorrelatedJitter {
 public:
  /// The next delay, in the unit of `base` and `longest`. `uniform`: a random number in [0, 1).
  double next(double base, double longest, double uniform) {
    last_ = std::min(longest, base + uniform * (kGrowth * std::max(base, last_) - base));
    return last_;
  }
  /// Call after a success: the next delay is drawn like the first one.
  void reset() { last_ = 0; }
  /// Whether a delay above 0 was drawn since the last reset.
  [[nodiscard]] bool waits() const { return last_ > 0; }

 private:
  // The factor of the article.
  static constexpr double kGrowth = 3;
  double last_ = 0;
};

}  // namespace ivypost::util

#endif  // IVYPOST_UTIL_BACKOFF_H_
