// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_ENDPOINT_READINESS_H_
#define IVYPOST_BALANCER_ENDPOINT_READINESS_H_

#include <algorithm>

#include "balancer/endpoint_registry.h"
#include "balancer/latency_statistics.h"
#include "balancer/slow_start.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// An endpoint with attempts in flight counts as silent when it has had no outcome for this multiple of the
/// typical latency.
constexpr double kSilenceMultiple = 4;

/// Whether an endpoint may get an attempt now: it is listed and serving, not held back by slow start, not
/// ejected, not in backoff, not silent, and below its concurrency limit.
class EndpointReadiness {
 public:
  /// Both arguments must outlive the object.
  EndpointReadiness(const SlowStart& slowStart, const LatencyStatistics& latency)
      : slowStart_(slowStart), latency_(latency) {}

  /// Whether every condition is met at `now`, in microseconds. The limit does not apply to an endpoint
  /// without attempts in flight, since a limit below one is enforced by a backoff.
  [[nodiscard]] bool isReady(const Endpoint& endpoint, Micros now) const {
    if (!endpoint.isListed || !slowStart_.hasCredit(endpoint, now)) return false;
    if (now < endpoint.ejectedUntil || now < endpoint.backoffUntil) return false;
    if (endpoint.isHalfOpen && (endpoint.inFlight > 0 || !mayGetTrial(endpoint, now))) return false;
    if (isSilent(endpoint, now)) return false;
    return endpoint.inFlight == 0 || static_cast<double>(endpoint.inFlight) + 1 <= endpoint.limit;
  }

  /// Whether the endpoint accepts requests without answering: no attempt has timed out yet, but other
  /// endpoints would have answered by now.
  [[nodiscard]] bool isSilent(const Endpoint& endpoint, Micros now) const {
    return endpoint.inFlight > 0 &&
           static_cast<double>(now - endpoint.lastOutcomeAt) > kSilenceMultiple * latency_.overallLatency();
  }

  /// Whether this sidecar may send a trial attempt to an ejected endpoint. While health reports of other
  /// sidecars are valid, only one sidecar may, so that not all of them try the endpoint at once.
  [[nodiscard]] static bool mayGetTrial(const Endpoint& endpoint, Micros now) {
    return now >= endpoint.reportsValidUntil || endpoint.isTrialOwner;
  }

  /// Whether at least one listed endpoint is ready, so that a held request might be sent.
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
