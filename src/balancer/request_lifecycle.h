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

/// The way of every request from its arrival to its final answer: sent, held, probed for, sent again,
/// answered.
///
/// Invariant: a request that was taken gets one final answer by its deadline, unless its client has left or
/// an answer has begun to stream. Deadlines are by this sidecar's clock.
class RequestLifecycle {
 public:
  /// `decisions` must outlive it.
  explicit RequestLifecycle(Decisions& decisions) : decisions_(decisions) {}

  /// @throws std::invalid_argument for an event that names what the settings or the open requests do not have
  void validate(const NewRequest& event) const;
  /// @throws std::invalid_argument for an attempt that was never sent, of a request that is still known
  void validate(const AttemptOutcome& event) const;

  /// Takes a request that validate() has accepted: it is sent, probed for, held or answered at once.
  void on(const NewRequest& event, const EventContext& context);
  /// Lets every part learn from the outcome, then sends the request again or closes it. An outcome that was
  /// reported before, or of a request that is gone, has no effect.
  void on(const AttemptOutcome& event, const EventContext& context);
  /// The answer has begun to stream to the client: no attempt follows, and the others are
  /// cancelled where the settings allow it.
  /// @throws std::invalid_argument for an attempt that was never sent
  void on(const AttemptStarted& event, const EventContext& context);
  /// The client has left: no answer is owed; attempts in flight are cancelled where the settings allow it.
  void on(const Withdrawn& event, const EventContext& context);
  /// Ends the wait of every request that waits for a probe of this endpoint: each is sent, held or answered.
  void on(const ProbeResult& event, const EventContext& context);

  /// Timers of a request: an overdue probe, the end of its hold, and its deadline. Ignored where the request
  /// is gone or the moment has moved.
  void onDeadline(const Wake& wake, const EventContext& context);

  /// Tries held requests again, the greatest weight first, for as long as somebody is ready for one of them.
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
