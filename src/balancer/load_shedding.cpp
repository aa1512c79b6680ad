// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/load_shedding.h"

#include <algorithm>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {

void LoadShedding::hold(RequestId id, const Request& request, const EventContext& context) {
  held_.push_back(id);
  context.deadlines.push({sidecarLimit_.backoffEnd(request), 0, Wake::Kind::Ready});
  context.deadlines.push({request.holdUntil, id, Wake::Kind::Hold});
}

void LoadShedding::wakeAfterBackoff(const RequestTable& requests, const EventContext& context) const {
  for (const RequestId id : held_)
    context.deadlines.push({sidecarLimit_.backoffEnd(requests.at(id)), 0, Wake::Kind::Ready});
}

// The time until the requests in flight and held will have been answered at the present rate (Little's law),
// with jitter.
Micros LoadShedding::retryAfter(const EventContext& context) const {
  const auto longest = static_cast<double>(settings_.retryAfter ? settings_.maxRetryAfter : 0);
  const double wait = latency_.overallLatency() *
                      (1 + static_cast<double>(held_.size() + 1) / std::max(1.0, sidecarLimit_.inFlight()));
  if (longest < 1) return 0;
  return static_cast<Micros>(util::within(wait * (0.5 + context.random.uniform()), 1, longest));
}

}  // namespace ivypost::balancer::internal
