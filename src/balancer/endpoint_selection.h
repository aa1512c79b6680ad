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

/// Which endpoint an attempt goes to: one random draw against one remembered endpoint, compared by this
/// sidecar's own requests in flight. The remembered one wins only when it is strictly lighter; the memory
/// moves to the draw only when that is strictly lighter or nothing is remembered (docs/DESIGN-ivypost.md).
class EndpointSelection {
 public:
  /// All must outlive it.
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

  /// The ready endpoints that the rules allow the request; those it has not met, as long as there is one.
  /// @return a list that is valid until the next call of eligible() or lastResort()
  const std::vector<EndpointId>& eligible(const Request& request, const Permission& allowed, Micros now);

  /// Ejected endpoints that answer at all, are free, and that the rules allow the request.
  /// @return as eligible()
  const std::vector<EndpointId>& lastResort(const Request& request, const Permission& allowed, Micros now);

  /// One of `eligible`, which must not be empty, for an ordinary attempt. Draws one random number.
  EndpointId pick(const std::vector<EndpointId>& eligible, const Request& request,
                  const EventContext& context);

  /// The remembered endpoint, if there is one.
  [[nodiscard]] std::optional<EndpointId> remembered() const {
    return remembered_ == kNoEndpoint ? std::nullopt : std::optional<EndpointId>(remembered_);
  }
  /// The list has changed: one that left it is remembered no more.
  void forgetUnlisted() {
    if (remembered_ != kNoEndpoint && !endpoints_[remembered_].isListed) remembered_ = kNoEndpoint;
  }

 private:
  /// Guards against an own zone that has more traffic than it can carry: the less CPU its endpoints report
  /// spare, the less it is preferred.
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
  EndpointId remembered_ = kNoEndpoint;  // the remembered endpoint
  std::vector<EndpointId> eligible_;
  std::vector<double> odds_;  // running sums, for the draw
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_ENDPOINT_SELECTION_H_
