// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/slow_start.h"

namespace ivypost::balancer::internal {
namespace {

// Unspent slow-start credit kept at most, in attempts: every sidecar may hold as much.
constexpr double kMaxCredit = 1;
// An endpoint that is warming up may get so many times the load that a warm one has while all are warm.
constexpr double kMaxLoadShare = 1.5;
// And at most this part of Settings::fallMultiple of it. What all clients ask may exceed what all warm
// ones can do; this leaves room for an overload of 1 / 0.6, so 1.67 times, before the endpoint's load
// reaches the multiple.
constexpr double kMaxFallMultipleFraction = 0.6;

}  // namespace

// What is rejected loads nobody, so only requests that may go out earn. One in backoff earns nothing: it
// would come all at once.
void SlowStart::earnCredit(Request& request, EndpointRegistry& endpoints, Micros now) const {
  if (request.hasEarnedCredit) return;
  request.hasEarnedCredit = true;
  double present = 0;
  double total = 0;
  for (const EndpointId id : endpoints.listed()) {
    const Endpoint& endpoint = endpoints[id];
    present += endpoint.size * capacityFraction(endpoint, now);
    total += endpoint.size;
  }
  if (present == total) return;  // the usual case: all are warm
  const double maxLoadShare = std::min(kMaxLoadShare, kMaxFallMultipleFraction * settings_.fallMultiple);
  const double share = std::min(1 / present, maxLoadShare / total);
  for (const EndpointId id : endpoints.listed()) {
    Endpoint& endpoint = endpoints[id];
    const double part = capacityFraction(endpoint, now);
    if (part < 1 && now >= std::max(endpoint.ejectedUntil, endpoint.backoffUntil))
      endpoint.slowStartCredit =
          std::min(kMaxCredit, endpoint.slowStartCredit + part * endpoint.size * share);
  }
}

}  // namespace ivypost::balancer::internal
