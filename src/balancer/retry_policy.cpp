// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/retry_policy.h"

#include <algorithm>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// The retry budget where none is stated: so many repeats, and so many for each request taken, in this span.
constexpr double kRetryFloor = 10;
constexpr double kRetryRatio = 0.2;
constexpr Micros kDefaultRetryBudgetWindow = 5'000'000;
// Far above any sensible budget.
constexpr double kMaxBudget = 1e6;

}  // namespace

RetryBudget::RetryBudget(const Settings& settings)
    : stated_(settings.retryBudgetWindow > 0),
      retryBudgetWindow_(stated_ ? settings.retryBudgetWindow : kDefaultRetryBudgetWindow),
      extraFloor_(stated_ ? util::within(settings.retryBudgetFloor, 0, kMaxBudget) : kRetryFloor),
      furtherRatio_(stated_ ? util::within(settings.retryBudgetRatio, 0, kMaxBudget) : kRetryRatio) {}

void RetryBudget::forgetTaken(Micros now) {
  while (!taken_.empty() && taken_.front() <= now - retryBudgetWindow_) taken_.pop_front();
}

void RetryBudget::take(Micros now) {
  forgetTaken(now);
  taken_.push_back(now);
}

bool RetryBudget::left(Micros now) {
  forgetTaken(now);
  while (!further_.empty() && further_.front() < now - retryBudgetWindow_) further_.pop_front();
  const auto taken = static_cast<double>(taken_.size());
  return static_cast<double>(further_.size()) + 1 <= extraFloor_ + furtherRatio_ * taken;
}

Permission RetryPolicy::permission(const Request& request, const ReducedService& reduced, Micros now) {
  Permission allowed;
  if (request.isFinished || request.isStreaming) return allowed;
  const RequestClass& cls = settings_.classes[request.requestClass];
  const auto first = std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [](const Attempt& attempt) { return attempt.mayHaveRun; });
  allowed.fail = true;
  allowed.send = now < request.deadline && !request.isBodySpent &&
                 request.attempts.size() < settings_.maxAttempts &&
                 (request.pendingAttempts == 0 || (settings_.mayHedge && reduced.mayHedge)) &&
                 (!isCharged(request) || budget_.left(now));
  if (first == request.attempts.end() || cls.semantics == Semantics::Idempotent) {
    allowed.refuse = true;
  } else if (cls.semantics == Semantics::Unsafe) {
    allowed.send = false;
  } else {
    // Strictly inside the window, one step of the clock early: the endpoint's clock starts with our send.
    const bool inWindow = now + settings_.resolution < first->sentAt + cls.retryWindow;
    allowed.send = allowed.send && inWindow;
    allowed.anchor = &*first;
    // A rejection invites the client to send again to any endpoint, so it needs the widest group, and time.
    allowed.refuse = cls.group == RetryGroup::All && inWindow;
  }
  return allowed;
}

// Whether its next attempt draws on the budget: a stated one counts every attempt beyond the first, our own
// lets those go freely that follow attempts which never ran, since rejections cost little.
bool RetryPolicy::isCharged(const Request& request) const {
  return budget_.isStated() ? !request.attempts.empty()
                            : std::any_of(request.attempts.begin(), request.attempts.end(),
                                          [](const Attempt& attempt) { return attempt.mayHaveRun; });
}

bool RetryPolicy::inGroup(RetryGroup group, const Attempt& anchor, const Endpoint& endpoint, EndpointId id) {
  switch (group) {
    case RetryGroup::All:
      return true;
    case RetryGroup::Zone:
      return anchor.zone == endpoint.zone;
    case RetryGroup::Cell:
      return anchor.cell ? anchor.cell == endpoint.cell : anchor.endpoint == id;
  }
  return false;
}

}  // namespace ivypost::balancer::internal
