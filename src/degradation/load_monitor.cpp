// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/load_monitor.h"

#include <algorithm>

namespace ivypost::degradation {

LoadMonitor::LoadMonitor(const Settings& settings, double cores, TimePoint now)
    : cores_(cores), controller_(settings, now), lastTickAt_(now) {}

void LoadMonitor::onRequest(bool isRetry, TimePoint now) {
  retries_.add(isRetry, now);
}

void LoadMonitor::onAttemptEnd(bool failed, TimePoint now) {
  failedAttempts_.add(failed, now);
}

std::optional<Transition> LoadMonitor::tick(const Measurements& measurements, TimePoint now) {
  observeCpu(measurements.cpuTime, now);
  controller_.observe(Signal::EventLoopLag, toMicroseconds(measurements.eventLoopLag), now);
  controller_.observe(Signal::OpenRequestFraction, measurements.openRequestFraction, now);
  controller_.observe(Signal::BusyConnectionFraction, measurements.busyConnectionFraction, now);
  controller_.observe(Signal::FailedAttemptFraction, failedAttempts_.value(now), now);
  controller_.observe(Signal::OverQuotaFraction, measurements.overQuotaFraction, now);
  controller_.observe(Signal::RetryFraction, retries_.value(now), now);
  controller_.observe(Signal::EndpointListAge, toMicroseconds(measurements.endpointListAge), now);
  return controller_.evaluate(now);
}

void LoadMonitor::apply(const Settings& settings, TimePoint now) {
  controller_.apply(settings, now);
}

// Divides by the elapsed time, so that a clock that jumps ahead causes no peak. If the clock has jumped back,
// no sample is taken.
void LoadMonitor::observeCpu(Duration cpuTime, TimePoint now) {
  const Duration elapsed = now - lastTickAt_;
  if (lastCpuTime_ && elapsed > Duration::zero()) {
    const Duration used = cpuTime - *lastCpuTime_;
    controller_.observe(Signal::CpuUtilization, toMicroseconds(used) / toMicroseconds(elapsed) / cores_, now);
  }
  lastCpuTime_ = cpuTime;
  lastTickAt_ = std::max(now, lastTickAt_);
}

}  // namespace ivypost::degradation
