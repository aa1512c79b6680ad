// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/decaying_fraction.h"

#include <algorithm>
#include <cmath>

namespace ivypost::degradation {

void DecayingFraction::add(bool hasProperty, TimePoint now) {
  decay(now);
  total_ += 1;
  if (hasProperty) matching_ += 1;
}

double DecayingFraction::value(TimePoint now) {
  decay(now);
  return total_ < kMinEvents ? 0 : std::min(1.0, matching_ / total_);
}

void DecayingFraction::decay(TimePoint now) {
  if (now <= updatedAt_) return;
  const double remaining = std::exp(-toMicroseconds(now - updatedAt_) / toMicroseconds(kDecayTime));
  updatedAt_ = now;
  matching_ *= remaining;
  total_ *= remaining;
}

}  // namespace ivypost::degradation
