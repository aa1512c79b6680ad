// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_backoff.h"

#include <algorithm>
#include <cmath>

namespace ivypost::balancer::internal {

void backOff(Endpoint& endpoint, double span, const EventContext& context) {
  endpoint.backoffUntil = std::max(endpoint.backoffUntil, context.now + static_cast<Micros>(span));
  context.deadlines.push({endpoint.backoffUntil, 0, Wake::Kind::Ready});
}

void backOffExponentially(Endpoint& endpoint, Micros serviceTime, Micros resolution,
                          const EventContext& context) {
  const double wait = static_cast<double>(std::max(serviceTime, resolution)) *
                      std::exp2(std::min(endpoint.consecutiveRejections++, kMaxEjectionDoublings));
  backOff(endpoint, std::min(wait * (0.5 + context.random.uniform()), 1.0 * kBaseEjection), context);
}

}  // namespace ivypost::balancer::internal
