// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/request_lifecycle.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "balancer/endpoint_backoff.h"

namespace orchiddrum::internal {
namespace {

// Cancels every attempt that is out.
constexpr std::uint32_t kKeepNone = static_cast<std::uint32_t>(-1);

}  // namespace

void RequestLifecycle::validate(const NewRequest& event) const {
  if (event.requestClass >= d_.settings.classes.size()) throw std::invalid_argument("unknown class");
  if (event.tenant && *event.tenant >= d_.settings.tenants.size())
    throw std::invalid_argument("unknown tenant");
  if (requests_.count(event.request) != 0) throw std::invalid_argument("request id is open already");
}

void RequestLifecycle::validate(const AttemptOutcome& event) const {
  const auto found = requests_.find(event.request);
  if (found != requests_.end() && event.attempt >= found->second.attempts.size())
    throw std::invalid_argument("outcome of an attempt that was never sent");
}

Permission RequestLifecycle::permission(const Request& request, const EventContext& context) {
  return d_.retryPolicy.permission(request, d_.reduced, context.now);
}

const std::vector<UpstreamId>& RequestLifecycle::eligible(const Request& request, const Permission& may,
                                                          const EventContext& context) {
  const bool isHeldUp = may.send && d_.sidecarLimit.isHeldUp(request, context);
  return d_.selection.eligible(request, isHeldUp ? Permission{} : may, context.now);
}

void RequestLifecycle::on(const NewRequest& event, const EventContext& context) {
  Request& request = requests_.emplace(event.request, d_.estimates.arrive(event, context.now)).first->second;
  ++open_;
  d_.retryPolicy.countRequest(context.now);
  context.deadlines.push({request.deadline, event.request, Wake::What::Deadline});
  // Held no longer than leaves time to be served: work for a client that has gone is wasted.
  request.holdUntil = std::min(request.deadline, context.now + request.aim) -
                      static_cast<Micros>(d_.latency.typicalLag(event.requestClass));
  if (!d_.sidecarLimit.isHeldUp(request, context))
    d_.slowStart.earnCredit(request, d_.endpoints, context.now);
  dispatch(event.request, request, context);
}

// Sends the request if the rules and the ready set allow; else holds it while an attempt may still come, or
// answers it.
void RequestLifecycle::dispatch(RequestId id, Request& request, const EventContext& context) {
  const Permission may = permission(request, context);
  const std::vector<UpstreamId>& choice = eligible(request, may, context);
  if (!choice.empty()) {
    const UpstreamId to = d_.selection.pick(choice, request, context);
    if (d_.healthCheck.mayLook(request, d_.reduced, context)) {
      d_.healthCheck.look(id, request, to, context);
    } else {
      send(id, request, to, context);
    }
    return;
  }
  if (request.out > 0) return;
  if (may.send && context.now < request.holdUntil) {
    d_.loadShedding.hold(id, request, context);
  } else {
    giveUp(id, request, context);
  }
}

// Guards against refusing what an ejected endpoint might still serve: one that answers at all answers some.
// That is its trial. One that is silent gets nothing: a refusal lets the client try again.
void RequestLifecycle::giveUp(RequestId id, Request& request, const EventContext& context) {
  const std::vector<UpstreamId>& choice =
      d_.selection.lastResort(request, permission(request, context), context.now);
  if (choice.empty()) return answer(id, request, context);
  d_.loadShedding.release(id);
  d_.healthCheck.stopLooking(id);
  const double at = context.random.uniform() * static_cast<double>(choice.size());
  send(id, request, choice[static_cast<std::size_t>(at)], context);
}

void RequestLifecycle::send(RequestId id, Request& request, UpstreamId to, const EventContext& context) {
  const Micros now = context.now;
  Endpoint& endpoint = d_.endpoints[to];
  // Guards the rules against every other part of this module: they have the last word.
  if (!d_.retryPolicy.mayGoTo(to, endpoint, request, permission(request, context), now))
    return answer(id, request, context);
  d_.retryPolicy.countAttempt(request, now);
  d_.slowStart.earnCredit(request, d_.endpoints, now);
  d_.slowStart.spendCredit(endpoint, request, now);
  const bool connects = d_.subset.connect(endpoint, now);
  if (endpoint.inFlight++ == 0) endpoint.lastOutcomeAt = now;
  d_.subset.join(endpoint, now);
  d_.priority.countUsage(request, now);
  d_.sendRate.count(now);
  request.attempts.push_back({to, endpoint.zone, endpoint.cell, now, true, true, connects});
  ++request.out;
  d_.sidecarLimit.countSend();
  context.act(Send{id, to, 0});
}

// The final answer. A refusal, where the rules allow it, since it lets the client try again.
void RequestLifecycle::answer(RequestId id, Request& request, const EventContext& context) {
  const Permission may = permission(request, context);
  if (!may.refuse && !may.fail) return;
  if (may.refuse) {
    context.act(Refuse{id, d_.loadShedding.comeBack(context)});
  } else {
    context.act(Fail{id});
  }
  close(id, request, context);
}

// The request is over: what is still out for it serves nobody.
void RequestLifecycle::close(RequestId id, Request& request, const EventContext& context) {
  if (!request.over) --open_;
  request.over = true;
  d_.healthCheck.stopLooking(id);
  d_.loadShedding.release(id);  // guards against a hold that grows for as long as nobody is ready
  if (!request.streaming) cancelAllBut(kKeepNone, id, request, context);
  if (request.out == 0) requests_.erase(id);
}

void RequestLifecycle::cancelAllBut(std::uint32_t kept, RequestId id, const Request& request,
                                    const EventContext& context) const {
  if (!d_.settings.mayCancel) return;
  for (std::uint32_t n = 0; n < request.attempts.size(); ++n) {
    if (request.attempts[n].out && n != kept) context.act(Cancel{id, n});
  }
}

// Any outcome leaves the count; so does an answer that begins to stream: the rest is its client's pace.
void RequestLifecycle::leaveCount(Attempt& attempt) {
  if (attempt.counted) {
    d_.sidecarLimit.countEnd();
    --d_.endpoints[attempt.endpoint].inFlight;
  }
  attempt.counted = false;
}

void RequestLifecycle::on(const AttemptOutcome& event, const EventContext& context) {
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  Attempt& attempt = request.attempts[event.attempt];
  if (!attempt.out) return;
  attempt.out = false;
  attempt.mayHaveRun = !provesNeverRan(event.outcome);
  --request.out;
  leaveCount(attempt);
  request.spent = request.spent || event.spent;
  learn(event, request, attempt, context);
  if (request.over) {
    if (request.out == 0) requests_.erase(found);
  } else if (event.last) {
    close(event.request, request, context);
  } else if (request.out == 0) {
    dispatch(event.request, request, context);  // nothing of it is out any more
  }
}

// Tells every part what the outcome says of the endpoint, in this order: each may rest it.
void RequestLifecycle::learn(const AttemptOutcome& event, const Request& request, const Attempt& attempt,
                             const EventContext& context) {
  Endpoint& endpoint = d_.endpoints[attempt.endpoint];
  endpoint.lastOutcomeAt = context.now;
  const FinishedAttempt finished{attempt.sentAt, context.now - attempt.sentAt - event.transfer,
                                 event.outcome};
  ConnectionSubset::learnConnection(endpoint, attempt, event.outcome);
  // A connect that failed where other connections stand says nothing of the endpoint.
  const bool isOtherwiseConnected =
      event.outcome == Outcome::ConnectFailed && d_.subset.isConnected(endpoint, context.now);
  learnConnections(request, attempt, finished, isOtherwiseConnected, context);
  const double typicalLag = d_.latency.typicalLag(request.requestClass);
  if (event.report) {
    d_.loadReports.learn(endpoint, *event.report);
    // Guards against crowding that an endpoint reports before answers are slow.
    if (event.report->busyRequests && d_.loadReports.isCrowded(request, endpoint, *event.report))
      rest(endpoint, typicalLag, context);
  }
  if (event.outcome == Outcome::Ok) d_.latency.learn(endpoint, request, finished.lag, context.now);
  if (event.outcome == Outcome::Full || (event.outcome == Outcome::ConnectFailed && !isOtherwiseConnected)) {
    pause(endpoint, static_cast<Micros>(typicalLag), d_.settings.resolution, context);
  }
  if (d_.sidecarLimit.restIfCrowded(request, event.outcome, finished.lag, context))
    d_.loadShedding.wakeAfterRest(requests_, context);
  if (!isOtherwiseConnected) d_.outlierDetection.observe(attempt.endpoint, event.outcome, context);
  d_.concurrencyLimit.adjust(endpoint, request, finished, context);
}

void RequestLifecycle::learnConnections(const Request& request, const Attempt& attempt,
                                        const FinishedAttempt& finished, bool isOtherwiseConnected,
                                        const EventContext& context) {
  Endpoint& endpoint = d_.endpoints[attempt.endpoint];
  if (!isOtherwiseConnected) d_.subset.settle(endpoint, request, finished.outcome, finished.lag, context.now);
  if (endpoint.isListed) {
    d_.subset.closeUnused(attempt.endpoint, context);
  } else {
    d_.subset.hangUp(attempt.endpoint, context);
  }
}

void RequestLifecycle::on(const AttemptStarted& event, const EventContext& context) {
  const auto found = requests_.find(event.request);
  if (found == requests_.end() || found->second.over) return;
  if (event.attempt >= found->second.attempts.size()) throw std::invalid_argument("never sent");
  found->second.streaming = true;
  leaveCount(found->second.attempts[event.attempt]);
  cancelAllBut(event.attempt, event.request, found->second, context);
}

void RequestLifecycle::on(const Withdrawn& event, const EventContext& context) {
  const auto found = requests_.find(event.request);
  if (found != requests_.end() && !found->second.over) close(event.request, found->second, context);
}

void RequestLifecycle::on(const ProbeResult& event, const EventContext& context) {
  if (!d_.endpoints.contains(event.upstream)) return;
  d_.healthCheck.learn(event);
  std::vector<RequestId> ended = d_.healthCheck.looking();
  std::erase_if(ended, [&](RequestId id) { return requests_.at(id).lookAt != event.upstream; });
  for (const RequestId id : ended) endLook(id, d_.healthCheck.judge(event, requests_.at(id)), context);
}

// The pick stands if the endpoint is still ready and has room; else another is picked, or the request gives
// way.
void RequestLifecycle::endLook(RequestId id, HealthCheck::Verdict verdict, const EventContext& context) {
  d_.healthCheck.stopLooking(id);
  Request& request = requests_.at(id);
  const auto& choice = eligible(request, permission(request, context), context);
  const bool stillReady = std::find(choice.begin(), choice.end(), request.lookAt) != choice.end();
  if (stillReady && d_.healthCheck.picks(request, verdict)) return send(id, request, request.lookAt, context);
  if (d_.healthCheck.passOver(request, verdict, d_.latency.typicalLag(request.requestClass), context)) {
    answer(id, request, context);
  } else {
    dispatch(id, request, context);
  }
}

void RequestLifecycle::onDeadline(const Wake& wake, const EventContext& context) {
  const auto found = requests_.find(wake.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  switch (wake.what) {
    case Wake::What::Look: {
      const auto& looking = d_.healthCheck.looking();
      const bool waits = std::find(looking.begin(), looking.end(), wake.request) != looking.end();
      if (waits && request.lookUntil <= context.now)
        endLook(wake.request, HealthCheck::Verdict::Crowded, context);
      return;
    }
    case Wake::What::Hold:
      // Guards against holding what can no longer be served in time: better the client hears at once.
      if (!request.over && request.out == 0 && request.holdUntil <= context.now)
        giveUp(wake.request, request, context);
      return;
    case Wake::What::Deadline:
      // Guards the last answer: nothing of a request that has not begun to stream outlives its deadline.
      if (!request.over && !request.streaming && request.deadline <= context.now)
        answer(wake.request, request, context);
      return;
    default:
      return;
  }
}

void RequestLifecycle::serveHeld(const EventContext& context) {
  while (d_.loadShedding.size() > 0 && !d_.sidecarLimit.isWholeOut(context) &&
         d_.readiness.anyReady(d_.endpoints, context.now)) {
    const auto next = d_.loadShedding.takeWorthiest(requests_, [&](const Request& request) {
      return !eligible(request, permission(request, context), context).empty();
    });
    if (!next) return;
    dispatch(*next, requests_.at(*next), context);
  }
}

}  // namespace orchiddrum::internal
