// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_selection.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace ivypost::balancer::internal {
namespace {

// Odds of an endpoint that is warming up and has a credit, or that this sidecar has to try after an ejection,
// relative to all warm endpoints together. The odds are high, since the credit or trial has already been
// granted.
constexpr double kWarmingOdds = 0.125;
// If attempts in another zone have a cost, the odds of endpoints there are multiplied by this factor.
constexpr double kCrossZoneOdds = 0.25;
// All endpoints outside the subset together keep this share of the draws, so that better ones can be found.
constexpr double kOutsideSubsetShare = 0.02;

// The draw weight of an endpoint for a request: 1 on average, within a factor of kMaxBias. It is proportional
// to the endpoint's size: while all in-flight counts are zero the draw alone decides, and a uniform draw
// would overload small endpoints. `exponent` (the square root of the request's relative work) strengthens the
// preference for heavy requests, which a slow endpoint can't serve in time, and weakens it for light ones. It
// is bounded so that every endpoint can be drawn.
double suitability(const Endpoint& endpoint, double meanSize, double exponent, Micros now) {
  const double speed = endpoint.size / meanSize / std::sqrt(slowness(endpoint, now));
  // Most requests have no hint of their work; std::pow with an exponent of 1 costs as much as any other.
  const double odds = exponent == 1 ? speed : std::pow(speed, exponent);
  return std::clamp(odds, 1 / kMaxBias, kMaxBias);
}

}  // namespace

const std::vector<EndpointId>& EndpointSelection::eligible(const Request& request, const Permission& allowed,
                                                           Micros now) {
  eligible_.clear();
  if (!allowed.maySend) return eligible_;
  for (const EndpointId id : endpoints_.listed()) {
    const Endpoint& endpoint = endpoints_[id];
    // A ready endpoint is listed and has its credit, so only the retry group remains to be checked.
    if (readiness_.isReady(endpoint, now) && retryPolicy_.isInGroup(id, endpoint, request, allowed))
      eligible_.push_back(id);
  }
  if (request.attempts.empty()) return eligible_;
  // A retry goes to an endpoint that this request has not been sent to, if there is one.
  const auto wasTried = [&](EndpointId id) {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [id](const Attempt& attempt) { return attempt.endpoint == id; });
  };
  const auto firstTried = std::stable_partition(eligible_.begin(), eligible_.end(), std::not_fn(wasTried));
  if (firstTried != eligible_.begin()) eligible_.erase(firstTried, eligible_.end());
  return eligible_;
}

const std::vector<EndpointId>& EndpointSelection::lastResort(const Request& request,
                                                             const Permission& allowed, Micros now) {
  eligible_.clear();
  for (const EndpointId id : endpoints_.listed()) {
    const Endpoint& endpoint = endpoints_[id];
    const bool isFree = endpoint.isHalfOpen && endpoint.isAnswering && endpoint.inFlight == 0 &&
                        EndpointReadiness::mayGetTrial(endpoint, now);
    if (isFree && retryPolicy_.mayGoTo(id, endpoint, request, allowed, now)) eligible_.push_back(id);
  }
  return eligible_;
}

double EndpointSelection::crossZoneOdds() const {
  return std::pow(kCrossZoneOdds,
                  std::min(1.0, (1 - loadReports_.ownZoneCpu()) / (1 - kOverloadCpuThreshold)));
}

EndpointId EndpointSelection::draw(const std::vector<EndpointId>& eligible, const Request& request,
                                   const EventContext& context) {
  const Micros now = context.now;
  odds_.clear();
  double subsetOdds = 0;
  double otherOdds = 0;
  const double meanSize = endpoints_.meanSize();
  const double exponent = std::sqrt(request.relativeWork);
  for (const EndpointId id : eligible) {
    const Endpoint& endpoint = endpoints_[id];
    odds_.push_back(suitability(endpoint, meanSize, exponent, now) * zoneOdds(endpoint));
    if (slowStart_.capacityFraction(endpoint, now) >= 1)
      (endpoint.isInSubset ? subsetOdds : otherOdds) += odds_.back();
  }
  const bool limitsOtherOdds = subsetOdds > 0 && otherOdds > 0 && subset_.isPartial(now);
  const double otherFactor =
      limitsOtherOdds
          ? std::min(1.0, kOutsideSubsetShare / (1 - kOutsideSubsetShare) * subsetOdds / otherOdds)
          : 1;
  const double grantedOdds = kWarmingOdds * (subsetOdds + otherOdds * otherFactor);
  double sum = 0;
  for (std::size_t n = 0; n < eligible.size(); ++n) {
    const Endpoint& endpoint = endpoints_[eligible[n]];
    const bool hasGrantedAttempt = slowStart_.capacityFraction(endpoint, now) < 1 ||
                                   (endpoint.isHalfOpen && now < endpoint.reportsValidUntil);
    sum += hasGrantedAttempt ? std::max(odds_[n], grantedOdds * zoneOdds(endpoint))
                             : odds_[n] * (endpoint.isInSubset ? 1 : otherFactor);
    odds_[n] = sum;
  }
  const auto at =
      std::upper_bound(odds_.begin(), odds_.end(), context.random.uniform() * sum) - odds_.begin();
  return eligible[std::min<std::size_t>(static_cast<std::size_t>(at), eligible.size() - 1)];
}

EndpointId EndpointSelection::pick(const std::vector<EndpointId>& eligible, const Request& request,
                                   const EventContext& context) {
  const EndpointId drawn = draw(eligible, request, context);
  const bool isRememberedEligible =
      std::find(eligible.begin(), eligible.end(), remembered_) != eligible.end();
  const bool isRememberedLighter =
      isRememberedEligible && endpoints_[remembered_].inFlight < endpoints_[drawn].inFlight;
  const bool isDrawnLighter =
      remembered_ == kNoEndpoint || endpoints_[drawn].inFlight < endpoints_[remembered_].inFlight;
  const EndpointId picked = isRememberedLighter ? remembered_ : drawn;
  if (isDrawnLighter) remembered_ = drawn;
  return picked;
}

}  // namespace ivypost::balancer::internal
