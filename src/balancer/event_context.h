// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_EVENT_CONTEXT_H_
#define IVYPOST_BALANCER_EVENT_CONTEXT_H_

#include <utility>
#include <vector>

#include "balancer/deadline.h"
#include "balancer/random_source.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// What every decision about one event shares. No part of the module has a clock or random numbers of its
/// own.
struct EventContext {
  Micros now;                 ///< the time of the event, in microseconds
  bool lacksLoadInformation;  ///< own requests in flight tell nothing of the endpoints' load
  std::vector<Action>&
      actions;  ///< the caller's buffer; actions are appended in the order they are to be done
  RandomSource& random;
  Deadlines& deadlines;

  template <class T>
  void act(T action) const {
    actions.emplace_back(std::move(action));
  }
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_EVENT_CONTEXT_H_
