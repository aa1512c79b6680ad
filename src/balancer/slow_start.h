// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_SLOW_START_H_
#define IVYPOST_BALANCER_SLOW_START_H_

#include <algorithm>

#include "balancer/endpoint_registry.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Keeps an endpoint that is warming up, one that was launched less than Settings::slowStartWindow ago, from
/// being pushed over by all sidecars together.
///
/// Invariant: an attempt goes to an endpoint that is warming up only for a credit of one. With every request
/// that may go out it earns its part of what all listed ones can do now, so if all sidecars do so it is
/// loaded like a warm one for what it can do. Times by this sidecar's clock and the endpoint's launchedAt; a
/// sidecar that hears nothing of a restart sends as to a warm one.
class SlowStart {
 public:
  /// `settings` must outlive it.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  /// The part of its capacity that an endpoint surely has, from Settings::startCapacity to 1 (warm): it grows
  /// no slower than evenly over slowStartWindow.
  [[nodiscard]] double capacityFraction(const Endpoint& endpoint, Micros now) const {
    if (settings_.fallMultiple <= 0 || settings_.slowStartWindow <= 0 || endpoint.launchedAt <= 0) return 1;
    const Micros age = std::max<Micros>(0, now - endpoint.launchedAt);
    if (age >= settings_.slowStartWindow) return 1;
    const double part = static_cast<double>(age) / static_cast<double>(settings_.slowStartWindow);
    return settings_.startCapacity + (1 - settings_.startCapacity) * part;
  }

  /// Whether it is warm or has a credit for an attempt.
  [[nodiscard]] bool hasCredit(const Endpoint& endpoint, Micros now) const {
    return capacityFraction(endpoint, now) >= 1 || endpoint.slowStartCredit >= 1;
  }

  /// Gives the listed ones that are warming up their credit for a request, once.
  void earnCredit(Request& request, EndpointRegistry& endpoints, Micros now) const;

  /// An attempt goes to the endpoint: each, retries too, costs one that is warming up a credit, or more if it
  /// is heavy.
  void spendCredit(Endpoint& endpoint, const Request& request, Micros now) const {
    if (capacityFraction(endpoint, now) < 1) endpoint.slowStartCredit -= std::max(1.0, request.relativeWork);
  }

 private:
  const Settings& settings_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_SLOW_START_H_
