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

/// A concurrency limit and a backoff of the whole sidecar, in effect while it lacks load information. They
/// prevent retry storms when all endpoints are full: the limits and backoffs of single endpoints don't slow
/// such a sidecar down, since it always finds another endpoint.
class SidecarLimit {
 public:
  /// All arguments must outlive the object.
  SidecarLimit(const EndpointRegistry& endpoints, const EndpointReadiness& readiness,
               const LatencyStatistics& latency, const SendRate& sendRate, const Priority& priority)
      : endpoints_(endpoints),
        readiness_(readiness),
        latency_(latency),
        sendRate_(sendRate),
        priority_(priority) {}

  /// To be called when an attempt is sent.
  void countSend() { ++inFlight_; }
  /// To be called when an attempt is no longer in flight.
  void countEnd() { --inFlight_; }
  /// The number of attempts in flight.
  [[nodiscard]] double inFlight() const { return inFlight_; }

  /// Updates the limit by an outcome after `latency` microseconds.
  /// @return whether the outcome has started a backoff of the whole sidecar
  bool backOffIfOverloaded(const Request& request, Outcome outcome, Micros latency,
                           const EventContext& context);

  /// When the sidecar's backoff ends for the request: the lower its relative weight, the later.
  [[nodiscard]] Micros backoffEnd(const Request& request) const;

  /// Whether the request must not be sent now, even if endpoints are ready.
  [[nodiscard]] bool mustWait(const Request& request, const EventContext& context) const {
    return (backoffDuration_ > 0 && context.now < backoffEnd(request)) || isAtLimit(context);
  }

  /// Whether the sidecar lacks load information and has as many attempts in flight as its limit permits.
  [[nodiscard]] bool isAtLimit(const EventContext& context) const;

 private:
  const EndpointRegistry& endpoints_;
  const EndpointReadiness& readiness_;
  const LatencyStatistics& latency_;
  const SendRate& sendRate_;
  const Priority& priority_;
  double limit_ = 1;              // upper bound of inFlight_
  double inFlight_ = 0;           // attempts in flight
  int consecutiveOverloads_ = 0;  // overloaded outcomes in a row, at any endpoints
  Micros backoffStart_ = 0;       // start of the sidecar's last backoff
  double backoffDuration_ = 0;    // its duration in microseconds for a relative weight of 0.5; 0: none yet
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_SIDECAR_LIMIT_H_
