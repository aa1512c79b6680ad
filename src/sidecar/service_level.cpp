// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "service_level.h"

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace ivypost {
namespace {

using levels::Micros;

Micros processorUsed() {
  timespec used{};
  if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return 0;
  return static_cast<Micros>(used.tv_sec) * 1'000'000 + used.tv_nsec / 1000;
}

}  // namespace

ServiceLevel::ServiceLevel(boost::asio::io_context& io, double cores, Callbacks callbacks)
    : cores_(cores), callbacks_(std::move(callbacks)), timer_(io) {}

void ServiceLevel::adopt(const op::File::Levels& settings) {
  if (!settings.on) {
    const bool reduced = level() != levels::Level::Normal;
    timer_.cancel();
    monitor_.reset();
    if (reduced) callbacks_.changed(levels::Level::Normal);
    return;
  }
  if (monitor_) return monitor_->adopt(settings.ladder, now());
  monitor_.emplace(settings.ladder, cores_, now());
  tickLater();
}

void ServiceLevel::tickLater() {
  timer_.expires_after(std::chrono::microseconds(levels::Ladder::kTick));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && monitor_) tick();
  });
}

void ServiceLevel::tick() {
  levels::Gauges gauges = callbacks_.gauges();
  gauges.processor = processorUsed();
  gauges.late = std::max<Micros>(0, now() - microsOf(timer_.expiry()));
  const auto change = monitor_->tick(gauges, now());
  tickLater();
  if (!change) return;
  std::fprintf(stderr, "%s\n", levels::describe(*change).c_str());
  callbacks_.changed(change->to);
}

nlohmann::json ServiceLevel::status() const {
  nlohmann::json status = {{"level", levels::nameOf(level())}, {"on", monitor_.has_value()}};
  if (!monitor_) return status;
  const auto& ladder = monitor_->ladder();
  status["for_ms"] = (now() - ladder.since()) / 1000;
  auto& signals = status["signals"];
  for (std::size_t n = 0; n < levels::kSignals; ++n) {
    const auto signal = static_cast<levels::Signal>(n);
    signals[levels::nameOf(signal)] = ladder.smoothed(signal);
  }
  return status;
}

}  // namespace ivypost
