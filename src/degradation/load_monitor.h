// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_LOAD_MONITOR_H_
#define IVYPOST_DEGRADATION_LOAD_MONITOR_H_

#include <optional>

#include "degradation/decaying_fraction.h"
#include "degradation/level_controller.h"
#include "degradation/settings.h"
#include "degradation/time.h"
#include "degradation/transition.h"

namespace ivypost::degradation {

/// The measurements of one tick. Fractions are 0 to 1.
struct Measurements {
  Duration cpuTime{};                 ///< CPU time used by the process since its start.
  Duration eventLoopLag{};            ///< Delay from when the tick was due until it ran.
  double openRequestFraction = 0;     ///< Open requests divided by their limit; 0 without a limit.
  double busyConnectionFraction = 0;  ///< Busy connections / limit; the greater of clients and upstreams.
  double overQuotaFraction = 0;       ///< Requests of tenants over their quota, divided by all.
  Duration endpointListAge{};         ///< Time since the endpoint list was last known to be current.
};

/// Converts counted events and measurements into signals and passes them to a LevelController. No I/O and no
/// clock.
class LoadMonitor {
 public:
  /// @param settings must be valid by validate().
  /// @param cores CPU cores that the process may use; more than 0, may be fractional.
  /// @param now the present time on the clock that all later calls use.
  LoadMonitor(const Settings& settings, double cores, TimePoint now);

  /// Counts a client's request that has arrived.
  /// @param isRetry whether its client marked it as a retry.
  /// @param now if earlier than in a previous call, no time is taken to have passed.
  void onRequest(bool isRetry, TimePoint now);

  /// Counts an attempt on an upstream that has ended.
  /// @param failed whether it timed out, failed or was rejected. Attempts that the sidecar cancelled must not
  /// be reported.
  /// @param now as for onRequest().
  void onAttemptEnd(bool failed, TimePoint now);

  /// Observes the signals and evaluates the level once. To be called about every
  /// LevelController::kEvaluationInterval.
  [[nodiscard]] std::optional<Transition> tick(const Measurements& measurements, TimePoint now);

  /// Changes the settings as LevelController::apply() does.
  void apply(const Settings& settings, TimePoint now);

  /// The controller, for reading its level and its smoothed signals.
  [[nodiscard]] const LevelController& controller() const { return controller_; }

 private:
  void observeCpu(Duration cpuTime, TimePoint now);

  double cores_;
  LevelController controller_;
  DecayingFraction failedAttempts_;
  DecayingFraction retries_;
  std::optional<Duration> lastCpuTime_;  // empty before the first tick
  TimePoint lastTickAt_;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LOAD_MONITOR_H_
