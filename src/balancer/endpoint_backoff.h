// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_ENDPOINT_BACKOFF_H_
#define IVYPOST_BALANCER_ENDPOINT_BACKOFF_H_

#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Duration of an endpoint's first ejection, in microseconds; each further one in a row lasts twice as long,
/// up to kMaxEjectionDoublings. No other backoff of an endpoint lasts longer than the first ejection. A
/// second is long compared with a service time and short compared with a client's deadline.
constexpr Micros kBaseEjection = 1'000'000;
/// Bounds the ejections of an endpoint that fails every trial to 2^3 times the first, so 8 seconds.
constexpr int kMaxEjectionDoublings = 3;

/// Keeps the endpoint in backoff for `span` microseconds from now, or until a running backoff ends if that is
/// later.
void backOff(Endpoint& endpoint, double span, const EventContext& context);

/// Backs off after a rejection or a failed connect. Without the backoff, an endpoint that fails quickly would
/// always have the fewest attempts in flight and attract the traffic. The backoff lasts one `serviceTime`
/// (microseconds), doubles at each further rejection in a row, and is jittered by half either way.
/// `resolution` is the lower bound of `serviceTime`.
void backOffExponentially(Endpoint& endpoint, Micros serviceTime, Micros resolution,
                          const EventContext& context);

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_ENDPOINT_BACKOFF_H_
