// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_backoff.h"

#include <algorithm>
#include <cmath>

namespace orchiddrum::internal {

void rest(Upstream& upstream, double span, const EventContext& context) {
  upstream.pausedUntil = std::max(upstream.pausedUntil, context.now + static_cast<Micros>(span));
  context.deadlines.push({upstream.pausedUntil, 0, Wake::What::Ready});
}

void pause(Upstream& upstream, Micros serviceTime, Micros resolution, const EventContext& context) {
  const double wait = static_cast<double>(std::max(serviceTime, resolution)) *
                      std::exp2(std::min(upstream.refusals++, kMaxEjectionDoublings));
  rest(upstream, std::min(wait * (0.5 + context.random.uniform()), 1.0 * kEjection), context);
}

}  // namespace orchiddrum::internal
