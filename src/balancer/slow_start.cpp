// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/slow_start.h"

namespace orchiddrum::internal {
namespace {

// Unspent slow-start credit kept at most, in attempts: every sidecar may hold as much.
constexpr double kMaxColdCredit = 1;
// A cold upstream may get so many times the load that a warm one has while all are warm.
constexpr double kMaxColdShare = 1.5;

}  // namespace

// What is refused loads nobody, so only requests that may go out earn. One that rests earns nothing: it would
// come all at once.
void SlowStart::earnCredit(Request& request, EndpointRegistry& endpoints, Micros now) const {
  if (request.earned) return;
  request.earned = true;
  double present = 0;
  double total = 0;
  for (const UpstreamId id : endpoints.listed()) {
    const Upstream& upstream = endpoints[id];
    present += upstream.size * warmth(upstream, now);
    total += upstream.size;
  }
  if (present == total) return;  // the usual case: all are warm
  const double share = std::min(1 / present, kMaxColdShare / total);
  for (const UpstreamId id : endpoints.listed()) {
    Upstream& upstream = endpoints[id];
    const double part = warmth(upstream, now);
    if (part < 1 && now >= std::max(upstream.ejectedUntil, upstream.pausedUntil))
      upstream.coldCredit = std::min(kMaxColdCredit, upstream.coldCredit + part * upstream.size * share);
  }
}

}  // namespace orchiddrum::internal
