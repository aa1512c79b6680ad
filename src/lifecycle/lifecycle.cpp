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
    : settings_(settings), startedAt_(now), since_(now) {
  update(now);
}

bool Lifecycle::handle(Event event, Micros now) {
  switch (event) {
    case Event::Listed:
      listed_ = true;
      break;
    case Event::Evacuate:
      if (state_ == State::Stopping) return false;
      if (state_ != State::Draining) enter(State::Draining, now);
      break;
    case Event::Rejoin:
      if (state_ == State::Stopping) return false;
      if (state_ == State::Draining) enter(State::Starting, now);
      break;
    case Event::Terminate:
      if (state_ != State::Stopping) enter(State::Stopping, now);
      break;
    case Event::Tick:
      break;
  }
  update(now);
  return true;
}

void Lifecycle::enter(State state, Micros now) {
  state_ = state;
  since_ = now;
}

Micros Lifecycle::stopWithin() const {
  const Micros longest = settings_.longestDeadline.value_or(0);
  const Micros counted = longest > 0 ? std::min(longest, kLongestDeadline) : kLongestDeadline;
  return counted + kKillDelay - kHoldUp - kEndMargin;
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
      (!settings_.inherited || listed_ || passed(startedAt_, settings_.known ? kWaitKnown : kWaitUnknown))) {
    enter(State::Ready, now);
    nextChange_.reset();
  }
  Effects next;
  switch (state_) {
    case State::Starting:
      break;
    case State::Ready:
      next.ready = next.accepts = next.keeps = true;
      break;
    case State::Draining:
      next.accepts = true;
      next.closesIdle = passed(since_, kDrainIdle);
      next.takes = !passed(since_, kDrainTakes);
      break;
    case State::Stopping: {
      const Micros accepting = settings_.inherited ? 0 : std::min(kAcceptAfterStop, answersAfter());
      next.accepts = !passed(since_, accepting);
      next.closesIdle = true;
      next.mayEnd = passed(since_, std::min(accepting + kLinger, stopWithin()));
      next.answersAll = passed(since_, answersAfter());
      if (!next.answersAll) break;
      next.takes = false;
      if (!answered_) answered_ = now;
      const bool due = passed(since_, stopWithin());
      next.mustEnd = passed(*answered_, kAnswersAtLeast) && due;
      break;
    }
  }
  effects_ = next;
}

}  // namespace ivypost::lifecycle
