// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#ifndef ORCHIDDRUM_BALANCER_DECAY_H_
#define ORCHIDDRUM_BALANCER_DECAY_H_

#include <cmath>

#include "orchiddrum/balancer.h"

namespace orchiddrum::internal {

/// The part that a memory of `memory` microseconds keeps at `now` of what was learned at `at`: 1 at once, 1/e
/// after `memory`.
[[nodiscard]] inline double retainedFraction(Micros at, double memory, Micros now) {
  return std::exp(-static_cast<double>(now - at) / memory);
}

}  // namespace orchiddrum::internal

#endif  // ORCHIDDRUM_BALANCER_DECAY_H_
