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

/// Probes the picked endpoint before a request is sent to it. Guards against picks without load information
/// of many sidecars with little traffic each: own counts are nearly all zero and tell nothing of what the
/// others send. The pick stands unless the endpoint proves not to be ready.
///
/// At most kMaxProbes probes a request, fewer the dearer they are and the less it weighs; every request
/// waits for one at most.
class HealthCheck {
 public:
  /// Overloaded, if what is in hand takes it too long; busier, if it has more in hand for its size than those
  /// probed before.
  enum class Verdict { HasCapacity, BusierThanUsual, Overloaded };

  /// All must outlive it.
  HealthCheck(const Settings& settings, EndpointRegistry& endpoints, LoadReports& loadReports,
              const Priority& priority);

  /// Whether a request with a pick is preceded by a probe. Under reduced service one probe in so many,
  /// evenly.
  bool shouldProbe(const Request& request, const ReducedService& reduced, const EventContext& context);
  /// Asks for a probe of the endpoint; the request waits for it.
  void startProbe(RequestId id, Request& request, EndpointId to, const EventContext& context);

  /// The requests that wait for a probe, in the order they began to.
  [[nodiscard]] const std::vector<RequestId>& waiting() const { return waiting_; }
  /// The request waits no more.
  void stopWaiting(RequestId id) { std::erase(waiting_, id); }

  /// A probe's result came, of an endpoint that the registry contains.
  void learn(const ProbeResult& event);
  /// What the probe last learned from says of the endpoint for a request that waited for it.
  [[nodiscard]] Verdict judge(const ProbeResult& event, const Request& request) const;
  /// Whether the pick stands with this verdict, the endpoint being ready still.
  [[nodiscard]] bool acceptsPick(const Request& request, Verdict verdict) const;
  /// The pick does not stand: the endpoint is in backoff, `typicalLatency` microseconds if it is overloaded.
  /// @return whether as many probes as cost nothing have found overload, so that the request gives way
  bool rejectPick(Request& request, Verdict verdict, double typicalLatency, const EventContext& context);

 private:
  [[nodiscard]] int maxProbes(const Request& request, double cost) const;
  [[nodiscard]] Micros probeTimeout(const Endpoint& endpoint) const;

  const Settings& settings_;
  EndpointRegistry& endpoints_;
  LoadReports& loadReports_;
  const Priority& priority_;
  bool isEnabled_;                  // endpoints are probed before they are sent to
  double probeCredit_ = 0;          // of one probe, under reduced service
  std::vector<RequestId> waiting_;  // wait for a probe
  std::vector<double>
      probeLatency_;  // smoothed time of a probe, by zone, microseconds; 0: none was answered yet
  double typicalBusyRequests_ = -1;  // smoothed, of requests in hand for the size, as reported; -1: unknown
  double previousTypicalBusyRequests_ = -1;  // what it was before the last result
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_HEALTH_CHECK_H_
