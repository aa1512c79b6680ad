// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_EVENT_CONTEXT_H_
#define IVYPOST_BALANCER_EVENT_CONTEXT_H_

#include <utility>
#include <vector>

#include "balancer/deadline.h"
#include "balancer/random_source.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// The state shared by all decisions about one event. No component has its own clock or random numbers.
struct EventContext {
  Micros now;                    ///< the time of the event, in microseconds
  bool lacksLoadInformation;     ///< this sidecar's requests in flight don't indicate the endpoints' load
  std::vector<Action>& actions;  ///< the caller's buffer; actions are appended in the order of execution
  RandomSource& random;          ///< the balancer's only source; the order of draws is part of its behaviour
  Deadlines& deadlines;          ///< where a component schedules a later call

  /// Appends an action, one of the alternatives of Action, after those that the event has already caused.
  template <class T>
  void act(T action) const {
    actions.emplace_back(std::move(action));
  }
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_EVENT_CONTEXT_H_
