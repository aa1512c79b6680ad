// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Carries the controller of reduced service out: ticks, reads the measurements, logs each change and tells
// it. Off, it has no timer and counts nothing.
#ifndef IVYPOST_DEGRADATION_MANAGER_H_
#define IVYPOST_DEGRADATION_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "clock.h"
#include "degradation/load_monitor.h"
#include "operator/file.h"

namespace ivypost {

class DegradationManager {
 public:
  struct Callbacks {
    // All but processor and lateness, which are looked up here.
    std::function<degradation::Measurements()> measure;
    std::function<void(degradation::Level)> levelChanged;
  };

  DegradationManager(boost::asio::io_context& io, double cores, Callbacks callbacks);

  // Begins, goes on with other figures at the level that it has, or ends at normal.
  void apply(const op::File::Degradation& settings);

  void onRequest(bool isRetry) {
    if (monitor_) monitor_->onRequest(isRetry, now());
  }
  void onAttemptEnd(bool failed) {
    if (monitor_) monitor_->onAttemptEnd(failed, now());
  }

  degradation::Level level() const {
    return monitor_ ? monitor_->controller().level() : degradation::Level::Normal;
  }
  // For whoever is awake: level, since when, and each signal.
  nlohmann::json status() const;

 private:
  void scheduleTick();
  void tick();

  const double cores_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  std::optional<degradation::LoadMonitor> monitor_;  // none: off
};

}  // namespace ivypost

#endif  // IVYPOST_DEGRADATION_MANAGER_H_
