// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "lifecycle/lifecycle.h"

#include <algorithm>

namespace ivypost::lifecycle {

const char* nameOf(State state) {
  switch (state) {
    case State::Starting:
      return "starting";
    case State::Ready:
      return "ready";
    case State::Draining:
      return "draining";
    case State::Stopping:
      return "stopping";
  }
  return "";
}

Lifecycle::Lifecycle(const Settings& settings, Micros now)
    : settings_(settings), startedAt_(now), stateEnteredAt_(now) {
  update(now);
}

bool Lifecycle::handle(Event event, Micros now) {
  switch (event) {
    case Event::EndpointListReceived:
      hasEndpointList_ = true;
      break;
    case Event::DrainRequested:
      if (state_ == State::Stopping) return false;
      if (state_ != State::Draining) enter(State::Draining, now);
      break;
    case Event::DrainCancelled:
      if (state_ == State::Stopping) return false;
      if (state_ == State::Draining) enter(State::Starting, now);
      break;
    case Event::TerminationRequested:
      if (state_ != State::Stopping) enter(State::Stopping, now);
      break;
    case Event::TimerExpired:
      break;
  }
  update(now);
  return true;
}

void Lifecycle::enter(State state, Micros now) {
  state_ = state;
  stateEnteredAt_ = now;
}

Micros Lifecycle::exitDelay() const {
  const Micros longest = settings_.longestDeadline.value_or(0);
  const Micros counted = longest > 0 ? std::min(longest, kMaxCountedDeadline) : kMaxCountedDeadline;
  return counted + kKillDelay - kMaxSchedulingDelay - kExitMargin;
}

void Lifecycle::update(Micros now) {
  nextChange_.reset();
  // Whether `span` has passed since `from`; if not, it is looked at again then.
  const auto passed = [&](Micros from, Micros span) {
    if (now >= from + span) return true;
    if (!nextChange_ || from + span < *nextChange_) nextChange_ = from + span;
    return false;
  };
  if (state_ == State::Starting &&
      (!settings_.sharesListeningSocket || hasEndpointList_ ||
       passed(startedAt_,
              settings_.hasEndpoints ? kDiscoveryTimeoutWithEndpoints : kDiscoveryTimeoutWithoutEndpoints))) {
    enter(State::Ready, now);
    nextChange_.reset();
  }
  Effects next;
  switch (state_) {
    case State::Starting:
      break;
    case State::Ready:
      next.isReady = next.acceptsConnections = next.keepsConnections = true;
      break;
    case State::Draining:
      next.acceptsConnections = true;
      next.closesIdleConnections = passed(stateEnteredAt_, kDrainIdleCloseDelay);
      next.acceptsRequests = !passed(stateEnteredAt_, kDrainRequestPeriod);
      break;
    case State::Stopping: {
      const Micros accepting =
          settings_.sharesListeningSocket ? 0 : std::min(kStopAcceptPeriod, finalResponseDelay());
      next.acceptsConnections = !passed(stateEnteredAt_, accepting);
      next.closesIdleConnections = true;
      next.mayExit = passed(stateEnteredAt_, std::min(accepting + kStopLinger, exitDelay()));
      next.sendsFinalResponses = passed(stateEnteredAt_, finalResponseDelay());
      if (!next.sendsFinalResponses) break;
      next.acceptsRequests = false;
      if (!finalResponsesAt_) finalResponsesAt_ = now;
      const bool due = passed(stateEnteredAt_, exitDelay());
      next.mustExit = passed(*finalResponsesAt_, kMinFinalResponsePeriod) && due;
      break;
    }
  }
  effects_ = next;
}

}  // namespace ivypost::lifecycle
