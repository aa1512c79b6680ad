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

/// Decides the level of degraded service. It does no I/O and reads no clock: it is given signals and the
/// time, and the same calls give the same transitions.
///
/// Four means, each of its own, keep the level from oscillating: signals are smoothed; each signal requests a
/// level, and ceases to at a lower threshold than it began (hysteresis); service is reduced one level at a
/// time, Settings::escalationInterval apart; and it recovers one level at a time, after a delay that doubles
/// with each recovery that did not hold, as a circuit breaker's half-open state does. The reasons are in
/// docs/design/reduced-service.md.
class LevelController {
 public:
  /// How often the caller evaluates. A sixth of the default Settings::escalationInterval, so that an
  /// escalation comes little later than it may.
  static constexpr Duration kEvaluationInterval = std::chrono::milliseconds(50);

  /// Begins at Normal.
  /// @pre validate(settings) finds no error.
  LevelController(const Settings& settings, TimePoint now);

  /// Takes a sample of a signal.
  /// @param signal which of the signals was sampled; each is smoothed by a time constant of its own.
  /// @param value in the signal's unit; ignored where it is negative or not finite.
  /// @param now time that goes back counts as standing still.
  void observe(Signal signal, double value, TimePoint now);

  /// Decides by what was observed. At most one transition a call, to a neighbouring level.
  /// @param now as for observe().
  [[nodiscard]] std::optional<Transition> evaluate(TimePoint now);

  /// Changes the settings. Level and smoothed signals stay; what the signals request is decided anew, and a
  /// recovery waits for a whole delay.
  /// @pre validate(settings) finds no error.
  void apply(const Settings& settings, TimePoint now);

  /// The level in force: Normal at first, changed by evaluate() alone.
  [[nodiscard]] Level level() const { return level_; }
  /// Before the first transition: Settings::escalationInterval ahead of the beginning.
  [[nodiscard]] TimePoint lastTransitionAt() const { return lastTransitionAt_; }
  /// In the signal's unit; 0 ahead of its first sample.
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
  TimePoint now_;  // the latest that was given
  TimePoint lastTransitionAt_;
  std::optional<TimePoint> calmSince_;  // no signal has requested the present level since then
  Duration recoveryDelay_;
  std::optional<TimePoint> unconfirmedRecoveryAt_;  // the last recovery, until it has held
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LEVEL_CONTROLLER_H_
