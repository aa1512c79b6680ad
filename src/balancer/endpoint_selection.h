// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_ENDPOINT_SELECTION_H_
#define IVYPOST_BALANCER_ENDPOINT_SELECTION_H_

#include <optional>
#include <vector>

#include "balancer/connection_subset.h"
#include "balancer/endpoint_readiness.h"
#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/load_reports.h"
#include "balancer/request.h"
#include "balancer/retry_policy.h"
#include "balancer/slow_start.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Picks the endpoint of an attempt: the less loaded of one randomly drawn and one remembered endpoint, by
/// this sidecar's own attempts in flight. The remembered endpoint is picked only if it has strictly fewer;
/// the drawn one is remembered only if it has strictly fewer or none is remembered (docs/DESIGN-ivypost.md).
class EndpointSelection {
 public:
  /// All arguments must outlive the object.
  EndpointSelection(const Settings& settings, const EndpointRegistry& endpoints, const SlowStart& slowStart,
                    const EndpointReadiness& readiness, const RetryPolicy& retryPolicy,
                    const LoadReports& loadReports, const ConnectionSubset& subset)
      : settings_(settings),
        endpoints_(endpoints),
        slowStart_(slowStart),
        readiness_(readiness),
        retryPolicy_(retryPolicy),
        loadReports_(loadReports),
        subset_(subset) {}

  /// The ready endpoints that the rules permit for the request. If the request has not been sent to some of
  /// them yet, only those are returned.
  /// @return a list that is valid until the next call of eligible() or lastResort()
  const std::vector<EndpointId>& eligible(const Request& request, const Permission& allowed, Micros now);

  /// Ejected endpoints that still answer, have no attempt in flight, and are permitted by the rules.
  /// @return as eligible()
  const std::vector<EndpointId>& lastResort(const Request& request, const Permission& allowed, Micros now);

  /// Picks one of `eligible`, which must not be empty, for an ordinary attempt. Draws one random number.
  EndpointId pick(const std::vector<EndpointId>& eligible, const Request& request,
                  const EventContext& context);

  /// The remembered endpoint, if there is one.
  [[nodiscard]] std::optional<EndpointId> remembered() const {
    return remembered_ == kNoEndpoint ? std::nullopt : std::optional<EndpointId>(remembered_);
  }
  /// To be called when the list has changed: forgets a remembered endpoint that is no longer listed.
  void forgetUnlisted() {
    if (remembered_ != kNoEndpoint && !endpoints_[remembered_].isListed) remembered_ = kNoEndpoint;
  }

 private:
  /// The less idle CPU the endpoints of this sidecar's zone report, the weaker the preference for that zone,
  /// so that a zone with more traffic than capacity is not overloaded.
  [[nodiscard]] double zoneOdds(const Endpoint& endpoint) const {
    return settings_.crossZoneCost <= 0 || endpoint.zone == settings_.zone ? 1 : crossZoneOdds();
  }
  [[nodiscard]] double crossZoneOdds() const;
  EndpointId draw(const std::vector<EndpointId>& eligible, const Request& request,
                  const EventContext& context);

  const Settings& settings_;
  const EndpointRegistry& endpoints_;
  const SlowStart& slowStart_;
  const EndpointReadiness& readiness_;
  const RetryPolicy& retryPolicy_;
  const LoadReports& loadReports_;
  const ConnectionSubset& subset_;
  EndpointId remembered_ = kNoEndpoint;
  std::vector<EndpointId> eligible_;
  std::vector<double> odds_;  // cumulative odds, for the draw
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_ENDPOINT_SELECTION_H_
