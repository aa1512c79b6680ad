// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_TESTS_DEGRADATION_SIMULATED_TIME_H_
#define IVYPOST_TESTS_DEGRADATION_SIMULATED_TIME_H_

#include <chrono>

#include "degradation/level_controller.h"
#include "degradation/time.h"

namespace ivypost::degradation {

/// The time at this duration after the start of a simulated clock.
constexpr TimePoint at(Duration sinceStart) {
  return TimePoint(sinceStart);
}

/// Calls `step(time)` at each evaluation interval in [from, until); both are durations since the clock's
/// start.
template <class Step>
void forEachEvaluation(Duration from, Duration until, const Step& step) {
  for (Duration now = from; now < until; now += LevelController::kEvaluationInterval) step(at(now));
}

}  // namespace ivypost::degradation

#endif  // IVYPOST_TESTS_DEGRADATION_SIMULATED_TIME_H_
