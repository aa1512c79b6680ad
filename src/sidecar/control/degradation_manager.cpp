// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/degradation_manager.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock.h"

namespace ivypost {
namespace {

using degradation::Duration;
using degradation::TimePoint;

TimePoint toTimePoint(Clock::time_point time) {
  return std::chrono::time_point_cast<Duration>(time);
}

TimePoint monotonicNow() {
  return toTimePoint(Clock::now());
}

// CPU time that the process has used since its start; zero if the clock can't be read.
Duration processCpuTime() {
  timespec used{};
  if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return Duration::zero();
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(used.tv_nsec));
}

}  // namespace

DegradationManager::DegradationManager(boost::asio::io_context& io, double cores, Callbacks callbacks)
    : cores_(cores), callbacks_(std::move(callbacks)), timer_(io) {}

void DegradationManager::apply(const configuration::OperatorFile::Degradation& options) {
  if (!options.on) {
    const bool wasDegraded = level() != degradation::Level::Normal;
    timer_.cancel();
    monitor_.reset();
    if (wasDegraded) callbacks_.levelChanged(degradation::Level::Normal);
    return;
  }
  if (monitor_) return monitor_->apply(options.settings, monotonicNow());
  monitor_.emplace(options.settings, cores_, monotonicNow());
  scheduleTick();
}

void DegradationManager::onRequest(bool isRetry) {
  if (monitor_) monitor_->onRequest(isRetry, monotonicNow());
}

void DegradationManager::onAttemptEnd(bool failed) {
  if (monitor_) monitor_->onAttemptEnd(failed, monotonicNow());
}

degradation::Level DegradationManager::level() const {
  return monitor_ ? monitor_->controller().level() : degradation::Level::Normal;
}

void DegradationManager::scheduleTick() {
  timer_.expires_after(degradation::LevelController::kEvaluationInterval);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && monitor_) tick();
  });
}

void DegradationManager::tick() {
  degradation::Measurements measurements = callbacks_.measure();
  measurements.cpuTime = processCpuTime();
  measurements.eventLoopLag = std::max(Duration::zero(), monotonicNow() - toTimePoint(timer_.expiry()));
  const auto transition = monitor_->tick(measurements, monotonicNow());
  scheduleTick();
  if (!transition) return;
  std::fputs((degradation::describe(*transition) + "\n").c_str(), stderr);
  callbacks_.levelChanged(transition->to);
}

nlohmann::json DegradationManager::status() const {
  nlohmann::json status = {{"level", degradation::nameOf(level())}, {"on", monitor_.has_value()}};
  if (!monitor_) return status;
  const degradation::LevelController& controller = monitor_->controller();
  const Duration inLevel = monotonicNow() - controller.lastTransitionAt();
  status["for_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(inLevel).count();
  auto& signals = status["signals"];
  for (const degradation::Signal signal : degradation::kSignals)
    signals[std::string(nameOf(signal))] = controller.smoothedValue(signal);
  return status;
}

}  // namespace ivypost
