// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_PRIORITY_H_
#define IVYPOST_BALANCER_PRIORITY_H_

#include <cstdint>
#include <vector>

#include "balancer/latency_statistics.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// What a request weighs against others when not all can be served: by the weight of its class, which falls
/// as far as its tenant has lately sent more than its share through this sidecar.
class Priority {
 public:
  /// Both must outlive it.
  Priority(const Settings& settings, const LatencyStatistics& latency)
      : settings_(settings), latency_(latency), tenantUsage_(settings.tenants.size()) {}

  /// An attempt of the request is sent.
  void countUsage(const Request& request, Micros now);

  /// In the unit of RequestClass::weight, or that by microsecond of work (Settings::weightByWork).
  [[nodiscard]] double weight(const Request& request) const;
  /// Against the class of the greatest weight, from kMinRelativeWeight to 1.
  [[nodiscard]] double relativeWeight(const Request& request) const;

 private:
  [[nodiscard]] double classWeight(std::uint32_t cls) const;

  const Settings& settings_;
  const LatencyStatistics& latency_;
  std::vector<double> tenantUsage_;  // attempts sent lately, faded
  double totalUsage_ = 0;
  Micros usageAt_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_PRIORITY_H_
