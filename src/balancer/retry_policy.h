// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_RETRY_POLICY_H_
#define IVYPOST_BALANCER_RETRY_POLICY_H_

#include <deque>

#include "balancer/endpoint_registry.h"
#include "balancer/request.h"
#include "balancer/slow_start.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Whether the outcome proves that the attempt never ran.
[[nodiscard]] inline bool provesNeverRan(Outcome outcome) {
  return outcome == Outcome::Full || outcome == Outcome::ConnectFailed || outcome == Outcome::Moot;
}

/// The retry budget: an exact sliding window over requests taken and further attempts. It looks back from
/// each further attempt, which counts the oldest moment for attempts but not for requests.
///
/// Grows with the requests of the last Settings::retryBudgetWindow.
class RetryBudget {
 public:
  /// Where the settings state no budget (retryBudgetWindow 0) it is one of the module's own.
  explicit RetryBudget(const Settings& settings);

  /// Whether the settings state it. A stated one counts every attempt beyond a request's first.
  [[nodiscard]] bool isConfigured() const { return isConfigured_; }
  /// A request was taken.
  void countRequest(Micros now);
  /// A further attempt was sent.
  void countRetry(Micros now) { retriesAt_.push_back(now); }
  /// Whether a further attempt may be sent now.
  bool allowsRetry(Micros now);

 private:
  void dropExpiredRequests(Micros now);

  bool isConfigured_;
  Micros window_;             // microseconds, above 0
  double minRetries_;         // attempts that are always allowed in a window
  double retriesPerRequest_;  // and so many for each request taken in it
  std::deque<Micros> requestsAt_, retriesAt_;
};

/// What the rules still allow for a request.
struct Permission {
  bool maySend = false;             ///< another attempt may be sent now
  const Attempt* anchor = nullptr;  ///< if set, only endpoints of this attempt's repeat group
  bool mayReject = false;           ///< it may be rejected: for the client to send it again is harmless
  bool mayFail = false;             ///< it may be failed; false once it has its answer or is streaming
};

/// The rules on attempts and final answers. Every Send, Reject and Fail asks here first: the rules have the
/// last word against every other part of the module.
///
/// Invariant: no effect twice. An unsafe request is sent again or rejected only when every earlier attempt is
/// known never to have run; a keyed one that may have run only within its group and window, counted by this
/// sidecar's clock from the first attempt that may have run.
class RetryPolicy {
 public:
  /// Both must outlive it.
  RetryPolicy(const Settings& settings, const SlowStart& slowStart)
      : settings_(settings), slowStart_(slowStart), budget_(settings) {}

  /// What may be done with the request at `now`, in microseconds. Its `anchor` points into the request and is
  /// valid until the request's attempts change.
  Permission permission(const Request& request, const ReducedService& reduced, Micros now);

  /// The rules on where it may go: no draining or gone endpoint, none that is warming up beyond its credit,
  /// no other repeat group.
  [[nodiscard]] bool mayGoTo(EndpointId id, const Endpoint& endpoint, const Request& request,
                             const Permission& allowed, Micros now) const {
    return allowed.maySend && endpoint.isListed && slowStart_.hasCredit(endpoint, now) &&
           isInGroup(id, endpoint, request, allowed);
  }

  /// The last of them alone: whether the endpoint is in the repeat group that the request is bound to.
  [[nodiscard]] bool isInGroup(EndpointId id, const Endpoint& endpoint, const Request& request,
                               const Permission& allowed) const {
    return allowed.anchor == nullptr ||
           inGroup(settings_.classes[request.requestClass].group, *allowed.anchor, endpoint, id);
  }

  /// A request was taken.
  void countRequest(Micros now) { budget_.countRequest(now); }
  /// The request's next attempt is about to be sent.
  void countAttempt(const Request& request, Micros now) {
    if (isCharged(request)) budget_.countRetry(now);
  }

 private:
  static bool inGroup(RetryGroup group, const Attempt& anchor, const Endpoint& endpoint, EndpointId id);
  [[nodiscard]] bool isCharged(const Request& request) const;

  const Settings& settings_;
  const SlowStart& slowStart_;
  RetryBudget budget_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_RETRY_POLICY_H_
