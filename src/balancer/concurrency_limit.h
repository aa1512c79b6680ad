// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_CONCURRENCY_LIMIT_H_
#define IVYPOST_BALANCER_CONCURRENCY_LIMIT_H_

#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// A rejection, a time-out or a slow answer multiplies a limit by this factor, at most once per round trip.
constexpr double kLimitBackoff = 0.7;

/// A finished attempt. Times are microseconds.
struct FinishedAttempt {
  Micros sentAt = 0;   ///< send time; if the limit was cut after it, this attempt does not cut it again
  Micros latency = 0;  ///< from the Send to the outcome, without AttemptOutcome::clientLimitedTime
  Outcome outcome = Outcome::Ok;  ///< as reported by the caller; decides whether the limit grows or falls
};

/// Limits this sidecar's attempts in flight at each endpoint, to prevent overload. Each sidecar sees only its
/// own part of an endpoint's queue, but rejections and slow answers reach all sidecars, and all reduce their
/// limits (additive increase, multiplicative decrease).
class ConcurrencyLimit {
 public:
  /// Both arguments must outlive the object.
  ConcurrencyLimit(const Settings& settings, const EndpointRegistry& endpoints);

  /// Limit of an endpoint that has just been listed, in attempts; above 0 and at most 1, since all sidecars
  /// may start at once.
  [[nodiscard]] double startLimit() const { return startLimit_; }

  /// Updates the endpoint's limit by an outcome. A limit below one is enforced by a backoff between attempts.
  void adjust(Endpoint& endpoint, const Request& request, const FinishedAttempt& attempt,
              const EventContext& context) const;

 private:
  [[nodiscard]] bool isSlow(const Endpoint& endpoint, const Request& request, Micros latency) const;

  const Settings& settings_;
  const EndpointRegistry& endpoints_;
  double startLimit_ = 1;
  double limitGrowth_ = 1;  // increase of a limit for every `limit` timely answers
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_CONCURRENCY_LIMIT_H_
