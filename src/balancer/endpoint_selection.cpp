// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_selection.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace ivypost::balancer::internal {
namespace {

// Odds of an endpoint that is warming up and has a credit, or that this sidecar has to try after an ejection,
// relative to all warm endpoints together. High, since the credit or trial has already been granted.
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
  const auto met = [&](EndpointId id) {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [id](const Attempt& attempt) { return attempt.endpoint == id; });
  };
  const auto fresh = std::stable_partition(eligible_.begin(), eligible_.end(), std::not_fn(met));
  if (fresh != eligible_.begin()) eligible_.erase(fresh, eligible_.end());
  return eligible_;
}

const std::vector<EndpointId>& EndpointSelection::lastResort(const Request& request,
                                                             const Permission& allowed, Micros now) {
  eligible_.clear();
  for (const EndpointId id : endpoints_.listed()) {
    const Endpoint& endpoint = endpoints_[id];
    const bool free = endpoint.isHalfOpen && endpoint.isAnswering && endpoint.inFlight == 0 &&
                      EndpointReadiness::mayGetTrial(endpoint, now);
    if (free && retryPolicy_.mayGoTo(id, endpoint, request, allowed, now)) eligible_.push_back(id);
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
  double inside = 0;
  double outside = 0;
  const double meanSize = endpoints_.meanSize();
  const double exponent = std::sqrt(request.relativeWork);
  for (const EndpointId id : eligible) {
    const Endpoint& endpoint = endpoints_[id];
    odds_.push_back(suitability(endpoint, meanSize, exponent, now) * zoneOdds(endpoint));
    if (slowStart_.capacityFraction(endpoint, now) >= 1)
      (endpoint.isInSubset ? inside : outside) += odds_.back();
  }
  const bool isDivided = inside > 0 && outside > 0 && subset_.isPartial(now);
  const double outsideFactor =
      isDivided ? std::min(1.0, kOutsideSubsetShare / (1 - kOutsideSubsetShare) * inside / outside) : 1;
  const double warming = kWarmingOdds * (inside + outside * outsideFactor);
  double sum = 0;
  for (std::size_t n = 0; n < eligible.size(); ++n) {
    const Endpoint& endpoint = endpoints_[eligible[n]];
    const bool isDue = slowStart_.capacityFraction(endpoint, now) < 1 ||
                       (endpoint.isHalfOpen && now < endpoint.reportsValidUntil);
    sum += isDue ? std::max(odds_[n], warming * zoneOdds(endpoint))
                 : odds_[n] * (endpoint.isInSubset ? 1 : outsideFactor);
    odds_[n] = sum;
  }
  const auto at =
      std::upper_bound(odds_.begin(), odds_.end(), context.random.uniform() * sum) - odds_.begin();
  return eligible[std::min<std::size_t>(static_cast<std::size_t>(at), eligible.size() - 1)];
}

EndpointId EndpointSelection::pick(const std::vector<EndpointId>& eligible, const Request& request,
                                   const EventContext& context) {
  const EndpointId drawn = draw(eligible, request, context);
  const bool comparable = std::find(eligible.begin(), eligible.end(), remembered_) != eligible.end();
  const bool rememberedLighter = comparable && endpoints_[remembered_].inFlight < endpoints_[drawn].inFlight;
  const bool drawnLighter =
      remembered_ == kNoEndpoint || endpoints_[drawn].inFlight < endpoints_[remembered_].inFlight;
  const EndpointId picked = rememberedLighter ? remembered_ : drawn;
  if (drawnLighter) remembered_ = drawn;
  return picked;
}

}  // namespace ivypost::balancer::internal
