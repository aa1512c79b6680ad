// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/retry_policy.h"

#include <algorithm>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// The default retry budget: retries without any request, and retries for each request, in this window.
constexpr double kRetryFloor = 10;
constexpr double kRetryRatio = 0.2;
constexpr Micros kDefaultRetryBudgetWindow = 5'000'000;
// Upper bound of a configured floor or ratio, far above any useful value.
constexpr double kMaxBudget = 1e6;

}  // namespace

RetryBudget::RetryBudget(const Settings& settings)
    : isConfigured_(settings.retryBudgetWindow > 0),
      window_(isConfigured_ ? settings.retryBudgetWindow : kDefaultRetryBudgetWindow),
      minRetries_(isConfigured_ ? util::within(settings.retryBudgetFloor, 0, kMaxBudget) : kRetryFloor),
      retriesPerRequest_(isConfigured_ ? util::within(settings.retryBudgetRatio, 0, kMaxBudget)
                                       : kRetryRatio) {}

void RetryBudget::dropExpiredRequests(Micros now) {
  while (!requestsAt_.empty() && requestsAt_.front() <= now - window_) requestsAt_.pop_front();
}

void RetryBudget::countRequest(Micros now) {
  dropExpiredRequests(now);
  requestsAt_.push_back(now);
}

bool RetryBudget::allowsRetry(Micros now) {
  dropExpiredRequests(now);
  while (!retriesAt_.empty() && retriesAt_.front() < now - window_) retriesAt_.pop_front();
  const auto taken = static_cast<double>(requestsAt_.size());
  return static_cast<double>(retriesAt_.size()) + 1 <= minRetries_ + retriesPerRequest_ * taken;
}

Permission RetryPolicy::permission(const Request& request, const ReducedService& reduced, Micros now) {
  Permission allowed;
  if (request.isFinished || request.isStreaming) return allowed;
  const RequestClass& cls = settings_.classes[request.requestClass];
  const auto first = std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [](const Attempt& attempt) { return attempt.mayHaveRun; });
  allowed.mayFail = true;
  allowed.maySend = now < request.deadline && !request.isBodyConsumed &&
                    request.attempts.size() < settings_.maxAttempts &&
                    (request.pendingAttempts == 0 || (settings_.mayHedge && reduced.mayHedge)) &&
                    (!isCharged(request) || budget_.allowsRetry(now));
  if (first == request.attempts.end() || cls.semantics == Semantics::Idempotent) {
    allowed.mayReject = true;
  } else if (cls.semantics == Semantics::Unsafe) {
    allowed.maySend = false;
  } else {
    // Strictly within the window, by a margin of one clock step: the endpoint's window starts with our send.
    const bool inWindow = now + settings_.resolution < first->sentAt + cls.retryWindow;
    allowed.maySend = allowed.maySend && inWindow;
    allowed.anchor = &*first;
    // After a rejection the client may retry at any endpoint, so the group must be All and the window open.
    allowed.mayReject = cls.group == RetryGroup::All && inWindow;
  }
  return allowed;
}

// Whether the next attempt is charged to the budget: a configured budget counts every attempt beyond the
// first; the default one doesn't count retries after attempts that never ran, since rejections cost little.
bool RetryPolicy::isCharged(const Request& request) const {
  return budget_.isConfigured() ? !request.attempts.empty()
                                : std::any_of(request.attempts.begin(), request.attempts.end(),
                                              [](const Attempt& attempt) { return attempt.mayHaveRun; });
}

// Whether the endpoint is still the process that got this attempt. One that has restarted, or another one
// under its id, doesn't remember the attempt.
bool RetryPolicy::isSameProcess(const Attempt& anchor, const Endpoint& endpoint, EndpointId id) {
  return anchor.endpoint == id && anchor.launchedAt == endpoint.launchedAt &&
         anchor.identity == endpoint.identity;
}

bool RetryPolicy::inGroup(RetryGroup group, const Attempt& anchor, const Endpoint& endpoint, EndpointId id) {
  switch (group) {
    case RetryGroup::All:
      return true;
    case RetryGroup::Zone:
      return anchor.zone == endpoint.zone;
    case RetryGroup::Cell:
      return anchor.cell ? anchor.cell == endpoint.cell : isSameProcess(anchor, endpoint, id);
  }
  return false;
}

}  // namespace ivypost::balancer::internal
