// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/level_controller.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace ivypost::degradation {
namespace {

std::size_t index(Signal signal) {
  return static_cast<std::size_t>(signal);
}
std::size_t index(Level level) {
  return static_cast<std::size_t>(level);
}

}  // namespace

const char* nameOf(Level level) {
  static constexpr std::array<const char*, kLevelCount> kNames = {"normal", "thrifty", "protect", "shed",
                                                                  "cutoff"};
  return kNames.at(index(level));
}

const char* nameOf(Signal signal) {
  static constexpr std::array<const char*, kSignalCount> kNames = {
      "cpu share", "loop lag",   "open share",  "descriptor share",
      "bad share", "over share", "retry share", "list age"};
  return kNames.at(index(signal));
}

Settings defaultSettings() {
  Settings s;
  const auto set = [&s](Signal signal, std::initializer_list<Threshold> upwards) {
    std::size_t level = 0;
    for (const Threshold& one : upwards) s.thresholds.at(level++).at(index(signal)) = one;
  };
  set(Signal::CpuUtilization, {{0.75, 0.60}, {0.88, 0.72}, {0.96, 0.82}});
  set(Signal::EventLoopLag, {{20e3, 8e3}, {60e3, 25e3}, {150e3, 60e3}, {500e3, 200e3}});
  set(Signal::OpenRequestFraction, {{0.50, 0.35}, {0.70, 0.50}, {0.85, 0.65}, {0.97, 0.80}});
  set(Signal::BusyConnectionFraction, {{0.75, 0.60}, {0.88, 0.75}, {0.95, 0.85}, {0.99, 0.92}});
  set(Signal::FailedAttemptFraction, {{0.12, 0.05}, {0.30, 0.15}});
  set(Signal::OverQuotaFraction, {{0.25, 0.12}, {0.40, 0.25}});
  set(Signal::RetryFraction, {{0.20, 0.10}, {0.35, 0.20}});
  set(Signal::EndpointListAge, {{6e6, 3e6}});
  s.smoothingTimes.fill(500'000);
  s.smoothingTimes[index(Signal::EventLoopLag)] = 250'000;
  for (const Signal slow : {Signal::FailedAttemptFraction, Signal::OverQuotaFraction, Signal::RetryFraction})
    s.smoothingTimes[index(slow)] = 2'000'000;
  s.smoothingTimes[index(Signal::EndpointListAge)] = 0;
  return s;
}

std::optional<std::string> findFlaw(const Settings& settings) {
  for (std::size_t level = 0; level < kLevelCount - 1; ++level) {
    for (std::size_t n = 0; n < kSignalCount; ++n) {
      const auto& one = settings.thresholds[level][n];
      if (!one) continue;
      const std::string where =
          std::string(nameOf(static_cast<Level>(level + 1))) + ", " + nameOf(static_cast<Signal>(n));
      if (!std::isfinite(one->enter) || !std::isfinite(one->exit) || one->exit < 0 || one->exit >= one->enter)
        return where + ": the exit has to lie under the entry, and neither under 0";
      if (level == 0) continue;
      const auto& below = settings.thresholds[level - 1][n];
      if (below && (below->enter > one->enter || below->exit > one->exit))
        return where + ": lies under the threshold of the level below";
      if (!below) return where + ": the level below has none for it";
    }
  }
  if (settings.escalationInterval <= 0 || settings.recoveryDelay <= 0 ||
      settings.maxRecoveryDelay < settings.recoveryDelay || settings.probationPeriod <= 0)
    return "times have to be over 0, and the longest calm no shorter than the first";
  if (std::any_of(settings.smoothingTimes.begin(), settings.smoothingTimes.end(),
                  [](Micros span) { return span < 0; }))
    return "a smoothing time under 0";
  return std::nullopt;
}

Restrictions restrictionsAt(Level level) {
  Restrictions restrictions;
  if (level >= Level::Thrifty) {
    restrictions.allowsHedging = false;
    restrictions.healthCheckFraction = 0.25;
  }
  if (level >= Level::Protect) restrictions.admitsByPriority = true;
  if (level >= Level::Shed) {
    restrictions.rejectsBeforeBody = true;
    restrictions.healthCheckFraction = 0;
  }
  if (level >= Level::Cutoff) restrictions.minPriorityWeight = 1;
  return restrictions;
}

std::string describe(const Transition& change) {
  std::array<char, 192> text{};
  if (change.cause) {
    std::snprintf(text.data(), text.size(), "level %s, was %s: %s %.4g over %.4g", nameOf(change.to),
                  nameOf(change.from), nameOf(*change.cause), change.value, change.threshold);
  } else {
    std::snprintf(text.data(), text.size(), "level %s, was %s: calm", nameOf(change.to), nameOf(change.from));
  }
  return text.data();
}

LevelController::LevelController(const Settings& settings, Micros now)
    : settings_(settings),
      now_(now),
      lastTransitionAt_(now - settings.escalationInterval),
      recoveryDelay_(settings.recoveryDelay) {}

void LevelController::apply(const Settings& settings, Micros now) {
  now_ = std::max(now_, now);
  settings_ = settings;
  requestedLevels_.fill(0);
  calmSince_.reset();
  recoveryDelay_ = std::clamp(recoveryDelay_, settings.recoveryDelay, settings.maxRecoveryDelay);
}

void LevelController::observe(Signal signal, double value, Micros now) {
  if (!std::isfinite(value) || value < 0) return;
  now_ = std::max(now_, now);
  MovingAverage& smoothed = averages_.at(index(signal));
  const auto constant = static_cast<double>(settings_.smoothingTimes.at(index(signal)));
  // The first sample stands for the past, of which nothing is known.
  const double part =
      !smoothed.any || constant <= 0 ? 1 : 1 - std::exp(-static_cast<double>(now_ - smoothed.at) / constant);
  smoothed.value += part * (value - smoothed.value);
  smoothed.at = now_;
  smoothed.any = true;
}

std::optional<Transition> LevelController::evaluate(Micros now) {
  now_ = std::max(now_, now);
  const std::size_t wanted = strictestRequestedLevel();
  if (wanted > index(level_)) return escalate(now_);
  return recover(now_, wanted);
}

// Each signal asks for a level of its own, with its own entry and exit; the strictest leads.
std::size_t LevelController::strictestRequestedLevel() {
  std::size_t wanted = 0;
  for (std::size_t n = 0; n < kSignalCount; ++n) {
    const auto threshold = [&](std::size_t level) { return settings_.thresholds.at(level).at(n); };
    std::size_t& asked = requestedLevels_.at(n);
    const double value = averages_.at(n).value;
    while (asked + 1 < kLevelCount && threshold(asked) && value >= threshold(asked)->enter) ++asked;
    while (asked > 0 && value < threshold(asked - 1)->exit) --asked;
    wanted = std::max(wanted, asked);
  }
  return wanted;
}

// One level further.
std::optional<Transition> LevelController::escalate(Micros now) {
  calmSince_.reset();
  if (now - lastTransitionAt_ < settings_.escalationInterval) return std::nullopt;
  const auto& next = settings_.thresholds.at(index(level_));
  Transition change{level_, static_cast<Level>(index(level_) + 1), now, std::nullopt, 0, 0};
  double worst = 0;
  for (std::size_t n = 0; n < kSignalCount; ++n) {
    if (requestedLevels_[n] <= index(level_)) continue;
    const double over = averages_[n].value / next[n]->enter;
    if (change.cause && over <= worst) continue;
    worst = over;
    change.cause = static_cast<Signal>(n);
    change.value = averages_[n].value;
    change.threshold = next[n]->enter;
  }
  // A restoration that did not hold: the next one waits for twice the calm.
  if (unconfirmedRecoveryAt_ && now - *unconfirmedRecoveryAt_ < settings_.probationPeriod)
    recoveryDelay_ = std::min(settings_.maxRecoveryDelay, 2 * recoveryDelay_);
  unconfirmedRecoveryAt_.reset();
  level_ = change.to;
  lastTransitionAt_ = now;
  return change;
}

// One level back when no signal has asked for this one for long enough.
std::optional<Transition> LevelController::recover(Micros now, std::size_t wanted) {
  if (unconfirmedRecoveryAt_ && now - *unconfirmedRecoveryAt_ >= settings_.probationPeriod) {
    unconfirmedRecoveryAt_.reset();
    recoveryDelay_ = settings_.recoveryDelay;
  }
  if (wanted == index(level_)) {
    calmSince_.reset();
    return std::nullopt;
  }
  if (!calmSince_) calmSince_ = now;
  if (now - *calmSince_ < recoveryDelay_) return std::nullopt;
  const Transition change{level_, static_cast<Level>(index(level_) - 1), now, std::nullopt, 0, 0};
  level_ = change.to;
  lastTransitionAt_ = now;
  unconfirmedRecoveryAt_ = now;
  calmSince_.reset();
  return change;
}

}  // namespace ivypost::degradation
