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

/// Hysteresis of one level for one signal, in the signal's unit. `exit` must be less than `enter`.
struct Threshold {
  double enter = 0;  ///< At or above this value, the signal starts to request the level.
  double exit = 0;   ///< Below this value, the signal stops requesting the level.
};

/// The thresholds of each signal for each level above Normal. Normal has no thresholds.
class Thresholds {
 public:
  /// The threshold at which `signal` requests `level`; empty: it never requests the level.
  /// @pre `level` is not Normal; std::out_of_range otherwise.
  [[nodiscard]] std::optional<Threshold>& at(Level level, Signal signal) {
    return byLevel_.at(indexOf(level) - 1)[signal];
  }
  /// As above, for reading.
  /// @pre `level` is not Normal; std::out_of_range otherwise.
  [[nodiscard]] const std::optional<Threshold>& at(Level level, Signal signal) const {
    return byLevel_.at(indexOf(level) - 1)[signal];
  }

 private:
  std::array<PerSignal<std::optional<Threshold>>, kLevelCount - 1> byLevel_;
};

/// The settings of section [levels] of the operator's file. The reasons for the defaults are in
/// docs/design/reduced-service.md.
struct Settings {
  /// A level's threshold for a signal must not be lower than that of the next milder level, which must have a
  /// threshold for the signal too.
  Thresholds thresholds;
  /// Time constants of the signals' exponential smoothing, 0 or more; 0: not smoothed.
  PerSignal<Duration> smoothingTimes;
  /// Minimum time between two escalations, more than 0, so that a level's restrictions can take effect before
  /// the next escalation.
  Duration escalationInterval = std::chrono::milliseconds(300);
  /// Time without any signal requesting the present level until the first recovery, more than 0.
  Duration recoveryDelay = std::chrono::seconds(2);
  /// Maximum of the recovery delay, which doubles with each recovery that is followed by an escalation within
  /// probationPeriod; at least recoveryDelay.
  Duration maxRecoveryDelay = std::chrono::seconds(32);
  /// Time without escalation after which a recovery has held and the delay is reset; more than 0.
  Duration probationPeriod = std::chrono::seconds(10);
};

/// The settings of an empty operator's file. They are valid.
[[nodiscard]] Settings defaultSettings();

/// The reason why settings are invalid, and the level and signal concerned.
struct SettingsError {
  /// The rule that is violated; describe() returns a text for each.
  enum class Kind : std::uint8_t {
    InvalidThreshold,       ///< Not finite, negative, or `exit` not less than `enter`.
    BelowMilderLevel,       ///< Lower than the threshold of the next milder level.
    MissingAtMilderLevel,   ///< The next milder level has no threshold for the signal.
    InvalidInterval,        ///< One of the four durations is not over 0, or maxRecoveryDelay is too short.
    NegativeSmoothingTime,  ///< A time constant is less than 0.
  };
  Kind kind = Kind::InvalidThreshold;      ///< Determines whether `level` and `signal` apply.
  Level level = Level::Normal;             ///< Level of the threshold, if `kind` concerns one.
  Signal signal = Signal::CpuUtilization;  ///< Signal of the threshold, if `kind` concerns one.
};

/// The first error, in the order of levels and then signals; empty if the settings are valid.
[[nodiscard]] std::optional<SettingsError> validate(const Settings& settings);

/// Describes the error in one line for the operator.
[[nodiscard]] std::string describe(const SettingsError& error);

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_SETTINGS_H_
