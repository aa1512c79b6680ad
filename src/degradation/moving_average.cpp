// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/moving_average.h"

#include <cmath>

namespace ivypost::degradation {

void MovingAverage::add(double sample, Duration timeConstant, TimePoint now) {
  value_ += gain(timeConstant, now) * (sample - value_);
  updatedAt_ = now;
  hasSample_ = true;
}

double MovingAverage::gain(Duration timeConstant, TimePoint now) const {
  if (!hasSample_ || timeConstant <= Duration::zero()) return 1;
  return 1 - std::exp(-toMicroseconds(now - updatedAt_) / toMicroseconds(timeConstant));
}

}  // namespace ivypost::degradation
