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

/// What the sidecar measures at each tick. Fractions are 0 to 1.
struct Measurements {
  Duration cpuTime{};                 ///< Used by the process since its start.
  Duration eventLoopLag{};            ///< From when the tick was due to when it ran.
  double openRequestFraction = 0;     ///< Open requests, of the most that may be; 0 where there is no limit.
  double busyConnectionFraction = 0;  ///< Connections at work, of the limit; the fuller of the two sides.
  double overQuotaFraction = 0;       ///< Requests of tenants over their quota, of all.
  Duration endpointListAge{};         ///< Since the endpoint list was last known to be right.
};

/// Turns what the sidecar counts and measures into signals, and has a LevelController decide by them. No I/O,
/// no clock.
class LoadMonitor {
 public:
  /// @param settings valid by validate().
  /// @param cores of processor that the process may use; over 0, may be a part of one.
  /// @param now the beginning, on the clock of all later calls.
  LoadMonitor(const Settings& settings, double cores, TimePoint now);

  /// A client's request has arrived.
  /// @param isRetry whether its client marked it as a retry.
  /// @param now time that goes back counts as standing still.
  void onRequest(bool isRetry, TimePoint now);

  /// An attempt on an upstream has ended.
  /// @param failed it timed out, failed or was rejected. One that the sidecar itself cancelled is not
  /// reported.
  /// @param now as for onRequest().
  void onAttemptEnd(bool failed, TimePoint now);

  /// To be called every LevelController::kEvaluationInterval or so; evaluates once.
  [[nodiscard]] std::optional<Transition> tick(const Measurements& measurements, TimePoint now);

  /// As LevelController::apply().
  void apply(const Settings& settings, TimePoint now);

  /// The controller that decides by the signals, for reading its level and smoothed values.
  [[nodiscard]] const LevelController& controller() const { return controller_; }

 private:
  void observeCpu(Duration cpuTime, TimePoint now);

  double cores_;
  LevelController controller_;
  DecayingFraction failedAttempts_;
  DecayingFraction retries_;
  std::optional<Duration> lastCpuTime_;  // none ahead of the first tick
  TimePoint lastTickAt_;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LOAD_MONITOR_H_
