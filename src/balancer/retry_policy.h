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

/// The retry budget: an exact sliding window over requests and retries, evaluated at each retry. The oldest
/// instant of the window is included for retries but excluded for requests.
///
/// Grows with the requests of the last Settings::retryBudgetWindow.
class RetryBudget {
 public:
  /// Uses a default budget if the settings have none (retryBudgetWindow 0).
  explicit RetryBudget(const Settings& settings);

  /// Whether the settings have a budget. Such a budget counts every attempt beyond a request's first.
  [[nodiscard]] bool isConfigured() const { return isConfigured_; }
  /// Records the arrival of a request.
  void countRequest(Micros now);
  /// Records that a retry is sent.
  void countRetry(Micros now) { retriesAt_.push_back(now); }
  /// Whether a retry may be sent now.
  bool allowsRetry(Micros now);

 private:
  void dropExpiredRequests(Micros now);

  bool isConfigured_;
  Micros window_;                              // microseconds, above 0
  double minRetries_;                          // retries allowed in a window without any request
  double retriesPerRequest_;                   // further retries for each request in the window
  std::deque<Micros> requestsAt_, retriesAt_;  // times, oldest first
};

/// What the rules still permit for a request.
struct Permission {
  bool maySend = false;             ///< another attempt may be sent now
  const Attempt* anchor = nullptr;  ///< if set, endpoints must be in this attempt's retry group
  bool mayReject = false;           ///< it may be rejected: the client can safely retry it
  bool mayFail = false;             ///< it may be failed; false once it is finished or streaming
};

/// The rules on attempts and final answers. Every Send, Reject and Fail is checked against them; they take
/// precedence over every other component.
///
/// Invariant: no request takes effect twice. An Unsafe request is retried or rejected only if every earlier
/// attempt is known never to have run. A Keyed request that may have run is retried or rejected only within
/// its retry group and window; the window starts, by this sidecar's clock, with the first attempt that may
/// have run.
class RetryPolicy {
 public:
  /// Both arguments must outlive the object.
  RetryPolicy(const Settings& settings, const SlowStart& slowStart)
      : settings_(settings), slowStart_(slowStart), budget_(settings) {}

  /// What is permitted for the request at `now`, in microseconds. The result's `anchor` points into the
  /// request and is valid until the request's attempts change.
  Permission permission(const Request& request, const ReducedService& reduced, Micros now);

  /// The rules on an attempt's endpoint: it must be listed and serving, not warming up without a credit, and
  /// in the retry group.
  [[nodiscard]] bool mayGoTo(EndpointId id, const Endpoint& endpoint, const Request& request,
                             const Permission& allowed, Micros now) const {
    return allowed.maySend && endpoint.isListed && slowStart_.hasCredit(endpoint, now) &&
           isInGroup(id, endpoint, request, allowed);
  }

  /// Whether the endpoint is in the retry group to which the request is bound.
  [[nodiscard]] bool isInGroup(EndpointId id, const Endpoint& endpoint, const Request& request,
                               const Permission& allowed) const {
    return allowed.anchor == nullptr ||
           inGroup(settings_.classes[request.requestClass].group, *allowed.anchor, endpoint, id);
  }

  /// Records the arrival of a request in the budget.
  void countRequest(Micros now) { budget_.countRequest(now); }
  /// Charges the budget for the request's next attempt, if that counts; to be called before it is sent.
  void countAttempt(const Request& request, Micros now) {
    if (isCharged(request)) budget_.countRetry(now);
  }

 private:
  static bool isSameProcess(const Attempt& anchor, const Endpoint& endpoint, EndpointId id);
  static bool inGroup(RetryGroup group, const Attempt& anchor, const Endpoint& endpoint, EndpointId id);
  [[nodiscard]] bool isCharged(const Request& request) const;

  const Settings& settings_;
  const SlowStart& slowStart_;
  RetryBudget budget_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_RETRY_POLICY_H_
