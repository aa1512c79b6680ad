// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/request_lifecycle.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "balancer/endpoint_backoff.h"

namespace ivypost::balancer::internal {
namespace {

// For cancelAllBut(): cancels all attempts in flight.
constexpr std::uint32_t kNoSurvivor = static_cast<std::uint32_t>(-1);

}  // namespace

void RequestLifecycle::validate(const NewRequest& event) const {
  if (event.requestClass >= decisions_.settings.classes.size()) throw std::invalid_argument("unknown class");
  if (event.tenant && *event.tenant >= decisions_.settings.tenants.size())
    throw std::invalid_argument("unknown tenant");
  if (requests_.count(event.request) != 0) throw std::invalid_argument("request id is open already");
}

void RequestLifecycle::validate(const AttemptOutcome& event) const {
  const auto found = requests_.find(event.request);
  if (found != requests_.end() && event.attempt >= found->second.attempts.size())
    throw std::invalid_argument("outcome of an attempt that was never sent");
}

Permission RequestLifecycle::permission(const Request& request, const EventContext& context) {
  return decisions_.retryPolicy.permission(request, decisions_.reducedService, context.now);
}

const std::vector<EndpointId>& RequestLifecycle::eligible(const Request& request, const Permission& allowed,
                                                          const EventContext& context) {
  const bool mustWait = allowed.maySend && decisions_.sidecarLimit.mustWait(request, context);
  return decisions_.selection.eligible(request, mustWait ? Permission{} : allowed, context.now);
}

void RequestLifecycle::on(const NewRequest& event, const EventContext& context) {
  Request& request =
      requests_.emplace(event.request, decisions_.estimates.makeRequest(event, context.now)).first->second;
  ++open_;
  decisions_.retryPolicy.countRequest(context.now);
  context.deadlines.push({request.deadline, event.request, Wake::Kind::Deadline});
  // The hold ends while there is still time to be served: work for a client that has given up is wasted.
  request.holdUntil = std::min(request.deadline, context.now + request.latencyObjective) -
                      static_cast<Micros>(decisions_.latency.typicalLatency(event.requestClass));
  if (!decisions_.sidecarLimit.mustWait(request, context))
    decisions_.slowStart.earnCredit(request, decisions_.endpoints, context.now);
  dispatch(event.request, request, context);
}

// Sends the request if the rules permit it and an endpoint is ready; otherwise holds it while it may still be
// served in time, or else makes a last attempt or answers it.
void RequestLifecycle::dispatch(RequestId id, Request& request, const EventContext& context) {
  const Permission allowed = permission(request, context);
  const std::vector<EndpointId>& choice = eligible(request, allowed, context);
  if (!choice.empty()) {
    const EndpointId to = decisions_.selection.pick(choice, request, context);
    if (decisions_.healthCheck.shouldProbe(request, decisions_.reducedService, context)) {
      decisions_.healthCheck.startProbe(id, request, to, context);
    } else {
      send(id, request, to, context);
    }
    return;
  }
  if (request.pendingAttempts > 0) return;
  if (allowed.maySend && context.now < request.holdUntil) {
    decisions_.loadShedding.hold(id, request, context);
  } else {
    sendAsLastResort(id, request, context);
  }
}

// Sends to an ejected endpoint rather than reject the request: an ejected endpoint that still answers may
// serve it, and the attempt is the endpoint's trial. A silent endpoint gets no such attempt, since a
// rejection at least lets the client retry.
void RequestLifecycle::sendAsLastResort(RequestId id, Request& request, const EventContext& context) {
  const std::vector<EndpointId>& choice =
      decisions_.selection.lastResort(request, permission(request, context), context.now);
  if (choice.empty()) return answer(id, request, context);
  decisions_.loadShedding.release(id);
  decisions_.healthCheck.stopWaiting(id);
  const double at = context.random.uniform() * static_cast<double>(choice.size());
  send(id, request, choice[static_cast<std::size_t>(at)], context);
}

void RequestLifecycle::send(RequestId id, Request& request, EndpointId to, const EventContext& context) {
  const Micros now = context.now;
  Endpoint& endpoint = decisions_.endpoints[to];
  // Final check against the rules, whatever the other components have decided.
  if (!decisions_.retryPolicy.mayGoTo(to, endpoint, request, permission(request, context), now))
    return answer(id, request, context);
  decisions_.retryPolicy.countAttempt(request, now);
  decisions_.slowStart.earnCredit(request, decisions_.endpoints, now);
  decisions_.slowStart.spendCredit(endpoint, request, now);
  const bool needsConnection = decisions_.subset.connect(endpoint, now);
  if (endpoint.inFlight++ == 0) endpoint.lastOutcomeAt = now;
  decisions_.subset.join(endpoint, now);
  decisions_.priority.countUsage(request, now);
  decisions_.sendRate.count(now);
  request.attempts.push_back({to, endpoint.zone, endpoint.cell, now, true, true, needsConnection, true,
                              endpoint.launchedAt, endpoint.identity});
  ++request.pendingAttempts;
  decisions_.sidecarLimit.countSend();
  context.act(Send{id, to, 0});
}

// Gives the final answer: a rejection if the rules permit it, since it lets the client retry.
void RequestLifecycle::answer(RequestId id, Request& request, const EventContext& context) {
  const Permission allowed = permission(request, context);
  if (!allowed.mayReject && !allowed.mayFail) return;
  if (allowed.mayReject) {
    context.act(Reject{id, decisions_.loadShedding.retryAfter(context)});
  } else {
    context.act(Fail{id});
  }
  close(id, request, context);
}

// Finishes the request and cancels its attempts in flight, unless its answer is being streamed.
void RequestLifecycle::close(RequestId id, Request& request, const EventContext& context) {
  if (!request.isFinished) --open_;
  request.isFinished = true;
  decisions_.healthCheck.stopWaiting(id);
  decisions_.loadShedding.release(
      id);  // finished requests must not accumulate among the held ones while no endpoint is ready
  if (!request.isStreaming) cancelAllBut(kNoSurvivor, id, request, context);
  if (request.pendingAttempts == 0) requests_.erase(id);
}

void RequestLifecycle::cancelAllBut(std::uint32_t survivor, RequestId id, const Request& request,
                                    const EventContext& context) const {
  if (!decisions_.settings.mayCancel) return;
  for (std::uint32_t n = 0; n < request.attempts.size(); ++n) {
    if (request.attempts[n].isPending && n != survivor) context.act(Cancel{id, n});
  }
}

// Removes an attempt from the in-flight counts: at its outcome, or when its answer starts to stream, since
// the duration of the stream depends on the client.
void RequestLifecycle::releaseInFlight(Attempt& attempt) {
  if (attempt.countsAsInFlight) {
    decisions_.sidecarLimit.countEnd();
    --decisions_.endpoints[attempt.endpoint].inFlight;
  }
  attempt.countsAsInFlight = false;
}

void RequestLifecycle::on(const AttemptOutcome& event, const EventContext& context) {
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  Attempt& attempt = request.attempts[event.attempt];
  if (!attempt.isPending) return;
  attempt.isPending = false;
  attempt.mayHaveRun = !provesNeverRan(event.outcome);
  --request.pendingAttempts;
  releaseInFlight(attempt);
  request.isBodyConsumed = request.isBodyConsumed || event.isBodyConsumed;
  learn(event, request, attempt, context);
  if (request.isFinished) {
    if (request.pendingAttempts == 0) requests_.erase(found);
  } else if (event.endsRequest) {
    close(event.request, request, context);
  } else if (request.pendingAttempts == 0) {
    dispatch(event.request, request, context);  // no attempt is in flight any more
  }
}

// Passes the outcome to every component. The order matters, since each may put the endpoint in backoff.
void RequestLifecycle::learn(const AttemptOutcome& event, const Request& request, const Attempt& attempt,
                             const EventContext& context) {
  Endpoint& endpoint = decisions_.endpoints[attempt.endpoint];
  endpoint.lastOutcomeAt = context.now;
  const FinishedAttempt finished{attempt.sentAt, context.now - attempt.sentAt - event.clientLimitedTime,
                                 event.outcome};
  ConnectionSubset::learnConnection(endpoint, attempt, event.outcome);
  // A failed connect says nothing about the endpoint while other connections to it are open.
  const bool hasOtherConnection =
      event.outcome == Outcome::ConnectFailed && decisions_.subset.isConnected(endpoint, context.now);
  updateSubset(request, attempt, finished, hasOtherConnection, context);
  const double typicalLatency = decisions_.latency.typicalLatency(request.requestClass);
  if (event.report) {
    decisions_.loadReports.learn(endpoint, *event.report);
    // An endpoint may report overload before its answers become slow.
    if (event.report->busyRequests && decisions_.loadReports.isOverloaded(request, endpoint, *event.report))
      backOff(endpoint, typicalLatency, context);
  }
  if (event.outcome == Outcome::Ok)
    decisions_.latency.learn(endpoint, request, finished.latency, context.now);
  if (event.outcome == Outcome::Full || (event.outcome == Outcome::ConnectFailed && !hasOtherConnection)) {
    backOffExponentially(endpoint, static_cast<Micros>(typicalLatency), decisions_.settings.resolution,
                         context);
  }
  if (decisions_.sidecarLimit.backOffIfOverloaded(request, event.outcome, finished.latency, context))
    decisions_.loadShedding.wakeAfterBackoff(requests_, context);
  if (!hasOtherConnection) decisions_.outlierDetection.observe(attempt.endpoint, event.outcome, context);
  decisions_.concurrencyLimit.adjust(endpoint, request, finished, context);
}

void RequestLifecycle::updateSubset(const Request& request, const Attempt& attempt,
                                    const FinishedAttempt& finished, bool hasOtherConnection,
                                    const EventContext& context) {
  Endpoint& endpoint = decisions_.endpoints[attempt.endpoint];
  if (!hasOtherConnection)
    decisions_.subset.leaveIfUnfit(endpoint, request, finished.outcome, finished.latency, context.now);
  if (endpoint.isListed) {
    decisions_.subset.closeUnused(attempt.endpoint, context);
  } else {
    decisions_.subset.closeDraining(attempt.endpoint, context);
  }
}

void RequestLifecycle::on(const AttemptStarted& event, const EventContext& context) {
  const auto found = requests_.find(event.request);
  if (found == requests_.end() || found->second.isFinished) return;
  if (event.attempt >= found->second.attempts.size()) throw std::invalid_argument("never sent");
  found->second.isStreaming = true;
  releaseInFlight(found->second.attempts[event.attempt]);
  cancelAllBut(event.attempt, event.request, found->second, context);
}

void RequestLifecycle::on(const Withdrawn& event, const EventContext& context) {
  const auto found = requests_.find(event.request);
  if (found != requests_.end() && !found->second.isFinished) close(event.request, found->second, context);
}

void RequestLifecycle::on(const ProbeResult& event, const EventContext& context) {
  if (!decisions_.endpoints.contains(event.upstream)) return;
  decisions_.healthCheck.learn(event);
  std::vector<RequestId> probedRequests = decisions_.healthCheck.waiting();
  std::erase_if(probedRequests,
                [&](RequestId id) { return requests_.at(id).probedEndpoint != event.upstream; });
  for (const RequestId id : probedRequests)
    finishProbe(id, decisions_.healthCheck.judge(event, requests_.at(id)), context);
}

// Sends to the picked endpoint if it is still ready and has capacity; otherwise picks another, or answers the
// request.
void RequestLifecycle::finishProbe(RequestId id, HealthCheck::Verdict verdict, const EventContext& context) {
  decisions_.healthCheck.stopWaiting(id);
  Request& request = requests_.at(id);
  const auto& choice = eligible(request, permission(request, context), context);
  const bool isStillEligible =
      std::find(choice.begin(), choice.end(), request.probedEndpoint) != choice.end();
  if (isStillEligible && decisions_.healthCheck.acceptsPick(request, verdict))
    return send(id, request, request.probedEndpoint, context);
  if (decisions_.healthCheck.rejectPick(request, verdict,
                                        decisions_.latency.typicalLatency(request.requestClass), context)) {
    answer(id, request, context);
  } else {
    dispatch(id, request, context);
  }
}

void RequestLifecycle::onDeadline(const Wake& wake, const EventContext& context) {
  const auto found = requests_.find(wake.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  switch (wake.kind) {
    case Wake::Kind::ProbeTimeout: {
      const auto& waiting = decisions_.healthCheck.waiting();
      const bool isWaiting = std::find(waiting.begin(), waiting.end(), wake.request) != waiting.end();
      if (isWaiting && request.probeDeadline <= context.now)
        finishProbe(wake.request, HealthCheck::Verdict::Overloaded, context);
      return;
    }
    case Wake::Kind::Hold:
      // The request can no longer be served in time, so the client gets its answer at once.
      if (!request.isFinished && request.pendingAttempts == 0 && request.holdUntil <= context.now)
        sendAsLastResort(wake.request, request, context);
      return;
    case Wake::Kind::Deadline:
      // The final answer is due: only a streaming request outlives its deadline.
      if (!request.isFinished && !request.isStreaming && request.deadline <= context.now)
        answer(wake.request, request, context);
      return;
    default:
      return;
  }
}

void RequestLifecycle::serveHeld(const EventContext& context) {
  while (decisions_.loadShedding.size() > 0 && !decisions_.sidecarLimit.isAtLimit(context) &&
         decisions_.readiness.anyReady(decisions_.endpoints, context.now)) {
    const auto next = decisions_.loadShedding.takeHighestWeight(requests_, [&](const Request& request) {
      return !eligible(request, permission(request, context), context).empty();
    });
    if (!next) return;
    dispatch(*next, requests_.at(*next), context);
  }
}

}  // namespace ivypost::balancer::internal
