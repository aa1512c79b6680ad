// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_OUTLIER_DETECTION_H_
#define IVYPOST_BALANCER_OUTLIER_DETECTION_H_

#include "balancer/endpoint_readiness.h"
#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/latency_statistics.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Ejects endpoints that fail what they get (errors, resets, no connection, silence), by own attempts or by
/// what enough other sidecars have found, and takes them back after trials.
///
/// Invariant: at most half of the listed are ejected at once. Ejections are by this sidecar's clock; what
/// others have said counts for two seconds at most, and a sidecar that hears nothing goes by its own
/// attempts.
class OutlierDetection {
 public:
  /// All must outlive it.
  OutlierDetection(const Settings& settings, EndpointRegistry& endpoints, const EndpointReadiness& readiness,
                   const LatencyStatistics& latency)
      : settings_(settings), endpoints_(endpoints), readiness_(readiness), latency_(latency) {}

  /// An own attempt at the endpoint has this outcome.
  void observe(EndpointId id, Outcome outcome, const EventContext& context);

  /// Others have said something of an endpoint. Own fresh evidence beats it. What enough others have found is
  /// an ejection like one's own, but of fewer endpoints and never of the last ready; that one of them was
  /// served since only permits a trial.
  void apply(const HealthReport& event, const EventContext& context);

 private:
  bool eject(EndpointId id, double maxFraction, const EventContext& context);

  const Settings& settings_;
  EndpointRegistry& endpoints_;
  const EndpointReadiness& readiness_;
  const LatencyStatistics& latency_;
  double fleetFailureRate_ = 0;  // smoothed over all endpoints, 0 to 1
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_OUTLIER_DETECTION_H_
