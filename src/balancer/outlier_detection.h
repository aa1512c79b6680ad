// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_OUTLIER_DETECTION_H_
#define IVYPOST_BALANCER_OUTLIER_DETECTION_H_

#include "balancer/endpoint_readiness.h"
#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/latency_statistics.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Ejects endpoints whose attempts fail (errors, resets, failed connects, time-outs), by the outcomes of own
/// attempts or by health reports of enough other sidecars, and readmits them after successful trials.
///
/// Invariant: at most half of the listed endpoints are ejected at once. Ejections are timed by this sidecar's
/// clock; health reports are valid for at most two seconds, and without them a sidecar decides by its own
/// attempts.
class OutlierDetection {
 public:
  /// All arguments must outlive the object.
  OutlierDetection(const Settings& settings, EndpointRegistry& endpoints, const EndpointReadiness& readiness,
                   const LatencyStatistics& latency)
      : settings_(settings), endpoints_(endpoints), readiness_(readiness), latency_(latency) {}

  /// Records the outcome of this sidecar's attempt at the endpoint.
  void observe(EndpointId id, Outcome outcome, const EventContext& context);

  /// Applies a report of other sidecars, unless this sidecar's own attempt has recently succeeded there.
  /// Enough unhealthy reports eject the endpoint as own failures do, but reports may eject a smaller fraction
  /// of the endpoints, and never the last ready one. A healthy report only permits a trial.
  void apply(const HealthReport& event, const EventContext& context);

 private:
  bool eject(EndpointId id, double maxFraction, const EventContext& context);

  const Settings& settings_;
  EndpointRegistry& endpoints_;
  const EndpointReadiness& readiness_;
  const LatencyStatistics& latency_;
  double fleetFailureRate_ = 0;  // smoothed fraction of failed attempts at all endpoints, 0 to 1
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_OUTLIER_DETECTION_H_
