// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_backoff.h"

#include <algorithm>
#include <cmath>

namespace orchiddrum::internal {

void rest(Endpoint& endpoint, double span, const EventContext& context) {
  endpoint.pausedUntil = std::max(endpoint.pausedUntil, context.now + static_cast<Micros>(span));
  context.deadlines.push({endpoint.pausedUntil, 0, Wake::What::Ready});
}

void pause(Endpoint& endpoint, Micros serviceTime, Micros resolution, const EventContext& context) {
  const double wait = static_cast<double>(std::max(serviceTime, resolution)) *
                      std::exp2(std::min(endpoint.refusals++, kMaxEjectionDoublings));
  rest(endpoint, std::min(wait * (0.5 + context.random.uniform()), 1.0 * kEjection), context);
}

}  // namespace orchiddrum::internal
