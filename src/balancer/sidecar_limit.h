// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_SIDECAR_LIMIT_H_
#define IVYPOST_BALANCER_SIDECAR_LIMIT_H_

#include "balancer/endpoint_readiness.h"
#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/latency_statistics.h"
#include "balancer/priority.h"
#include "balancer/request.h"
#include "balancer/send_rate.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// A limit and backoff of the whole sidecar, which bind it while it is without load information. Guards
/// against storms when everybody is full: backoff and limits of single endpoints do not bind such a sidecar,
/// which always finds another.
class SidecarLimit {
 public:
  /// All must outlive it.
  SidecarLimit(const EndpointRegistry& endpoints, const EndpointReadiness& readiness,
               const LatencyStatistics& latency, const SendRate& sendRate, const Priority& priority)
      : endpoints_(endpoints),
        readiness_(readiness),
        latency_(latency),
        sendRate_(sendRate),
        priority_(priority) {}

  /// An attempt went out.
  void countSend() { ++inFlight_; }
  /// An attempt is no longer in flight.
  void countEnd() { --inFlight_; }
  /// How many are.
  [[nodiscard]] double inFlight() const { return inFlight_; }

  /// Takes an outcome (after `latency` microseconds) into the limit.
  /// @return whether the whole sidecar is in backoff from now on
  bool backOffIfOverloaded(const Request& request, Outcome outcome, Micros latency,
                           const EventContext& context);

  /// Until when a backoff of the sidecar lasts for the request: the less it weighs against the greatest
  /// weight, the longer.
  [[nodiscard]] Micros backoffEnd(const Request& request) const;

  /// Whether no endpoint would get the request now, however many are ready.
  [[nodiscard]] bool mustWait(const Request& request, const EventContext& context) const {
    return (backoffDuration_ > 0 && context.now < backoffEnd(request)) || isAtLimit(context);
  }

  /// Whether a sidecar without load information has all out that it may.
  [[nodiscard]] bool isAtLimit(const EventContext& context) const;

 private:
  const EndpointRegistry& endpoints_;
  const EndpointReadiness& readiness_;
  const LatencyStatistics& latency_;
  const SendRate& sendRate_;
  const Priority& priority_;
  double limit_ = 1;              // of inFlight_
  double inFlight_ = 0;           // attempts without an outcome
  int consecutiveOverloads_ = 0;  // outcomes that tell of overload, of any endpoints
  Micros backoffStart_ = 0;       // the whole sidecar is in backoff ...
  double backoffDuration_ = 0;    // ... for this long, in microseconds, a request of half the greatest weight
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_SIDECAR_LIMIT_H_
