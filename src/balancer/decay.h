// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_DECAY_H_
#define IVYPOST_BALANCER_DECAY_H_

#include <cmath>

#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Exponential decay with the time constant `memory`, in microseconds: the fraction of a value recorded at
/// `at` that is retained at `now`; 1 at once, 1/e after `memory`.
[[nodiscard]] inline double retainedFraction(Micros at, double memory, Micros now) {
  return std::exp(-static_cast<double>(now - at) / memory);
}

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DECAY_H_
