// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_HEALTH_CHECK_H_
#define IVYPOST_BALANCER_HEALTH_CHECK_H_

#include <optional>
#include <vector>

#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/load_reports.h"
#include "balancer/priority.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Probes the picked endpoint before a request is sent to it. Intended for fleets of many sidecars with
/// little traffic each: a sidecar's own in-flight counts are then nearly all zero and don't show the load
/// that the other sidecars cause. The pick is kept unless the probe shows that the endpoint is not ready.
///
/// A request gets at most kMaxProbes probes, fewer if a probe costs more or the request's weight is lower; it
/// waits for at most one probe at a time.
class HealthCheck {
 public:
  /// Overloaded: its busy requests would delay the request too long. BusierThanUsual: it has more busy
  /// requests for its size than the endpoints probed before.
  enum class Verdict { HasCapacity, BusierThanUsual, Overloaded };

  /// All arguments must outlive the object.
  HealthCheck(const Settings& settings, EndpointRegistry& endpoints, LoadReports& loadReports,
              const Priority& priority);

  /// Whether to probe the picked endpoint before sending the request. Under reduced service only
  /// ReducedService::probeFraction of the probes are made, at even intervals.
  bool shouldProbe(const Request& request, const ReducedService& reduced, const EventContext& context);
  /// Requests a probe of the endpoint; the request waits for its result.
  void startProbe(RequestId id, Request& request, EndpointId to, const EventContext& context);

  /// The requests that wait for a probe, in the order in which they started to wait.
  [[nodiscard]] const std::vector<RequestId>& waiting() const { return waiting_; }
  /// Ends the request's wait for a probe, if it waits.
  void stopWaiting(RequestId id) { std::erase(waiting_, id); }

  /// Updates the statistics by a probe result of an endpoint that the registry contains.
  void learn(const ProbeResult& event);
  /// The verdict on the endpoint for a request that waited for the probe; `event` must be the last one passed
  /// to learn().
  [[nodiscard]] Verdict judge(const ProbeResult& event, const Request& request) const;
  /// Whether the pick is kept with this verdict, provided that the endpoint is still ready.
  [[nodiscard]] bool acceptsPick(const Request& request, Verdict verdict) const;
  /// Discards the pick and puts the endpoint in backoff, for `typicalLatency` microseconds if it is
  /// overloaded.
  /// @return whether enough probes have found overload for the request to be rejected
  bool rejectPick(Request& request, Verdict verdict, double typicalLatency, const EventContext& context);

 private:
  [[nodiscard]] int maxProbes(const Request& request, double cost) const;
  [[nodiscard]] Micros probeTimeout(const Endpoint& endpoint) const;

  const Settings& settings_;
  EndpointRegistry& endpoints_;
  LoadReports& loadReports_;
  const Priority& priority_;
  bool isEnabled_;                    // whether the settings permit probes and make them useful
  double probeCredit_ = 0;            // fraction of a probe saved up under reduced service, up to 1
  std::vector<RequestId> waiting_;    // requests that wait for a probe
  std::vector<double> probeLatency_;  // smoothed latency of probes by zone, microseconds; 0: no answer yet
  double typicalBusyRequests_ = -1;  // smoothed reported busy requests per unit of endpoint size; -1: unknown
  double previousTypicalBusyRequests_ = -1;  // typicalBusyRequests_ before the last result
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_HEALTH_CHECK_H_
