// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation_manager.h"

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace ivypost {
namespace {

using degradation::Micros;

Micros processCpuTime() {
  timespec used{};
  if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return 0;
  return static_cast<Micros>(used.tv_sec) * 1'000'000 + used.tv_nsec / 1000;
}

}  // namespace

DegradationManager::DegradationManager(boost::asio::io_context& io, double cores, Callbacks callbacks)
    : cores_(cores), callbacks_(std::move(callbacks)), timer_(io) {}

void DegradationManager::apply(const op::File::Degradation& settings) {
  if (!settings.on) {
    const bool reduced = level() != degradation::Level::Normal;
    timer_.cancel();
    monitor_.reset();
    if (reduced) callbacks_.levelChanged(degradation::Level::Normal);
    return;
  }
  if (monitor_) return monitor_->apply(settings.settings, now());
  monitor_.emplace(settings.settings, cores_, now());
  scheduleTick();
}

void DegradationManager::scheduleTick() {
  timer_.expires_after(std::chrono::microseconds(degradation::LevelController::kEvaluationInterval));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && monitor_) tick();
  });
}

void DegradationManager::tick() {
  degradation::Measurements measurements = callbacks_.measure();
  measurements.cpuTime = processCpuTime();
  measurements.eventLoopLag = std::max<Micros>(0, now() - microsOf(timer_.expiry()));
  const auto change = monitor_->tick(measurements, now());
  scheduleTick();
  if (!change) return;
  std::fprintf(stderr, "%s\n", degradation::describe(*change).c_str());
  callbacks_.levelChanged(change->to);
}

nlohmann::json DegradationManager::status() const {
  nlohmann::json status = {{"level", degradation::nameOf(level())}, {"on", monitor_.has_value()}};
  if (!monitor_) return status;
  const auto& controller = monitor_->controller();
  status["for_ms"] = (now() - controller.lastTransitionAt()) / 1000;
  auto& signals = status["signals"];
  for (std::size_t n = 0; n < degradation::kSignalCount; ++n) {
    const auto signal = static_cast<degradation::Signal>(n);
    signals[degradation::nameOf(signal)] = controller.smoothedValue(signal);
  }
  return status;
}

}  // namespace ivypost
