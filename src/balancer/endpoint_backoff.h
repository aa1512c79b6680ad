// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_ENDPOINT_BACKOFF_H_
#define IVYPOST_BALANCER_ENDPOINT_BACKOFF_H_

#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// The first ejection of an endpoint lasts this long, in microseconds, each further one twice as long, up to
/// so many doublings. No other backoff of an endpoint lasts longer than the first. A second is long against a
/// service time and short against a client's patience.
constexpr Micros kBaseEjection = 1'000'000;
constexpr int kMaxEjectionDoublings = 3;

/// Leaves the endpoint alone for `span` microseconds from now, or longer if it is in backoff already.
void backOff(Endpoint& endpoint, double span, const EventContext& context);

/// Guards against an endpoint whose quick rejectionsInRow or failed needsConnection keep its count lowest. It
/// is left alone for about one service time (microseconds), twice as long at each further rejection in a row,
/// jittered by half either way. `resolution` is the shortest span that means anything.
void backOffExponentially(Endpoint& endpoint, Micros serviceTime, Micros resolution,
                          const EventContext& context);

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_ENDPOINT_BACKOFF_H_
