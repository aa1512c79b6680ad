// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_ENDPOINT_READINESS_H_
#define IVYPOST_BALANCER_ENDPOINT_READINESS_H_

#include <algorithm>

#include "balancer/endpoint_registry.h"
#include "balancer/latency_statistics.h"
#include "balancer/slow_start.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// An endpoint with attempts out is silent after this many times the usual time to an answer.
constexpr double kSilenceMultiple = 4;

/// Whether an endpoint may get an attempt now, by all that is known of it: listed and serving, not held back
/// by slow start, not ejected, not in backoff, not silent, and below its concurrency limit.
class EndpointReadiness {
 public:
  /// Both must outlive it.
  EndpointReadiness(const SlowStart& slowStart, const LatencyStatistics& latency)
      : slowStart_(slowStart), latency_(latency) {}

  /// Whether every condition holds at `now`, in microseconds. The limit does
  /// not bind an endpoint with nothing in flight: a limit under one is kept by backoff.
  [[nodiscard]] bool isReady(const Endpoint& endpoint, Micros now) const {
    if (!endpoint.isListed || !slowStart_.hasCredit(endpoint, now)) return false;
    if (now < endpoint.ejectedUntil || now < endpoint.backoffUntil) return false;
    if (endpoint.isHalfOpen && (endpoint.inFlight > 0 || !mayGetTrial(endpoint, now))) return false;
    if (isSilent(endpoint, now)) return false;
    return endpoint.inFlight == 0 || static_cast<double>(endpoint.inFlight) + 1 <= endpoint.limit;
  }

  /// It takes requests and answers none: no time-out has come yet, but the others would have answered by now.
  [[nodiscard]] bool isSilent(const Endpoint& endpoint, Micros now) const {
    return endpoint.inFlight > 0 &&
           static_cast<double>(now - endpoint.lastOutcomeAt) > kSilenceMultiple * latency_.overallLatency();
  }

  /// Whether one that is out may get a trial of this sidecar. Guards against trials by all sidecars at once:
  /// where others say something of it, each trial is one sidecar's turn.
  [[nodiscard]] static bool mayGetTrial(const Endpoint& endpoint, Micros now) {
    return now >= endpoint.reportsValidUntil || endpoint.isTrialOwner;
  }

  /// Whether at least one listed endpoint is ready, so that trying held requests again can be of use.
  [[nodiscard]] bool anyReady(const EndpointRegistry& endpoints, Micros now) const {
    return std::any_of(endpoints.listed().begin(), endpoints.listed().end(),
                       [&](EndpointId id) { return isReady(endpoints[id], now); });
  }

 private:
  const SlowStart& slowStart_;
  const LatencyStatistics& latency_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_ENDPOINT_READINESS_H_
