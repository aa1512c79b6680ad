// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_DEADLINE_H_
#define IVYPOST_BALANCER_DEADLINE_H_

#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// A time at which the balancer has to act without an external event.
struct Wake {
  /// What is due at that time.
  enum class Kind {
    Deadline,       ///< a request's deadline passes
    Hold,           ///< a held request could not be answered in time any more, so its hold ends
    ProbeTimeout,   ///< the result of a probe is overdue
    Ready,          ///< an endpoint may be ready again; held requests are retried after every event
    Discovery,      ///< discovery is polled
    CloseDraining,  ///< idle connections to a draining endpoint are closed again
  };
  Micros at = 0;               ///< due from this time on, in microseconds by the clock of the events
  RequestId request = 0;       ///< the endpoint's id for CloseDraining; 0 for kinds without a request
  Kind kind = Kind::Deadline;  ///< selects the component that handles it
  /// Compares by time only, so that a heap with std::greater has the earliest on top.
  bool operator>(const Wake& other) const { return at > other.at; }
};

/// All deadlines of the balancer, and the state of the caller's single timer.
///
/// The size is bounded by the requests and endpoints that wait: each event adds a constant number of
/// deadlines for each request or endpoint that it concerns, and deadlines are removed when they are due.
class Deadlines {
 public:
  /// Adds a deadline. It can't be removed before it is due; an owner that no longer needs it ignores it then.
  void push(const Wake& wake) { wakes_.push(wake); }

  /// Removes and returns the earliest deadline if it is due; none otherwise.
  std::optional<Wake> popDue(Micros now) {
    if (wakes_.empty() || wakes_.top().at > now) return std::nullopt;
    const Wake wake = wakes_.top();
    wakes_.pop();
    return wake;
  }

  /// To be called when the caller's timer has fired; after one that fires early the timer stays armed.
  void timerFired(Micros now) {
    if (armedFor_ <= now) armedFor_ = 0;
  }

  /// The timer to set, at least one microsecond ahead; none if the armed timer fires early enough.
  std::optional<SetTimer> arm(Micros now) {
    if (wakes_.empty() || (armedFor_ != 0 && armedFor_ <= wakes_.top().at)) return std::nullopt;
    armedFor_ = std::max(wakes_.top().at, now + 1);
    return SetTimer{armedFor_ - now};
  }

 private:
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
  Micros armedFor_ = 0;  // when the caller's timer fires; 0: not armed
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DEADLINE_H_
