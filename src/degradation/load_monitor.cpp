// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/load_monitor.h"

#include <algorithm>
#include <cmath>

namespace ivypost::degradation {

void LoadMonitor::DecayingFraction::decay(Micros now) {
  if (now <= at) return;
  const double kept = std::exp(-static_cast<double>(now - at) / kDecayTime);
  at = now;
  some *= kept;
  all *= kept;
}

void LoadMonitor::DecayingFraction::count(bool one, Micros now) {
  decay(now);
  all += 1;
  if (one) some += 1;
}

double LoadMonitor::DecayingFraction::value(Micros now) {
  decay(now);
  return all < kMinEvents ? 0 : std::min(1.0, some / all);
}

LoadMonitor::LoadMonitor(const Settings& settings, double cores, Micros now)
    : cores_(cores), controller_(settings, now), lastTickAt_(now) {}

void LoadMonitor::onRequest(bool isRetry, Micros now) {
  retries_.count(isRetry, now);
}

void LoadMonitor::onAttemptEnd(bool failed, Micros now) {
  failedAttempts_.count(failed, now);
}

std::optional<Transition> LoadMonitor::tick(const Measurements& measurements, Micros now) {
  const Micros passed = now - lastTickAt_;
  if (cpuTime_ && passed > 0) {
    const auto used = static_cast<double>(measurements.cpuTime - *cpuTime_);
    controller_.observe(Signal::CpuUtilization, used / static_cast<double>(passed) / cores_, now);
  }
  cpuTime_ = measurements.cpuTime;
  lastTickAt_ = std::max(now, lastTickAt_);
  controller_.observe(Signal::EventLoopLag, static_cast<double>(measurements.eventLoopLag), now);
  controller_.observe(Signal::OpenRequestFraction, measurements.openRequestFraction, now);
  controller_.observe(Signal::BusyConnectionFraction, measurements.busyConnectionFraction, now);
  controller_.observe(Signal::FailedAttemptFraction, failedAttempts_.value(now), now);
  controller_.observe(Signal::OverQuotaFraction, measurements.overQuotaFraction, now);
  controller_.observe(Signal::RetryFraction, retries_.value(now), now);
  controller_.observe(Signal::EndpointListAge, static_cast<double>(measurements.endpointListAge), now);
  return controller_.evaluate(now);
}

void LoadMonitor::apply(const Settings& settings, Micros now) {
  controller_.apply(settings, now);
}

}  // namespace ivypost::degradation
