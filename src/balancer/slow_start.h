// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_SLOW_START_H_
#define IVYPOST_BALANCER_SLOW_START_H_

#include <algorithm>

#include "balancer/endpoint_registry.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Limits the load that all sidecars together put on an endpoint that is warming up (launched less than
/// Settings::slowStartWindow ago). Such an endpoint would collapse under the load of a warm one, which has
/// its full capacity.
///
/// Invariant: an attempt is sent to an endpoint that is warming up only for a credit of one. With every
/// request that may be sent, the endpoint earns a credit equal to its fraction of the present capacity of all
/// listed endpoints. If all sidecars do so, its load relative to its capacity is that of a warm endpoint.
/// Times are by this sidecar's clock and the endpoint's launchedAt; a sidecar whose list does not show an
/// endpoint's restart yet treats the endpoint as warm.
class SlowStart {
 public:
  /// `settings` must outlive the object.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  /// The fraction of its capacity that an endpoint has at least, from Settings::startCapacity to 1 (warm). It
  /// grows linearly over slowStartWindow; the real capacity grows no slower.
  [[nodiscard]] double capacityFraction(const Endpoint& endpoint, Micros now) const {
    if (settings_.fallMultiple <= 0 || settings_.slowStartWindow <= 0 || endpoint.launchedAt <= 0) return 1;
    const Micros age = std::max<Micros>(0, now - endpoint.launchedAt);
    if (age >= settings_.slowStartWindow) return 1;
    const double elapsedFraction = static_cast<double>(age) / static_cast<double>(settings_.slowStartWindow);
    return settings_.startCapacity + (1 - settings_.startCapacity) * elapsedFraction;
  }

  /// Whether the endpoint is warm or has a credit for an attempt.
  [[nodiscard]] bool hasCredit(const Endpoint& endpoint, Micros now) const {
    return capacityFraction(endpoint, now) >= 1 || endpoint.slowStartCredit >= 1;
  }

  /// Adds credit for the request, once, to the listed endpoints that are warming up.
  void earnCredit(Request& request, EndpointRegistry& endpoints, Micros now) const;

  /// Charges the endpoint for an attempt, retries included: one credit while it is warming up, or more if the
  /// request is heavy.
  void spendCredit(Endpoint& endpoint, const Request& request, Micros now) const {
    if (capacityFraction(endpoint, now) < 1) endpoint.slowStartCredit -= std::max(1.0, request.relativeWork);
  }

 private:
  const Settings& settings_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_SLOW_START_H_
