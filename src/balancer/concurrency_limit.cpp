// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "balancer/endpoint_backoff.h"
#include "balancer/load_information.h"
#include "balancer/load_reports.h"

namespace ivypost::balancer::internal {
namespace {

// The start limit in a fleet of few sidecars. It is low, since all sidecars may start at once; a limit rises
// by one for every `limit` timely answers.
constexpr double kStartLimit = 1;
constexpr double kMinLimit = 0.1;
constexpr double kMaxLimit = 1e6;
// Maximum factor by which the slowness threshold is raised for endpoints below the mean size.
constexpr double kMaxSlowStretch = 2;

}  // namespace

// A limit settles at about the square root of its growth, and the limits of all sidecars add up, so in a
// fleet of more than a few sidecars the growth falls with the square of their number. Limits are enforced
// only by sidecars with load information, and the number of these is bounded: each has on average at least
// kMinInFlightPerEndpoint requests in flight at an endpoint.
ConcurrencyLimit::ConcurrencyLimit(const Settings& settings, const EndpointRegistry& endpoints)
    : settings_(settings), endpoints_(endpoints) {
  const double fleetFactor =
      std::min(1.0, kSmallFleetSidecars / std::min(1 / kMinInFlightPerEndpoint, 1.0 * settings.sidecars));
  startLimit_ = kStartLimit * fleetFactor;
  limitGrowth_ = std::pow(fleetFactor, 2);
}

void ConcurrencyLimit::adjust(Endpoint& endpoint, const Request& request, const FinishedAttempt& attempt,
                              const EventContext& context) const {
  const bool answered = attempt.outcome == Outcome::Ok || attempt.outcome == Outcome::Error;
  if (!answered && attempt.outcome != Outcome::Full && attempt.outcome != Outcome::Timeout) return;
  if (answered && !isSlow(endpoint, request, attempt.latency)) {
    // A limit grows only while it is nearly used up. Otherwise it would grow in quiet times and let the next
    // burst overload all endpoints.
    if (endpoint.inFlight + 2 > endpoint.limit)
      endpoint.limit = std::min(kMaxLimit, endpoint.limit + std::min(1.0, limitGrowth_ / endpoint.limit));
  } else if (answered && endpoint.cpuShare && *endpoint.cpuShare < kOverloadCpuThreshold) {
    return;  // slow, but not overloaded
  } else if (attempt.sentAt >= endpoint.limitCutAt) {
    endpoint.limit = std::max(kMinLimit, endpoint.limit * kLimitBackoff);
    endpoint.limitCutAt = context.now;
  }
  if (endpoint.limit < 1 && !context.lacksLoadInformation) {
    // When one attempt from each sidecar is already too much, a limit below one is enforced by a backoff
    // between attempts.
    const auto duration = static_cast<double>(std::max(attempt.latency, settings_.resolution));
    backOff(endpoint, std::min(duration * (1 / endpoint.limit - 1), 1.0 * kBaseEjection), context);
  }
}

// Half of the latency threshold scales with the request's hint of work.
bool ConcurrencyLimit::isSlow(const Endpoint& endpoint, const Request& request, Micros latency) const {
  const double stretch = std::clamp(endpoints_.meanSize() / endpoint.size, 1.0, kMaxSlowStretch);
  const double threshold = kSlowFraction * static_cast<double>(request.latencyObjective) * stretch *
                           (1 + request.relativeWork) / 2;
  // Subtracted as doubles, which can't overflow: before the first answer minLatency is the largest Micros.
  return static_cast<double>(latency) - static_cast<double>(endpoint.minLatency) > threshold;
}

}  // namespace ivypost::balancer::internal
