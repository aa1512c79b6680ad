// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_DEADLINE_H_
#define IVYPOST_BALANCER_DEADLINE_H_

#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// A moment at which the balancer has something to do without an event from outside.
struct Wake {
  /// Which part of the balancer acts at the moment, and on what.
  enum class Kind {
    Deadline,       ///< a request's deadline passes
    Hold,           ///< a request is no longer worth holding
    ProbeTimeout,   ///< the answer of a health check is overdue
    Ready,          ///< an endpoint may be ready again: held requests are served after every event
    Discovery,      ///< the endpoint list is asked for
    CloseDraining,  ///< connections to a draining endpoint are closed once more
  };
  Micros at = 0;               ///< microseconds by the clock of the events; due from then on
  RequestId request = 0;       ///< or the endpoint's id, for CloseDraining; 0 where there is none
  Kind kind = Kind::Deadline;  ///< set by the part that pushed it
  /// Orders by time alone, so that a heap with std::greater has the earliest on top.
  bool operator>(const Wake& other) const { return at > other.at; }
};

/// All deadlines of the balancer, and the one timer that the caller keeps for them.
///
/// Its size is bounded by the requests and endpoints that wait: each pushes a constant number of them for
/// each event that concerns it, and all are taken off as they fall due.
class Deadlines {
 public:
  /// Adds a deadline. One that is no longer needed can't be removed: its owner ignores it when it falls due.
  void push(const Wake& wake) { wakes_.push(wake); }

  /// Takes off the earliest deadline that has passed; none if there is no such.
  std::optional<Wake> popDue(Micros now) {
    if (wakes_.empty() || wakes_.top().at > now) return std::nullopt;
    const Wake wake = wakes_.top();
    wakes_.pop();
    return wake;
  }

  /// The caller's timer has fired; one that fires early stays armed.
  void timerFired(Micros now) {
    if (armedFor_ <= now) armedFor_ = 0;
  }

  /// The timer to set, at least a microsecond ahead; none if the one that is set comes early enough.
  std::optional<SetTimer> arm(Micros now) {
    if (wakes_.empty() || (armedFor_ != 0 && armedFor_ <= wakes_.top().at)) return std::nullopt;
    armedFor_ = std::max(wakes_.top().at, now + 1);
    return SetTimer{armedFor_ - now};
  }

 private:
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
  Micros armedFor_ = 0;  // 0: no timer is out
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DEADLINE_H_
