// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_CONCURRENCY_LIMIT_H_
#define IVYPOST_BALANCER_CONCURRENCY_LIMIT_H_

#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// A limit falls by this factor, once a round trip, at a rejection, a time-out or a slow answer.
constexpr double kLimitBackoff = 0.7;

/// An attempt that has its outcome. Times are microseconds.
struct FinishedAttempt {
  Micros sentAt = 0;              ///< does not cut a limit again that was cut after this
  Micros latency = 0;             ///< from its sending to the outcome, less what the client's own pace took
  Outcome outcome = Outcome::Ok;  ///< as the caller reported it; decides whether the limit grows or falls
};

/// How many attempts of this sidecar an endpoint may have in flight. Guards against overload: each sidecar
/// sees only its own part of an endpoint's queue, but rejections and slow answers reach them all, and
/// all give way (additive increase, multiplicative decrease).
class ConcurrencyLimit {
 public:
  /// Both must outlive it.
  ConcurrencyLimit(const Settings& settings, const EndpointRegistry& endpoints);

  /// Of an endpoint just named, in attempts; above 0, at most 1: all sidecars start at once.
  [[nodiscard]] double startLimit() const { return startLimit_; }

  /// Takes an outcome into the endpoint's limit. A limit under one is kept by backoff.
  void adjust(Endpoint& endpoint, const Request& request, const FinishedAttempt& attempt,
              const EventContext& context) const;

 private:
  [[nodiscard]] bool isSlow(const Endpoint& endpoint, const Request& request, Micros latency) const;

  const Settings& settings_;
  const EndpointRegistry& endpoints_;
  double startLimit_ = 1;
  double limitGrowth_ = 1;  // for each limit's worth of timely answers
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_CONCURRENCY_LIMIT_H_
