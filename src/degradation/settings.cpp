// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/settings.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <initializer_list>

namespace ivypost::degradation {
namespace {

using namespace std::chrono_literals;

// Ten evaluation intervals, so that no single sample decides.
constexpr Duration kUsualSmoothing = 500ms;
// Half of the usual time, since a lagging event loop delays every request.
constexpr Duration kLagSmoothing = 250ms;
// Longer than usual, since traffic is bursty and these signals do not show that the sidecar itself is
// overloaded.
constexpr Duration kTrafficSmoothing = 2s;
// No smoothing, since an age grows steadily.
constexpr Duration kAgeSmoothing = 0s;

// Sets the thresholds of a signal from Thrifty upwards. The signal never requests the remaining levels.
void setThresholds(Settings& settings, Signal signal, std::initializer_list<Threshold> fromThrifty) {
  Level level = Level::Normal;
  for (const Threshold& threshold : fromThrifty) {
    level = nextStricter(level);
    settings.thresholds.at(level, signal) = threshold;
  }
}

bool isValid(const Threshold& threshold) {
  return std::isfinite(threshold.enter) && std::isfinite(threshold.exit) && threshold.exit >= 0 &&
         threshold.exit < threshold.enter;
}

std::optional<SettingsError> validateThreshold(const Thresholds& thresholds, Level level, Signal signal) {
  using Kind = SettingsError::Kind;
  const auto& threshold = thresholds.at(level, signal);
  if (!threshold) return std::nullopt;
  if (!isValid(*threshold)) return SettingsError{Kind::InvalidThreshold, level, signal};
  if (level == Level::Thrifty) return std::nullopt;
  const auto& milder = thresholds.at(nextMilder(level), signal);
  if (!milder) return SettingsError{Kind::MissingAtMilderLevel, level, signal};
  if (milder->enter > threshold->enter || milder->exit > threshold->exit)
    return SettingsError{Kind::BelowMilderLevel, level, signal};
  return std::nullopt;
}

bool hasValidIntervals(const Settings& settings) {
  return settings.escalationInterval > 0s && settings.recoveryDelay > 0s &&
         settings.maxRecoveryDelay >= settings.recoveryDelay && settings.probationPeriod > 0s;
}

std::string describeThreshold(const SettingsError& error, std::string_view problem) {
  std::string text(nameOf(error.level));
  return text.append(", ").append(nameOf(error.signal)).append(": ").append(problem);
}

}  // namespace

Settings defaultSettings() {
  Settings settings;
  setThresholds(settings, Signal::CpuUtilization, {{0.75, 0.60}, {0.88, 0.72}, {0.96, 0.82}});
  setThresholds(settings, Signal::EventLoopLag, {{20e3, 8e3}, {60e3, 25e3}, {150e3, 60e3}, {500e3, 200e3}});
  setThresholds(settings, Signal::OpenRequestFraction,
                {{0.50, 0.35}, {0.70, 0.50}, {0.85, 0.65}, {0.97, 0.80}});
  setThresholds(settings, Signal::BusyConnectionFraction,
                {{0.75, 0.60}, {0.88, 0.75}, {0.95, 0.85}, {0.99, 0.92}});
  // These signals request Protect or Thrifty at most: they do not show that the sidecar itself is overloaded.
  setThresholds(settings, Signal::FailedAttemptFraction, {{0.12, 0.05}, {0.30, 0.15}});
  setThresholds(settings, Signal::OverQuotaFraction, {{0.25, 0.12}, {0.40, 0.25}});
  setThresholds(settings, Signal::RetryFraction, {{0.20, 0.10}, {0.35, 0.20}});
  setThresholds(settings, Signal::EndpointListAge, {{6e6, 3e6}});
  settings.smoothingTimes.fill(kUsualSmoothing);
  settings.smoothingTimes[Signal::EventLoopLag] = kLagSmoothing;
  for (const Signal signal :
       {Signal::FailedAttemptFraction, Signal::OverQuotaFraction, Signal::RetryFraction})
    settings.smoothingTimes[signal] = kTrafficSmoothing;
  settings.smoothingTimes[Signal::EndpointListAge] = kAgeSmoothing;
  return settings;
}

std::optional<SettingsError> validate(const Settings& settings) {
  for (const Level level : kLevels) {
    if (level == Level::Normal) continue;
    for (const Signal signal : kSignals) {
      if (const auto error = validateThreshold(settings.thresholds, level, signal)) return error;
    }
  }
  if (!hasValidIntervals(settings)) return SettingsError{SettingsError::Kind::InvalidInterval};
  const bool hasNegative = std::any_of(kSignals.begin(), kSignals.end(),
                                       [&](Signal signal) { return settings.smoothingTimes[signal] < 0s; });
  if (hasNegative) return SettingsError{SettingsError::Kind::NegativeSmoothingTime};
  return std::nullopt;
}

std::string describe(const SettingsError& error) {
  switch (error.kind) {
    case SettingsError::Kind::InvalidThreshold:
      return describeThreshold(error, "the exit has to lie under the entry, and neither under 0");
    case SettingsError::Kind::BelowMilderLevel:
      return describeThreshold(error, "lies under the threshold of the level below");
    case SettingsError::Kind::MissingAtMilderLevel:
      return describeThreshold(error, "the level below has none for it");
    case SettingsError::Kind::InvalidInterval:
      return "times have to be over 0, and the longest calm no shorter than the first";
    case SettingsError::Kind::NegativeSmoothingTime:
      return "a smoothing time under 0";
  }
  std::abort();  // Not an enumerator.
}

}  // namespace ivypost::degradation
