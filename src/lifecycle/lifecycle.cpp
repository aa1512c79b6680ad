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

Lifecycle::Lifecycle(const Settings& settings, TimePoint now)
    : settings_(settings), startedAt_(now), stateEnteredAt_(now) {
  update(now);
}

bool Lifecycle::handle(Event event, TimePoint now) {
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

Duration Lifecycle::exitDelay() const {
  const Duration longest = settings_.longestDeadline.value_or(Duration::zero());
  const Duration counted =
      longest > Duration::zero() ? std::min(longest, kMaxCountedDeadline) : kMaxCountedDeadline;
  return counted + kKillDelay - kMaxSchedulingDelay - kExitMargin;
}

void Lifecycle::enter(State state, TimePoint now) {
  state_ = state;
  stateEnteredAt_ = now;
}

void Lifecycle::update(TimePoint now) {
  nextChange_.reset();
  if (state_ == State::Starting && !waitsForEndpoints(now)) enter(State::Ready, now);
  switch (state_) {
    case State::Starting:
      effects_ = Effects{};
      break;
    case State::Ready:
      effects_ = Effects{.isReady = true, .acceptsConnections = true, .keepsConnections = true};
      break;
    case State::Draining:
      effects_ = effectsOfDraining(now);
      break;
    case State::Stopping:
      effects_ = effectsOfStopping(now);
      break;
  }
}

// Whether `duration` has passed since `start`. If not, and if the end of that period is earlier than
// nextChange_, sets nextChange_ to it.
bool Lifecycle::hasElapsed(TimePoint start, Duration duration, TimePoint now) {
  const TimePoint end = start + duration;
  if (now >= end) return true;
  if (!nextChange_ || end < *nextChange_) nextChange_ = end;
  return false;
}

bool Lifecycle::waitsForEndpoints(TimePoint now) {
  if (!settings_.sharesListeningSocket || hasEndpointList_) return false;
  const Duration timeout =
      settings_.hasEndpoints ? kDiscoveryTimeoutWithEndpoints : kDiscoveryTimeoutWithoutEndpoints;
  return !hasElapsed(startedAt_, timeout, now);
}

Effects Lifecycle::effectsOfDraining(TimePoint now) {
  Effects effects;
  effects.acceptsConnections = true;
  effects.closesIdleConnections = hasElapsed(stateEnteredAt_, kDrainIdleCloseDelay, now);
  effects.acceptsRequests = !hasElapsed(stateEnteredAt_, kDrainRequestPeriod, now);
  return effects;
}

Effects Lifecycle::effectsOfStopping(TimePoint now) {
  const Duration acceptPeriod =
      settings_.sharesListeningSocket ? Duration::zero() : std::min(kStopAcceptPeriod, finalResponseDelay());
  Effects effects;
  effects.acceptsConnections = !hasElapsed(stateEnteredAt_, acceptPeriod, now);
  effects.closesListeningSocket = !effects.acceptsConnections;
  effects.closesIdleConnections = true;
  effects.mayExit = hasElapsed(stateEnteredAt_, std::min(acceptPeriod + kStopLinger, exitDelay()), now);
  effects.sendsFinalResponses = hasElapsed(stateEnteredAt_, finalResponseDelay(), now);
  if (!effects.sendsFinalResponses) return effects;
  effects.acceptsRequests = false;
  if (!finalResponsesAt_) finalResponsesAt_ = now;
  // Both periods are evaluated, so that nextChange() is the earliest end of a period that has not elapsed.
  const bool isDue = hasElapsed(stateEnteredAt_, exitDelay(), now);
  const bool responsesHadTime = hasElapsed(*finalResponsesAt_, kMinFinalResponsePeriod, now);
  effects.mustExit = isDue && responsesHadTime;
  return effects;
}

}  // namespace ivypost::lifecycle
