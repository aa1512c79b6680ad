// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_LOAD_INFORMATION_H_
#define IVYPOST_BALANCER_LOAD_INFORMATION_H_

#include <cstddef>

#include "balancer/latency_statistics.h"
#include "balancer/send_rate.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// In a fleet of at most this many sidecars each sees enough of the load: its own requests in flight indicate
/// the endpoints' load, concurrency limits grow by one, and polls of discovery need not be spread.
constexpr double kSmallFleetSidecars = 4;

/// A sidecar that has fewer requests of its clients in flight per endpoint than this lacks load information.
constexpr double kMinInFlightPerEndpoint = 0.1;

/// Whether this sidecar's in-flight counts say nothing about the endpoints' load: other sidecars send too,
/// and hardly any endpoint has a request of this sidecar in flight. The number in flight is computed with the
/// baseline latency: requests that are in flight only because some endpoints are congested say nothing about
/// the others.
[[nodiscard]] inline bool lacksLoadInformation(const Settings& settings, const LatencyStatistics& latency,
                                               const SendRate& sendRate, std::size_t listed, Micros now) {
  if (settings.sidecars <= kSmallFleetSidecars) return false;
  if (latency.answers() == 0) return true;
  return sendRate.typicalInFlight(latency.baselineLatency(), now) <
         kMinInFlightPerEndpoint * static_cast<double>(listed);
}

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LOAD_INFORMATION_H_
