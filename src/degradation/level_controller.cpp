// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/level_controller.h"

#include <algorithm>
#include <cmath>

namespace ivypost::degradation {

LevelController::LevelController(const Settings& settings, TimePoint now)
    : settings_(settings),
      now_(now),
      lastTransitionAt_(now - settings.escalationInterval),
      recoveryDelay_(settings.recoveryDelay) {}

void LevelController::apply(const Settings& settings, TimePoint now) {
  advance(now);
  settings_ = settings;
  requestedLevels_.fill(Level::Normal);
  calmSince_.reset();
  recoveryDelay_ = std::clamp(recoveryDelay_, settings.recoveryDelay, settings.maxRecoveryDelay);
}

void LevelController::observe(Signal signal, double value, TimePoint now) {
  if (!std::isfinite(value) || value < 0) return;
  advance(now);
  averages_[signal].add(value, settings_.smoothingTimes[signal], now_);
}

std::optional<Transition> LevelController::evaluate(TimePoint now) {
  advance(now);
  const Level requested = strictestRequestedLevel();
  return requested > level_ ? escalate() : recover(requested);
}

Level LevelController::strictestRequestedLevel() {
  Level strictest = Level::Normal;
  for (const Signal signal : kSignals) {
    requestedLevels_[signal] = requestedBy(signal);
    strictest = std::max(strictest, requestedLevels_[signal]);
  }
  return strictest;
}

// Starts from the level that the signal requested before, which gives the hysteresis.
Level LevelController::requestedBy(Signal signal) const {
  const double value = averages_[signal].value();
  Level requested = requestedLevels_[signal];
  while (requested != Level::Cutoff) {
    const auto& stricter = settings_.thresholds.at(nextStricter(requested), signal);
    if (!stricter || value < stricter->enter) break;
    requested = nextStricter(requested);
  }
  while (requested != Level::Normal && value < settings_.thresholds.at(requested, signal)->exit)
    requested = nextMilder(requested);
  return requested;
}

std::optional<Transition> LevelController::escalate() {
  calmSince_.reset();
  if (now_ - lastTransitionAt_ < settings_.escalationInterval) return std::nullopt;
  const Transition transition{level_, nextStricter(level_), now_, causeOfEscalation()};
  if (unconfirmedRecoveryAt_ && now_ - *unconfirmedRecoveryAt_ < settings_.probationPeriod)
    recoveryDelay_ = std::min(settings_.maxRecoveryDelay, 2 * recoveryDelay_);
  unconfirmedRecoveryAt_.reset();
  level_ = transition.to;
  lastTransitionAt_ = now_;
  return transition;
}

std::optional<Transition::Cause> LevelController::causeOfEscalation() const {
  std::optional<Transition::Cause> cause;
  double largestExcess = 0;
  for (const Signal signal : kSignals) {
    if (requestedLevels_[signal] <= level_) continue;
    const double value = averages_[signal].value();
    const double enter = settings_.thresholds.at(nextStricter(level_), signal)->enter;
    const double excess = value / enter;
    if (cause && excess <= largestExcess) continue;
    largestExcess = excess;
    cause = Transition::Cause{signal, value, enter};
  }
  return cause;
}

std::optional<Transition> LevelController::recover(Level requested) {
  if (unconfirmedRecoveryAt_ && now_ - *unconfirmedRecoveryAt_ >= settings_.probationPeriod) {
    unconfirmedRecoveryAt_.reset();
    recoveryDelay_ = settings_.recoveryDelay;
  }
  if (requested == level_) {
    calmSince_.reset();
    return std::nullopt;
  }
  if (!calmSince_) calmSince_ = now_;
  if (now_ - *calmSince_ < recoveryDelay_) return std::nullopt;
  const Transition transition{level_, nextMilder(level_), now_, std::nullopt};
  level_ = transition.to;
  lastTransitionAt_ = now_;
  unconfirmedRecoveryAt_ = now_;
  calmSince_.reset();
  return transition;
}

void LevelController::advance(TimePoint now) {
  now_ = std::max(now_, now);
}

}  // namespace ivypost::degradation
