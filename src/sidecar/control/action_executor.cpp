// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/action_executor.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace ivypost {
namespace {

using balancer::RequestId;
using std::chrono::microseconds;

// HTTP status codes for requests that no upstream has answered.
constexpr unsigned kUnavailable = 503;
constexpr unsigned kBadGateway = 502;

// Why the decision module gives up a request now, for the log.
std::string reasonOf(const OpenRequest& request) {
  const bool isLate = Clock::now() >= request.client.deadline;
  if (request.attempts.empty())
    return isLate ? "its time was over, with no attempt" : "no upstream was ready";
  const bool mayHaveRun = std::any_of(request.attempts.begin(), request.attempts.end(),
                                      [](const AttemptRecord& attempt) { return attempt.mayHaveRun; });
  std::string reason = isLate ? "its time was over" : "no further attempt is possible";
  reason += ", after " + std::to_string(request.attempts.size()) + " attempts, ";
  return reason + (mayHaveRun ? "it may have run" : "it has not run");
}

}  // namespace

void ActionExecutor::execute(const std::vector<balancer::Action>& actions, Micros now) {
  // The timer first: another action may lead to a further event, whose timer then is the newer one. By the
  // event's time: the timer would be late by what the event has taken otherwise.
  for (const auto& action : actions) {
    if (const auto* timer = std::get_if<balancer::SetTimer>(&action))
      timer_.set(Clock::time_point(microseconds(now + timer->delay)));
  }
  for (const auto& action : actions) std::visit([this](const auto& one) { perform(one); }, action);
}

void ActionExecutor::onEventHandled(Micros now) {
  if (const char* const line = shedding_.onEventHandled(now)) callbacks_.log(line);
}

void ActionExecutor::perform(const balancer::Send& send) {
  OpenRequest& request = targets_.requests.at(send.request);
  AttemptOrder order;
  order.id = {send.request, static_cast<std::uint32_t>(request.attempts.size())};
  order.upstream = send.upstream;
  order.message = request.client.message;
  order.upload = request.client.upload;
  order.deadline = request.client.deadline;
  if (send.timeout > 0) order.deadline = std::min(order.deadline, Clock::now() + microseconds(send.timeout));
  const auto& classes = targets_.config.site.settings.classes;
  order.writeBy = writeDeadline(request, classes.at(request.client.requestClass), order.deadline);
  AttemptRecord attempt;
  attempt.upstream = send.upstream;
  request.attempts.push_back(attempt);
  ++request.pendingAttempts;
  targets_.endpoints.addUse(send.upstream);
  targets_.pool.send(std::move(order));
}

void ActionExecutor::perform(const balancer::Cancel& cancel) {
  targets_.pool.cancel({cancel.request, cancel.attempt});
}

// Called for each request that the module rejects or fails; logs the start of load shedding if the request
// had no attempt.
void ActionExecutor::logLoadShedding(RequestId id) {
  if (!targets_.requests.at(id).attempts.empty()) return;
  if (const char* const line = shedding_.onRejected(microsOf(Clock::now()))) callbacks_.log(line);
}

void ActionExecutor::perform(const balancer::Reject& rejection) {
  logLoadShedding(rejection.request);
  Answer answer;
  answer.status = kUnavailable;
  answer.body = "refused\n";
  answer.reason = reasonOf(targets_.requests.at(rejection.request));
  answer.retryAfter = rejection.retryAfter;
  finish(rejection.request, std::move(answer));
  forget(rejection.request);
}

void ActionExecutor::perform(const balancer::Fail& failure) {
  logLoadShedding(failure.request);
  Answer answer;
  answer.status = kBadGateway;
  answer.body = "failed\n";
  answer.reason = reasonOf(targets_.requests.at(failure.request));
  finish(failure.request, std::move(answer));
  forget(failure.request);
}

void ActionExecutor::perform(const balancer::Probe& probe) {
  targets_.endpoints.addUse(probe.upstream);
  targets_.pool.probe(probe.upstream);
}

void ActionExecutor::perform(const balancer::CloseIdle& close) {
  targets_.pool.closeIdle(close.upstream);
}

void ActionExecutor::perform(const balancer::Subscribe& /*subscribe*/) {
  targets_.membership.watch();
}

void ActionExecutor::perform(const balancer::Fetch& /*fetch*/) {
  targets_.membership.fetch();
}

void ActionExecutor::perform(const balancer::Log& line) const {
  callbacks_.log(line.text);
}

void ActionExecutor::finish(RequestId id, Answer answer) {
  OpenRequest& request = targets_.requests.at(id);
  request.isFinished = true;
  if (request.pendingAttempts > 0) targets_.pool.cancelUnsent(id);
  targets_.server.answer(id, std::move(answer));
}

// A request with attempts in flight is kept, since the pool still reports their end.
void ActionExecutor::forget(RequestId id) {
  const auto found = targets_.requests.find(id);
  if (found == targets_.requests.end() || !found->second.isFinished || found->second.pendingAttempts > 0)
    return;
  const auto attempts = std::move(found->second.attempts);
  targets_.requests.erase(found);
  for (const AttemptRecord& attempt : attempts) targets_.endpoints.dropUse(attempt.upstream);
}

}  // namespace ivypost
