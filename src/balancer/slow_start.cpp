// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/slow_start.h"

namespace ivypost::balancer::internal {
namespace {

// Upper bound of an endpoint's unspent credit, in attempts. Low, since every sidecar may have as much.
constexpr double kMaxCredit = 1;
// Upper bound of the load of an endpoint that is warming up, relative to its capacity, as a multiple of the
// load that a warm endpoint has while all are warm.
constexpr double kMaxLoadShare = 1.5;
// The same bound as a fraction of Settings::fallMultiple. The clients' demand may exceed the capacity that
// all endpoints have when warm; with this fraction it may be 1 / 0.6, so 1.67 times, that capacity before the
// endpoint's load reaches fallMultiple.
constexpr double kMaxFallMultipleFraction = 0.6;

}  // namespace

// Called only for requests that may be sent, since rejected requests load no endpoint. An endpoint that is
// ejected or in backoff earns no credit: all sidecars would spend the saved credit at once when the ejection
// or backoff ends.
void SlowStart::earnCredit(Request& request, EndpointRegistry& endpoints, Micros now) const {
  if (request.hasEarnedCredit) return;
  request.hasEarnedCredit = true;
  double presentCapacity = 0;
  double totalSize = 0;
  for (const EndpointId id : endpoints.listed()) {
    const Endpoint& endpoint = endpoints[id];
    presentCapacity += endpoint.size * capacityFraction(endpoint, now);
    totalSize += endpoint.size;
  }
  if (presentCapacity == totalSize) return;  // common case: all endpoints are warm
  const double maxLoadShare = std::min(kMaxLoadShare, kMaxFallMultipleFraction * settings_.fallMultiple);
  const double creditPerSize = std::min(1 / presentCapacity, maxLoadShare / totalSize);
  for (const EndpointId id : endpoints.listed()) {
    Endpoint& endpoint = endpoints[id];
    const double fraction = capacityFraction(endpoint, now);
    if (fraction < 1 && now >= std::max(endpoint.ejectedUntil, endpoint.backoffUntil))
      endpoint.slowStartCredit =
          std::min(kMaxCredit, endpoint.slowStartCredit + fraction * endpoint.size * creditPerSize);
  }
}

}  // namespace ivypost::balancer::internal
