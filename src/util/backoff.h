// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_UTIL_BACKOFF_H_
#define IVYPOST_UTIL_BACKOFF_H_

#include <algorithm>

namespace ivypost::util {

/// Waits between repeated attempts: each is drawn between `base` and three times the last one, up to
/// `longest` (decorrelated jitter; M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
/// 2015). Many that failed together drift apart, and wait longer the longer it lasts. No clock and no random
/// source of its own.
class DecorrelatedJitter {
 public:
  /// The next wait, in the unit of `base` and `longest`. `uniform`: a random number in [0, 1).
  double next(double base, double longest, double uniform) {
    last_ = std::min(longest, base + uniform * (kGrowth * std::max(base, last_) - base));
    return last_;
  }
  /// To be called after a success: the next wait is drawn as the first.
  void reset() { last_ = 0; }
  /// Whether there was a wait since the last reset, with a `base` over 0.
  [[nodiscard]] bool waits() const { return last_ > 0; }

 private:
  // As in the article.
  static constexpr double kGrowth = 3;
  double last_ = 0;
};

}  // namespace ivypost::util

#endif  // IVYPOST_UTIL_BACKOFF_H_
