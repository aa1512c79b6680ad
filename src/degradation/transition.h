// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_TRANSITION_H_
#define IVYPOST_DEGRADATION_TRANSITION_H_

#include <optional>
#include <string>

#include "degradation/level.h"
#include "degradation/signal.h"
#include "degradation/time.h"

namespace ivypost::degradation {

/// A change from one level to its neighbour.
struct Transition {
  /// The signal that led to an escalation: of those that request a stricter level, the one furthest over its
  /// threshold, by their quotient.
  struct Cause {
    Signal signal = Signal::CpuUtilization;  ///< Says the unit of `value` and `threshold`, by unitOf().
    double value = 0;                        ///< Smoothed, in the signal's unit.
    double threshold = 0;                    ///< The value at which the level is entered.
  };

  Level from = Level::Normal;  ///< The level until then.
  Level to = Level::Normal;    ///< One step stricter (an escalation) or milder (a recovery) than `from`.
  TimePoint at;                ///< The time of the evaluation that decided it, on the caller's clock.
  std::optional<Cause> cause;  ///< Of an escalation; a recovery has none.
};

/// One line for the log; operators' searches rely on its wording (docs/operators/reduced-service.md).
[[nodiscard]] std::string describe(const Transition& transition);

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_TRANSITION_H_
