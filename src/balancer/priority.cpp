// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/priority.h"

#include <algorithm>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// Lower bound of a request's weight, as a fraction of the greatest class weight.
constexpr double kMinRelativeWeight = 0.01;
// Time constant with which a tenant's usage decays, in microseconds.
constexpr double kUsageMemory = 5e6;

}  // namespace

double Priority::weight(const Request& request) const {
  double weight = classWeight(request.requestClass) * request.timeliness;
  if (request.tenant) {
    const double share = settings_.tenants[*request.tenant].share * totalUsage_;
    const double usage = tenantUsage_[*request.tenant];
    if (usage > share) weight *= (share + (usage - share) * settings_.overShareWeight) / usage;
  }
  return weight;
}

double Priority::relativeWeight(const Request& request) const {
  double greatest = 0;
  for (std::uint32_t cls = 0; cls < settings_.classes.size(); ++cls)
    greatest = std::max(greatest, classWeight(cls));
  return util::within(weight(request) / greatest, kMinRelativeWeight, 1);
}

// The class's weight per unit of work. Without Settings::weightByWork, RequestClass::weight is for a request
// and is divided by the class's typical latency, or the overall latency before the class's first answer.
double Priority::classWeight(std::uint32_t cls) const {
  const double typical = latency_.typicalLatency(cls);
  const double latency = typical > 0 ? typical : latency_.overallLatency();
  return settings_.classes[cls].weight / (settings_.weightByWork ? 1 : std::max(1.0, latency));
}

void Priority::countUsage(const Request& request, Micros now) {
  const double retained = retainedFraction(usageAt_, kUsageMemory, now);
  usageAt_ = now;
  totalUsage_ *= retained;
  for (double& usage : tenantUsage_) usage *= retained;
  if (!request.tenant) return;
  tenantUsage_[*request.tenant] += 1;
  totalUsage_ += 1;
}

}  // namespace ivypost::balancer::internal
