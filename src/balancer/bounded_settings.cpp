// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/bounded_settings.h"

#include <algorithm>
#include <stdexcept>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

constexpr double kMaxObjectiveStretch = 1e6;  // far above any useful value
// With a start capacity of 0, an endpoint that is warming up would never earn a credit.
constexpr double kMinStartCapacity = 0.01;

}  // namespace

Settings boundedSettings(Settings settings) {
  if (settings.classes.empty()) throw std::invalid_argument("settings without classes");
  if (settings.zone >= settings.zones) throw std::invalid_argument("own zone out of range");
  settings.resolution = std::max<Micros>(settings.resolution, 1);
  settings.startCapacity = util::within(settings.startCapacity, kMinStartCapacity, 1);
  for (RequestClass& cls : settings.classes) {
    for (Micros* span : {&cls.latencyObjective, &cls.deadline, &cls.retryWindow}) util::bound(*span);
    cls.objectiveStretch = util::within(cls.objectiveStretch, 0, kMaxObjectiveStretch);
  }
  for (Micros* span : {&settings.pollWithin, &settings.slowStartWindow, &settings.idleTimeout,
                       &settings.retryBudgetWindow, &settings.closeDrainingWithin}) {
    util::bound(*span);
  }
  settings.sidecars = std::max<std::uint32_t>(settings.sidecars, 1);
  settings.maxAttempts = std::max<std::uint32_t>(settings.maxAttempts, 1);
  return settings;
}

}  // namespace ivypost::balancer::internal
