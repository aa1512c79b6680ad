// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/sidecar_limit.h"

#include <algorithm>
#include <cmath>

#include "balancer/concurrency_limit.h"
#include "balancer/endpoint_backoff.h"

namespace ivypost::balancer::internal {
namespace {

// Up to this many consecutive overloaded outcomes at any endpoints may be chance; more put the whole sidecar
// in backoff. Overloaded outcomes are a rejection, a time-out, or an answer that took more than
// kOverloadedObjectiveFraction of its latency objective.
constexpr int kOverloadsBeforeBackoff = 2;
constexpr double kOverloadedObjectiveFraction = 0.3;
// The limit is at most kTypicalMultiple of the attempts that the sidecar usually has in flight under low
// load, plus kAttemptHeadroom, which allows only for random variation: more attempts from all sidecars would
// queue at the endpoints and slow them down for a long time.
constexpr double kTypicalMultiple = 3;
constexpr double kAttemptHeadroom = 2;
// The first backoff lasts a quarter of the overall latency (one doubling of an eighth); each further
// overloaded outcome doubles it, up to kMaxBackoffDoublings in all.
constexpr int kMaxBackoffDoublings = kMaxEjectionDoublings + 2;
constexpr int kFirstBackoffHalvings = 3;

}  // namespace

bool SidecarLimit::backOffIfOverloaded(const Request& request, Outcome outcome, Micros latency,
                                       const EventContext& context) {
  const double threshold = kOverloadedObjectiveFraction * static_cast<double>(request.latencyObjective) *
                           (1 + request.relativeWork) / 2;
  const bool isOverloaded = outcome == Outcome::Full || outcome == Outcome::Timeout ||
                            (outcome == Outcome::Ok && static_cast<double>(latency) > threshold);
  if (outcome == Outcome::Ok && !isOverloaded) {
    consecutiveOverloads_ = 0;
    if (inFlight_ + 2 > limit_) limit_ += 1 / limit_;
    const double typicalInFlight = sendRate_.typicalInFlight(latency_.baselineLatency(), context.now);
    limit_ = std::clamp(kTypicalMultiple * typicalInFlight + kAttemptHeadroom, 1.0, limit_);
  }
  if (!isOverloaded || ++consecutiveOverloads_ <= kOverloadsBeforeBackoff || !context.lacksLoadInformation)
    return false;
  limit_ = std::max(1.0, limit_ * kLimitBackoff);
  const int doublings =
      std::min(consecutiveOverloads_ - kOverloadsBeforeBackoff, kMaxBackoffDoublings) - kFirstBackoffHalvings;
  backoffStart_ = context.now;
  backoffDuration_ = latency_.overallLatency() * std::exp2(doublings) * (0.5 + context.random.uniform());
  return true;
}

Micros SidecarLimit::backoffEnd(const Request& request) const {
  return backoffStart_ + static_cast<Micros>(backoffDuration_ / (2 * priority_.relativeWeight(request)));
}

// Attempts at silent endpoints don't count: they say nothing about the load of the others.
bool SidecarLimit::isAtLimit(const EventContext& context) const {
  if (!context.lacksLoadInformation || inFlight_ + 1 <= limit_) return false;
  double countedInFlight = inFlight_;
  for (const EndpointId id : endpoints_.listed()) {
    if (readiness_.isSilent(endpoints_[id], context.now)) countedInFlight -= endpoints_[id].inFlight;
  }
  return countedInFlight > 0 && countedInFlight + 1 > limit_;
}

}  // namespace ivypost::balancer::internal
