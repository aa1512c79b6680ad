// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gate.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace ivypost {
namespace {

using admission::Decision;
using balancer::RequestId;

// The least that a client is told to stay away, where it may be told: a turn of the queue's overload.
constexpr Micros kLeastAway = 100'000;

std::vector<double> sharesOf(const Config& config) {
  std::vector<double> shares;
  for (const auto& tenant : config.site.settings.tenants) shares.push_back(tenant.share);
  return shares;
}

}  // namespace

Gate::Gate(boost::asio::io_context& io, const Config& config, const op::File& file, Callbacks callbacks)
    : io_(io),
      config_(config),
      callbacks_(std::move(callbacks)),
      perTurn_(file.admission.perTurn),
      shares_(sharesOf(config)),
      alive_(std::make_shared<bool>(true)) {
  adopt(file);
}

Gate::~Gate() {
  *alive_ = false;
}

// The operator's order first, each above all that the platform's worth can be; then by that worth.
std::vector<double> Gate::worthBy(const op::File& file) const {
  const auto& classes = config_.site.settings.classes;
  std::vector<double> worth;
  double most = 0;
  for (const auto& cls : classes) {
    worth.push_back(cls.value);
    most = std::max(most, cls.value);
  }
  const auto& order = file.admission.order;
  for (std::size_t n = 0; n < order.size(); ++n) {
    const auto found = config_.site.classes.find(order[n]);
    if (found == config_.site.classes.end())
      settings::bad("admission.order names a class that the platform doesn't have:", order[n]);
    worth.at(found->second) = most + static_cast<double>(order.size() - n);
  }
  return worth;
}

void Gate::check(const op::File& file) const {
  worthBy(file);
}

void Gate::adopt(const op::File& file) {
  worth_ = worthBy(file);
  perTurn_ = file.admission.perTurn;
  counting_ = file.admission.queue || file.degradation.on;
  queue_.reset();
  if (file.admission.queue) {
    queue_ = std::make_unique<admission::AdmissionQueue>(file.admission.figures, worth_);
    queue_->setPriorityOrder(restrictions_.admitsByPriority);
    std::vector<Decision> tooMany;
    for (const auto& [id, held] : held_) {
      if (const auto refused = queue_->push(held.waiting, now())) tooMany.push_back(*refused);
    }
    for (const Decision& one : tooMany) carryOut(one);
    return;
  }
  auto left = std::exchange(held_, {});
  for (auto& [id, held] : left) {
    ++counts_.at(static_cast<std::size_t>(admission::Outcome::Forward));
    callbacks_.handOn(std::move(held.request));
  }
}

void Gate::reduce(const degradation::Restrictions& restrictions) {
  restrictions_ = restrictions;
  if (queue_) queue_->setPriorityOrder(restrictions.admitsByPriority);
}

void Gate::offer(ClientRequest request, bool crowded) {
  const Micros at = now();
  const bool beyond = counting_ && shares_.recordArrival(request.tenant, at);
  if (!queue_) return callbacks_.handOn(std::move(request));
  // Nobody waits and the turn is not used up: the usual case costs no more than a post to the loop.
  if (!crowded && held_.empty() && handedOn_ < perTurn_) {
    ++handedOn_;
    turnLater();
    ++counts_.at(static_cast<std::size_t>(admission::Outcome::Forward));
    return callbacks_.handOn(std::move(request));
  }
  Held held;
  held.waiting = {request.id, request.requestClass,      request.tenant,
                  beyond,     microsOf(request.arrived), microsOf(request.deadline)};
  held.request = std::move(request);
  const admission::QueuedRequest waiting = held.waiting;
  held_.emplace(waiting.id, std::move(held));
  if (const auto refused = queue_->push(waiting, at)) {
    carryOut(*refused);
  } else if (crowded) {
    if (const auto evicted = queue_->evict()) carryOut(*evicted);
  }
  turnLater();
}

bool Gate::withdraw(RequestId id) {
  if (held_.erase(id) == 0) return false;
  if (queue_) queue_->withdraw(id);
  return true;
}

bool Gate::hopeless(std::uint32_t requestClass, Micros left) const {
  const double most = *std::max_element(worth_.begin(), worth_.end());
  if (worth_.at(requestClass) < restrictions_.minPriorityWeight * most) return true;
  const Micros at = now();
  return left < wait_.value(at) + answer_.value(at);
}

Micros Gate::comeAgain() const {
  const auto& settings = config_.site.settings;
  if (!settings.retryAfter) return 0;
  const Micros away = std::max(kLeastAway, 2 * wait_.value(now()));
  return settings.maxRetryAfter > 0 ? std::min(away, settings.maxRetryAfter) : away;
}

double Gate::beyondShare() {
  return shares_.beyondQuotaFraction(now());
}

void Gate::carryOut(const Decision& decision) {
  const auto found = held_.find(decision.id);
  if (found == held_.end()) return;
  ++counts_.at(static_cast<std::size_t>(decision.outcome));
  ClientRequest request = std::move(found->second.request);
  held_.erase(found);
  if (decision.outcome == admission::Outcome::Forward) {
    wait_.add(now() - microsOf(request.arrived), now());
    return callbacks_.handOn(std::move(request));
  }
  callbacks_.refuse(decision.id, decision.outcome);
}

// Runs behind everything that was ready when it was set: all requests that had come by then have been read.
void Gate::turnLater() {
  if (std::exchange(turnSet_, true)) return;
  boost::asio::post(io_, [this, alive = alive_] {
    if (*alive) turn();
  });
}

void Gate::turn() {
  turnSet_ = false;
  handedOn_ = 0;
  // Refusals cost little, but not nothing: they count as an eighth.
  std::int64_t refused = 0;
  while (queue_ && handedOn_ + refused / 8 < perTurn_) {
    const auto decision = queue_->next(now());
    if (!decision) break;
    ++(decision->outcome == admission::Outcome::Forward ? handedOn_ : refused);
    carryOut(*decision);
  }
  if (!held_.empty()) turnLater();
}

}  // namespace ivypost
