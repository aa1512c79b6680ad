// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Runs the degradation module on the event loop.
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

/// Periodically collects the measurements, evaluates the degradation level, writes each transition to
/// standard error and reports it by a callback. While switched off, it runs no timer and ignores events. Not
/// thread-safe: all calls are made on the event loop.
class DegradationManager {
 public:
  /// Called on the event loop. What they refer to must outlive the manager.
  struct Callbacks {
    /// Returns all measurements except the CPU time and the event loop's lag, which the manager measures.
    std::function<degradation::Measurements()> measure;
    /// Called after each change of the level, also when switching off resets it to Normal.
    std::function<void(degradation::Level)> levelChanged;
  };

  /// Starts switched off. `cores`: CPU cores that the process may use, more than 0; may be fractional.
  DegradationManager(boost::asio::io_context& io, double cores, Callbacks callbacks);

  /// Switches on, changes the settings while keeping the present level, or switches off, which resets the
  /// level to Normal. The settings must be valid, which reading the operator's file has checked.
  void apply(const configuration::OperatorFile::Degradation& options);

  /// Calls degradation::LoadMonitor::onRequest() with the current time; ignored while switched off.
  void onRequest(bool isRetry);
  /// Calls degradation::LoadMonitor::onAttemptEnd() with the current time; ignored while switched off.
  void onAttemptEnd(bool failed);

  /// The level in force; Normal while switched off.
  [[nodiscard]] degradation::Level level() const;

  /// The JSON of `GET /status/level`: the level and whether degradation is switched on; if it is, also the
  /// milliseconds since the last transition and the smoothed value of each signal.
  [[nodiscard]] nlohmann::json status() const;

 private:
  void scheduleTick();
  void tick();

  const double cores_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  std::optional<degradation::LoadMonitor> monitor_;  // empty: switched off
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_DEGRADATION_MANAGER_H_
