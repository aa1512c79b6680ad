// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_LOAD_INFORMATION_H_
#define IVYPOST_BALANCER_LOAD_INFORMATION_H_

#include <cstddef>

#include "balancer/latency_statistics.h"
#include "balancer/send_rate.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// For so many sidecars or fewer each sees enough of the load: own requests in flight tell of the endpoints,
/// a limit grows by one, and nobody needs to spread calls to discovery.
constexpr double kSmallFleetSidecars = 4;

/// A sidecar with fewer own requests in flight than this for each endpoint is without load information.
constexpr double kMinInFlightPerEndpoint = 0.1;

/// Whether own counts tell nothing: others send too and hardly any endpoint has an own request in flight.
/// Those that a jam keeps there do not count: they tell no more of the others.
[[nodiscard]] inline bool lacksLoadInformation(const Settings& settings, const LatencyStatistics& latency,
                                               const SendRate& sendRate, std::size_t listed, Micros now) {
  if (settings.sidecars <= kSmallFleetSidecars) return false;
  if (latency.answers() == 0) return true;
  return sendRate.typicalInFlight(latency.baselineLatency(), now) <
         kMinInFlightPerEndpoint * static_cast<double>(listed);
}

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LOAD_INFORMATION_H_
