// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_PRIORITY_H_
#define IVYPOST_BALANCER_PRIORITY_H_

#include <cstdint>
#include <vector>

#include "balancer/latency_statistics.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// The weight of a request relative to others when not all can be served: that of its class, reduced in
/// proportion to its tenant's recent traffic through this sidecar beyond the tenant's share.
class Priority {
 public:
  /// Both arguments must outlive the object.
  Priority(const Settings& settings, const LatencyStatistics& latency)
      : settings_(settings), latency_(latency), tenantUsage_(settings.tenants.size()) {}

  /// To be called when an attempt of the request is sent: counts towards its tenant's usage.
  void countUsage(const Request& request, Micros now);

  /// The weight of a request per unit of work: RequestClass::weight, divided by a latency in microseconds
  /// unless Settings::weightByWork.
  [[nodiscard]] double weight(const Request& request) const;
  /// The weight relative to the class with the greatest weight, from kMinRelativeWeight to 1.
  [[nodiscard]] double relativeWeight(const Request& request) const;

 private:
  [[nodiscard]] double classWeight(std::uint32_t cls) const;

  const Settings& settings_;
  const LatencyStatistics& latency_;
  std::vector<double> tenantUsage_;  // attempts recently sent, decayed over kUsageMemory
  double totalUsage_ = 0;
  Micros usageAt_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_PRIORITY_H_
