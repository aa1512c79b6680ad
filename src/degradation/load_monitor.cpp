// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/load_monitor.h"

#include <algorithm>
#include <cmath>

namespace ivypost::degradation {

void LoadMonitor::DecayingFraction::decay(Micros now) {
  if (now <= at) return;
  const double kept = std::exp(-static_cast<double>(now - at) / kConstant);
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
  return all < kLeast ? 0 : std::min(1.0, some / all);
}

LoadMonitor::LoadMonitor(const Settings& settings, double cores, Micros now)
    : cores_(cores), ladder_(settings, now), tickedAt_(now) {}

void LoadMonitor::requestCame(bool resent, Micros now) {
  resent_.count(resent, now);
}

void LoadMonitor::attemptEnded(bool bad, Micros now) {
  bad_.count(bad, now);
}

std::optional<Transition> LoadMonitor::tick(const Measurements& gauges, Micros now) {
  const Micros passed = now - tickedAt_;
  if (processor_ && passed > 0) {
    const auto used = static_cast<double>(gauges.processor - *processor_);
    ladder_.sample(Signal::CpuShare, used / static_cast<double>(passed) / cores_, now);
  }
  processor_ = gauges.processor;
  tickedAt_ = std::max(now, tickedAt_);
  ladder_.sample(Signal::LoopLag, static_cast<double>(gauges.late), now);
  ladder_.sample(Signal::OpenShare, gauges.openShare, now);
  ladder_.sample(Signal::DescriptorShare, gauges.busyPlaces, now);
  ladder_.sample(Signal::BadShare, bad_.value(now), now);
  ladder_.sample(Signal::OverShare, gauges.beyondShare, now);
  ladder_.sample(Signal::RetryShare, resent_.value(now), now);
  ladder_.sample(Signal::ListAge, static_cast<double>(gauges.listAge), now);
  return ladder_.judge(now);
}

void LoadMonitor::adopt(const Settings& settings, Micros now) {
  ladder_.adopt(settings, now);
}

}  // namespace ivypost::degradation
