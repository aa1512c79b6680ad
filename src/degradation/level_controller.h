// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_LEVEL_CONTROLLER_H_
#define IVYPOST_DEGRADATION_LEVEL_CONTROLLER_H_

#include <chrono>
#include <optional>

#include "degradation/level.h"
#include "degradation/moving_average.h"
#include "degradation/settings.h"
#include "degradation/signal.h"
#include "degradation/time.h"
#include "degradation/transition.h"

namespace ivypost::degradation {

/// Decides the level of degraded service. It does no I/O and reads no clock: signals and the time are
/// parameters, and the same sequence of calls results in the same transitions.
///
/// Four mechanisms keep the level from oscillating:
///   - signals are smoothed;
///   - a signal stops requesting a level at a lower threshold than the one at which it started (hysteresis);
///   - escalations go one level at a time, at least Settings::escalationInterval apart;
///   - recoveries go one level at a time, after a delay that doubles with each recovery that was followed by
///     an escalation within Settings::probationPeriod, as in a circuit breaker's half-open state.
///
/// The reasons are in docs/design/reduced-service.md.
class LevelController {
 public:
  /// Interval at which the caller should evaluate. A sixth of the default Settings::escalationInterval, so
  /// that escalations are hardly delayed beyond that interval.
  static constexpr Duration kEvaluationInterval = std::chrono::milliseconds(50);

  /// Starts at Normal.
  /// @pre validate(settings) finds no error.
  LevelController(const Settings& settings, TimePoint now);

  /// Adds a sample of a signal.
  /// @param signal the signal that was sampled; its smoothing time applies.
  /// @param value in the signal's unit; ignored if negative or not finite.
  /// @param now if earlier than in a previous call, no time is taken to have passed.
  void observe(Signal signal, double value, TimePoint now);

  /// Decides the level by the samples so far. Makes at most one transition per call, to an adjacent level.
  /// @param now as for observe().
  [[nodiscard]] std::optional<Transition> evaluate(TimePoint now);

  /// Changes the settings. The level and the smoothed signals stay; the levels that signals request are
  /// determined anew, and the next recovery waits for a complete delay.
  /// @pre validate(settings) finds no error.
  void apply(const Settings& settings, TimePoint now);

  /// The level in force: initially Normal, changed only by evaluate().
  [[nodiscard]] Level level() const { return level_; }
  /// The time of the last transition; before the first one, Settings::escalationInterval before construction.
  [[nodiscard]] TimePoint lastTransitionAt() const { return lastTransitionAt_; }
  /// The smoothed signal in its unit; 0 before its first sample.
  [[nodiscard]] double smoothedValue(Signal signal) const { return averages_[signal].value(); }

 private:
  [[nodiscard]] Level strictestRequestedLevel();
  [[nodiscard]] Level requestedBy(Signal signal) const;
  [[nodiscard]] std::optional<Transition> escalate();
  [[nodiscard]] std::optional<Transition::Cause> causeOfEscalation() const;
  [[nodiscard]] std::optional<Transition> recover(Level requested);
  void advance(TimePoint now);

  Settings settings_;
  PerSignal<MovingAverage> averages_;
  PerSignal<Level> requestedLevels_;
  Level level_ = Level::Normal;
  TimePoint now_;  // latest time passed by the caller
  TimePoint lastTransitionAt_;
  std::optional<TimePoint> calmSince_;  // since then no signal has requested the present level
  Duration recoveryDelay_;
  std::optional<TimePoint> unconfirmedRecoveryAt_;  // last recovery, until its probation period has passed
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LEVEL_CONTROLLER_H_
