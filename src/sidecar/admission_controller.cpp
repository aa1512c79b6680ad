// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission_controller.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace ivypost {
namespace {

using admission::Decision;
using balancer::RequestId;

// The minimum Retry-After in microseconds, if the platform asks for that header.
constexpr Micros kMinRetryAfter = 100'000;
// A rejection costs less than forwarding a request: this many rejections count as one forwarded request in
// the limit per turn.
constexpr std::int64_t kRejectionsPerForward = 8;

std::vector<double> quotasOf(const Config& config) {
  std::vector<double> quotas;
  for (const auto& tenant : config.site.settings.tenants) quotas.push_back(tenant.share);
  return quotas;
}

}  // namespace

AdmissionController::AdmissionController(boost::asio::io_context& io, const Config& config,
                                         const configuration::OperatorFile& file, Callbacks callbacks)
    : io_(io),
      config_(config),
      callbacks_(std::move(callbacks)),
      maxForwardsPerTurn_(file.admission.maxForwardsPerTurn),
      quotas_(quotasOf(config)),
      isAlive_(std::make_shared<bool>(true)) {
  apply(file);
}

AdmissionController::~AdmissionController() {
  *isAlive_ = false;
}

std::vector<double> AdmissionController::priorityWeightsOf(const configuration::OperatorFile& file) const {
  const auto& classes = config_.site.settings.classes;
  std::vector<double> weights;
  double greatest = 0;
  for (const auto& requestClass : classes) {
    weights.push_back(requestClass.weight);
    greatest = std::max(greatest, requestClass.weight);
  }
  const auto& order = file.admission.order;
  for (std::size_t n = 0; n < order.size(); ++n) {
    const auto found = config_.site.classes.find(order[n]);
    if (found == config_.site.classes.end())
      settings::throwFormatError("admission.order names a class that the platform doesn't have:", order[n]);
    weights.at(found->second) = greatest + static_cast<double>(order.size() - n);
  }
  return weights;
}

void AdmissionController::validate(const configuration::OperatorFile& file) const {
  static_cast<void>(priorityWeightsOf(file));
}

void AdmissionController::apply(const configuration::OperatorFile& file) {
  priorityWeights_ = priorityWeightsOf(file);
  maxForwardsPerTurn_ = file.admission.maxForwardsPerTurn;
  countsArrivals_ = file.admission.queue || file.degradation.on;
  queue_.reset();
  if (file.admission.queue) {
    queue_ = std::make_unique<admission::AdmissionQueue>(file.admission.queueSettings, priorityWeights_);
    queue_->setPriorityOrder(restrictions_.admitsByPriority);
    std::vector<Decision> rejections;
    for (const auto& [id, queued] : queued_) {
      if (const auto rejected = queue_->push(queued.entry, now())) rejections.push_back(*rejected);
    }
    for (const Decision& one : rejections) execute(one);
    return;
  }
  auto remaining = std::exchange(queued_, {});
  for (auto& [id, queued] : remaining) {
    ++counts_.at(static_cast<std::size_t>(admission::Outcome::Forward));
    callbacks_.forward(std::move(queued.request));
  }
}

void AdmissionController::restrict(const degradation::Restrictions& restrictions) {
  restrictions_ = restrictions;
  if (queue_) queue_->setPriorityOrder(restrictions.admitsByPriority);
}

void AdmissionController::submit(ClientRequest request, bool isOverloaded) {
  const Micros at = now();
  const bool isBeyondQuota = countsArrivals_ && quotas_.recordArrival(request.tenant, at);
  if (!queue_) return callbacks_.forward(std::move(request));
  // The usual case, with an empty queue and the limit per turn not reached, costs only a post to the event
  // loop.
  if (!isOverloaded && queued_.empty() && forwardedInTurn_ < maxForwardsPerTurn_) {
    ++forwardedInTurn_;
    scheduleTurn();
    ++counts_.at(static_cast<std::size_t>(admission::Outcome::Forward));
    return callbacks_.forward(std::move(request));
  }
  Queued queued;
  queued.entry = {request.id,    request.requestClass,      request.tenant,
                  isBeyondQuota, microsOf(request.arrived), microsOf(request.deadline)};
  queued.request = std::move(request);
  const admission::QueuedRequest entry = queued.entry;
  queued_.emplace(entry.id, std::move(queued));
  if (const auto rejected = queue_->push(entry, at)) {
    execute(*rejected);
  } else if (isOverloaded) {
    if (const auto evicted = queue_->evict()) execute(*evicted);
  }
  scheduleTurn();
}

bool AdmissionController::withdraw(RequestId id) {
  if (queued_.erase(id) == 0) return false;
  if (queue_) queue_->withdraw(id);
  return true;
}

bool AdmissionController::isTooLate(std::uint32_t requestClass, Micros remaining) const {
  const double greatest = *std::max_element(priorityWeights_.begin(), priorityWeights_.end());
  if (priorityWeights_.at(requestClass) < restrictions_.minPriorityWeight * greatest) return true;
  const Micros at = now();
  return remaining < queueTime_.value(at) + responseTime_.value(at);
}

Micros AdmissionController::retryAfter() const {
  const auto& settings = config_.site.settings;
  if (!settings.retryAfter) return 0;
  const Micros delay = std::max(kMinRetryAfter, 2 * queueTime_.value(now()));
  return settings.maxRetryAfter > 0 ? std::min(delay, settings.maxRetryAfter) : delay;
}

double AdmissionController::beyondQuotaFraction() {
  return quotas_.beyondQuotaFraction(now());
}

void AdmissionController::execute(const Decision& decision) {
  const auto found = queued_.find(decision.id);
  if (found == queued_.end()) return;
  ++counts_.at(static_cast<std::size_t>(decision.outcome));
  ClientRequest request = std::move(found->second.request);
  queued_.erase(found);
  if (decision.outcome == admission::Outcome::Forward) {
    queueTime_.add(now() - microsOf(request.arrived), now());
    return callbacks_.forward(std::move(request));
  }
  callbacks_.reject(decision.id, decision.outcome);
}

void AdmissionController::scheduleTurn() {
  if (std::exchange(isTurnScheduled_, true)) return;
  boost::asio::post(io_, [this, isAlive = isAlive_] {
    if (*isAlive) runTurn();
  });
}

void AdmissionController::runTurn() {
  isTurnScheduled_ = false;
  forwardedInTurn_ = 0;
  std::int64_t rejected = 0;
  while (queue_ && forwardedInTurn_ + rejected / kRejectionsPerForward < maxForwardsPerTurn_) {
    const auto decision = queue_->next(now());
    if (!decision) break;
    ++(decision->outcome == admission::Outcome::Forward ? forwardedInTurn_ : rejected);
    execute(*decision);
  }
  if (!queued_.empty()) scheduleTurn();
}

}  // namespace ivypost
