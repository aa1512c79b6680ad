// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/sidecar_limit.h"

#include <algorithm>
#include <cmath>

#include "balancer/concurrency_limit.h"
#include "balancer/endpoint_backoff.h"

namespace orchiddrum::internal {
namespace {

// So many attempts in a row that meet crowding (a refusal, a time-out, or an answer that took more than this
// part of its aim), at whatever endpoints, are chance; more rest the whole sidecar.
constexpr int kCrowdedBeforeRest = 2;
constexpr double kCrowdedAim = 0.3;
// Such a sidecar has so many times what it usually has in flight in calm times, and so many more, out at the
// most: room for chance alone. What all have beyond that waits at the endpoints and slows them down for long.
constexpr double kWholeRoom = 3;
constexpr double kWholeSpare = 2;
// The first rest lasts an eighth of the usual time to an answer doubled once; each further crowded outcome
// doubles it, up to so many doublings.
constexpr int kMaxRestDoublings = kMaxEjectionDoublings + 2;
constexpr int kFirstRestHalvings = 3;

}  // namespace

bool SidecarLimit::restIfCrowded(const Request& request, Outcome outcome, Micros lag,
                                 const EventContext& context) {
  const double line = kCrowdedAim * static_cast<double>(request.aim) * (1 + request.heaviness) / 2;
  const bool crowded = outcome == Outcome::Full || outcome == Outcome::Timeout ||
                       (outcome == Outcome::Ok && static_cast<double>(lag) > line);
  if (outcome == Outcome::Ok && !crowded) {
    crowdedInRow_ = 0;
    if (out_ + 2 > wholeLimit_) wholeLimit_ += 1 / wholeLimit_;
    const double usual = sendRate_.usualInFlight(latency_.calmLag(), context.now);
    wholeLimit_ = std::clamp(kWholeRoom * usual + kWholeSpare, 1.0, wholeLimit_);
  }
  if (!crowded || ++crowdedInRow_ <= kCrowdedBeforeRest || !context.blind) return false;
  wholeLimit_ = std::max(1.0, wholeLimit_ * kLimitBackoff);
  const int doublings = std::min(crowdedInRow_ - kCrowdedBeforeRest, kMaxRestDoublings) - kFirstRestHalvings;
  restFrom_ = context.now;
  restFor_ = latency_.overallLag() * std::exp2(doublings) * (0.5 + context.random.uniform());
  return true;
}

Micros SidecarLimit::restEnd(const Request& request) const {
  return restFrom_ + static_cast<Micros>(restFor_ / (2 * priority_.relativeWorth(request)));
}

// What is out at silent endpoints tells nothing of the others.
bool SidecarLimit::isWholeOut(const EventContext& context) const {
  if (!context.blind || out_ + 1 <= wholeLimit_) return false;
  double working = out_;
  for (const UpstreamId id : endpoints_.listed()) {
    if (readiness_.isSilent(endpoints_[id], context.now)) working -= endpoints_[id].inFlight;
  }
  return working > 0 && working + 1 > wholeLimit_;
}

}  // namespace orchiddrum::internal
