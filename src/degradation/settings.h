// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_SETTINGS_H_
#define IVYPOST_DEGRADATION_SETTINGS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "degradation/level.h"
#include "degradation/signal.h"
#include "degradation/time.h"

namespace ivypost::degradation {

/// Hysteresis of one level for one signal, in the signal's unit. `exit` lies under `enter`.
struct Threshold {
  double enter = 0;  ///< From this value on, the signal requests the level.
  double exit = 0;   ///< Below this value, it ceases to.
};

/// The thresholds of each level above Normal, which has none, for each signal.
class Thresholds {
 public:
  /// The threshold at which `signal` requests `level`; none: it never does.
  /// @pre `level` is not Normal; std::out_of_range otherwise.
  [[nodiscard]] std::optional<Threshold>& at(Level level, Signal signal) {
    return byLevel_.at(indexOf(level) - 1)[signal];
  }
  /// The same for settings that are only read.
  /// @pre `level` is not Normal; std::out_of_range otherwise.
  [[nodiscard]] const std::optional<Threshold>& at(Level level, Signal signal) const {
    return byLevel_.at(indexOf(level) - 1)[signal];
  }

 private:
  std::array<PerSignal<std::optional<Threshold>>, kLevelCount - 1> byLevel_;
};

/// What the operator may set, in the section [levels] of the operator's file. The reasons for the defaults
/// are in docs/design/reduced-service.md.
struct Settings {
  /// A stricter level's thresholds lie no lower than those of the next milder one, which has one for each
  /// signal that the stricter one has.
  Thresholds thresholds;
  /// Time constants of the signals' exponential smoothing, 0 or more. 0: not smoothed.
  PerSignal<Duration> smoothingTimes;
  /// Least time between two escalations, over 0; a level's restrictions get to show their effect.
  Duration escalationInterval = std::chrono::milliseconds(300);
  /// How long no signal may request the present level before the first recovery, over 0.
  Duration recoveryDelay = std::chrono::seconds(2);
  /// Bound of the delay, which doubles with each recovery that did not hold; no shorter than recoveryDelay.
  Duration maxRecoveryDelay = std::chrono::seconds(32);
  /// A recovery that is followed by no escalation for so long has held; over 0.
  Duration probationPeriod = std::chrono::seconds(10);
};

/// The settings of an empty operator's file. Valid.
[[nodiscard]] Settings defaultSettings();

/// Why settings are invalid, and where.
struct SettingsError {
  /// Which rule is broken; describe() has a text for each.
  enum class Kind : std::uint8_t {
    InvalidThreshold,      ///< Not finite, negative, or `exit` not under `enter`.
    BelowMilderLevel,      ///< Lies under the threshold of the next milder level.
    MissingAtMilderLevel,  ///< The next milder level has no threshold for the signal.
    InvalidInterval,       ///< One of the four spans is not over 0, or the longest delay under the first one.
    NegativeSmoothingTime,  ///< A time constant under 0.
  };
  Kind kind = Kind::InvalidThreshold;      ///< Also says whether `level` and `signal` have a meaning.
  Level level = Level::Normal;             ///< Of the threshold, where `kind` is about one.
  Signal signal = Signal::CpuUtilization;  ///< Likewise.
};

/// The first error found, by level and signal; none: the settings are valid.
[[nodiscard]] std::optional<SettingsError> validate(const Settings& settings);

/// One line for the operator.
[[nodiscard]] std::string describe(const SettingsError& error);

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_SETTINGS_H_
