// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The degradation module on the event loop.
#ifndef IVYPOST_CONTROL_DEGRADATION_MANAGER_H_
#define IVYPOST_CONTROL_DEGRADATION_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "configuration/operator_file.h"
#include "degradation/load_monitor.h"

namespace ivypost {

/// Runs the degradation module on the event loop: ticks, measures, logs each transition to standard error and
/// reports it. Switched off, it has no timer and counts nothing. Not thread-safe: all calls are made on the
/// loop.
class DegradationManager {
 public:
  /// Called on the event loop. They outlive the manager.
  struct Callbacks {
    /// All measurements but the processor time and the event loop's lag, which the manager takes itself.
    std::function<degradation::Measurements()> measure;
    /// After each change of the level, also to Normal when it is switched off.
    std::function<void(degradation::Level)> levelChanged;
  };

  /// Begins switched off. `cores`: of processor that the process may use; over 0.
  DegradationManager(boost::asio::io_context& io, double cores, Callbacks callbacks);

  /// Switches on, goes on with other settings at the present level, or switches off, which ends at Normal.
  /// The settings are valid, as reading the file has made sure.
  void apply(const configuration::OperatorFile::Degradation& options);

  /// As degradation::LoadMonitor::onRequest(), now; nothing while switched off.
  void onRequest(bool isRetry);
  /// As degradation::LoadMonitor::onAttemptEnd(), now; nothing while switched off.
  void onAttemptEnd(bool failed);

  /// Normal while switched off.
  [[nodiscard]] degradation::Level level() const;

  /// For `GET /status/level`: the level, whether it is on, since when (milliseconds) and each smoothed
  /// signal.
  [[nodiscard]] nlohmann::json status() const;

 private:
  void scheduleTick();
  void tick();

  const double cores_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  std::optional<degradation::LoadMonitor> monitor_;  // none: off
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_DEGRADATION_MANAGER_H_
