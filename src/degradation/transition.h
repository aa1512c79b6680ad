// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_TRANSITION_H_
#define IVYPOST_DEGRADATION_TRANSITION_H_

#include <optional>
#include <string>

#include "degradation/level.h"
#include "degradation/signal.h"
#include "degradation/time.h"

namespace ivypost::degradation {

/// A change from one level to an adjacent one.
struct Transition {
  /// The signal that caused an escalation: among the signals that request a stricter level, the one with the
  /// greatest ratio of value to threshold.
  struct Cause {
    Signal signal = Signal::CpuUtilization;  ///< unitOf() returns the unit of `value` and `threshold`.
    double value = 0;                        ///< Smoothed value, in the signal's unit.
    double threshold = 0;                    ///< Threshold::enter of the level that is entered.
  };

  Level from = Level::Normal;  ///< The level before.
  Level to = Level::Normal;    ///< One step stricter (an escalation) or milder (a recovery) than `from`.
  TimePoint at;                ///< The time of the evaluation, on the caller's clock.
  std::optional<Cause> cause;  ///< Set for an escalation, empty for a recovery.
};

/// The transition as one log line. Operators search logs for its wording (docs/operators/reduced-service.md),
/// so it must not change.
[[nodiscard]] std::string describe(const Transition& transition);

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_TRANSITION_H_
