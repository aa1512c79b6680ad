// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "balancer/endpoint_backoff.h"
#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// Gain of one outcome in an endpoint's failure rate. The endpoint is ejected when its rate exceeds that of
// all endpoints together by kFailureExcess: at two failures in short succession, but not at one.
constexpr double kFailureGain = 0.2;
constexpr double kFailureExcess = 0.3;
// At most kMaxEjected of the listed endpoints may be ejected at once: if more of them fail, load, the network
// or this sidecar is the likely cause. Health reports of others may eject up to kMaxEjectedByReports. Such an
// ejection needs kRequiredUnhealthyReports, or one less if fewer than kFewReachableSidecars are reachable.
constexpr double kMaxEjected = 0.5;
constexpr double kMaxEjectedByReports = 0.25;
constexpr std::uint32_t kRequiredUnhealthyReports = 3;
constexpr std::uint32_t kFewReachableSidecars = 6;
constexpr Micros kMaxReportValidity = 2'000'000;
// Lower bound of the random factor of ejection times; the upper bound is as far above 1 as this is below it.
constexpr double kShortestEjection = 0.75;

}  // namespace

void OutlierDetection::observe(EndpointId id, Outcome outcome, const EventContext& context) {
  Endpoint& endpoint = endpoints_[id];
  if (outcome == Outcome::Cancelled || outcome == Outcome::Moot || outcome == Outcome::Full) return;
  const double failed = outcome == Outcome::Ok ? 0 : 1;
  endpoint.isAnswering = outcome == Outcome::Ok || outcome == Outcome::Error;
  const auto listed = static_cast<double>(std::max<std::size_t>(1, endpoints_.listed().size()));
  util::smooth(fleetFailureRate_, failed, kFailureGain / listed);
  util::smooth(endpoint.failureRate, failed, kFailureGain);
  if (failed == 0) {
    endpoint.consecutiveRejections = 0;
    endpoint.lastServedAt = context.now;
  }
  if (endpoint.isHalfOpen && endpoint.failureRate < kFailureExcess / 2) {
    endpoint.isHalfOpen = false;
    endpoint.consecutiveEjections = 0;
    endpoint.ejectedUntil = context.now;
    context.act(Log{"upstream readmitted: " + std::to_string(id)});
  }
  const bool isOutlier = endpoint.failureRate > kFailureExcess + fleetFailureRate_;
  if (failed > 0 && context.now >= endpoint.ejectedUntil && (endpoint.isHalfOpen || isOutlier) &&
      !eject(id, kMaxEjected, context)) {
    backOffExponentially(endpoint, static_cast<Micros>(latency_.overallLatency()), settings_.resolution,
                         context);
  }
}

void OutlierDetection::apply(const HealthReport& event, const EventContext& context) {
  if (!endpoints_.contains(event.upstream)) return;
  Endpoint& endpoint = endpoints_[event.upstream];
  if (!endpoint.isListed || event.launchedAt != endpoint.launchedAt) return;
  endpoint.reportsValidUntil = context.now + std::clamp<Micros>(event.validFor, 0, kMaxReportValidity);
  endpoint.isTrialOwner = event.ownsNextTrial || event.hasHealthyReport;
  if (event.hasHealthyReport && endpoint.isHalfOpen)
    endpoint.ejectedUntil = std::min(endpoint.ejectedUntil, context.now);
  const std::uint32_t required = event.reachableSidecars < kFewReachableSidecars
                                     ? kRequiredUnhealthyReports - 1
                                     : kRequiredUnhealthyReports;
  if (event.hasHealthyReport || endpoint.isHalfOpen ||
      context.now - endpoint.lastServedAt < kOwnEvidenceValidity || event.unhealthyReports < required)
    return;
  const auto isReadyAlternative = [&](EndpointId id) {
    return id != event.upstream && readiness_.isReady(endpoints_[id], context.now);
  };
  if (std::any_of(endpoints_.listed().begin(), endpoints_.listed().end(), isReadyAlternative))
    eject(event.upstream, kMaxEjectedByReports, context);
}

// Ejects the endpoint. False if more than `maxFraction` of the listed endpoints would then be ejected.
bool OutlierDetection::eject(EndpointId id, double maxFraction, const EventContext& context) {
  const auto& listed = endpoints_.listed();
  const auto ejected = std::count_if(listed.begin(), listed.end(), [&](EndpointId other) {
    return endpoints_[other].isHalfOpen || context.now < endpoints_[other].ejectedUntil;
  });
  Endpoint& endpoint = endpoints_[id];
  const double others = static_cast<double>(ejected) - (endpoint.isHalfOpen ? 1 : 0);
  if (others + 1 > maxFraction * static_cast<double>(listed.size())) return false;
  const double duration = static_cast<double>(kBaseEjection) *
                          std::exp2(std::min(endpoint.consecutiveEjections, kMaxEjectionDoublings));
  // Jittered, so that sidecars that saw the same failure don't all retry the endpoint at once.
  endpoint.ejectedUntil =
      context.now + static_cast<Micros>(duration * (kShortestEjection + context.random.uniform() / 2));
  context.deadlines.push({endpoint.ejectedUntil, 0, Wake::Kind::Ready});
  if (!endpoint.isHalfOpen) context.act(Log{"upstream ejected: " + std::to_string(id)});
  ++endpoint.consecutiveEjections;
  endpoint.isHalfOpen = true;
  endpoint.failureRate = kFailureExcess;
  return true;
}

}  // namespace ivypost::balancer::internal
