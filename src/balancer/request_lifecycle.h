// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_REQUEST_LIFECYCLE_H_
#define IVYPOST_BALANCER_REQUEST_LIFECYCLE_H_

#include <cstddef>
#include <vector>

#include "balancer/decisions.h"
#include "balancer/event_context.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Takes every request from its arrival to its final answer: sends, holds, probes, retries, answers.
///
/// Invariant: an accepted request gets one final answer by its deadline, unless its client has disconnected
/// or an answer has begun to stream. Deadlines are by this sidecar's clock.
class RequestLifecycle {
 public:
  /// `decisions` must outlive the object.
  explicit RequestLifecycle(Decisions& decisions) : decisions_(decisions) {}

  /// @throws std::invalid_argument for a class or tenant outside the settings, or a request id that is
  /// already open
  void validate(const NewRequest& event) const;
  /// @throws std::invalid_argument for an attempt that was never sent of a request that is still in the table
  void validate(const AttemptOutcome& event) const;

  /// Accepts a request that has passed validate(): it is sent, probed for, held or answered at once.
  void on(const NewRequest& event, const EventContext& context);
  /// Passes the outcome to every component, then retries or finishes the request. A repeated outcome, or one
  /// of a request that is no longer in the table, has no effect.
  void on(const AttemptOutcome& event, const EventContext& context);
  /// An answer has begun to stream to the client: no further attempt is sent, and the other attempts are
  /// cancelled if the settings permit it.
  /// @throws std::invalid_argument for an attempt that was never sent
  void on(const AttemptStarted& event, const EventContext& context);
  /// The client has disconnected: no answer is needed; attempts in flight are cancelled if the settings
  /// permit it.
  void on(const Withdrawn& event, const EventContext& context);
  /// Continues every request that waits for a probe of this endpoint: each is sent, probed for, held or
  /// answered.
  void on(const ProbeResult& event, const EventContext& context);

  /// Handles the timers of a request: a probe time-out, the end of its hold, and its deadline. Ignored if the
  /// request is finished or that time has been moved.
  void onDeadline(const Wake& wake, const EventContext& context);

  /// Retries held requests, the greatest weight first, while an endpoint is ready for one of them.
  void serveHeld(const EventContext& context);

  /// Requests without a final answer.
  [[nodiscard]] std::size_t open() const { return open_; }

 private:
  [[nodiscard]] Permission permission(const Request& request, const EventContext& context);
  const std::vector<EndpointId>& eligible(const Request& request, const Permission& allowed,
                                          const EventContext& context);
  void dispatch(RequestId id, Request& request, const EventContext& context);
  void sendAsLastResort(RequestId id, Request& request, const EventContext& context);
  void send(RequestId id, Request& request, EndpointId to, const EventContext& context);
  void finishProbe(RequestId id, HealthCheck::Verdict verdict, const EventContext& context);
  void answer(RequestId id, Request& request, const EventContext& context);
  void close(RequestId id, Request& request, const EventContext& context);
  void cancelAllBut(std::uint32_t survivor, RequestId id, const Request& request,
                    const EventContext& context) const;
  void releaseInFlight(Attempt& attempt);
  void learn(const AttemptOutcome& event, const Request& request, const Attempt& attempt,
             const EventContext& context);
  void updateSubset(const Request& request, const Attempt& attempt, const FinishedAttempt& finished,
                    bool hasOtherConnection, const EventContext& context);

  Decisions& decisions_;
  RequestTable requests_;
  std::size_t open_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_REQUEST_LIFECYCLE_H_
