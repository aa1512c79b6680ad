// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/admission_queue.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace ivypost::admission {

const char* nameOf(Outcome outcome) {
  static constexpr std::array<const char*, kOutcomes> kNames = {"handed on", "too late", "overload",
                                                                "queue full", "school full"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings& settings,
                               const std::vector<double>& priorityWeights)
    : settings_(settings),
      classCount_(priorityWeights.size()),
      laneOfClass_(priorityWeights.size()),
      lanes_(2 * priorityWeights.size()) {
  std::vector<std::size_t> order(classCount_);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](auto a, auto b) { return priorityWeights.at(a) > priorityWeights.at(b); });
  for (std::size_t n = 0; n < classCount_; ++n) laneOfClass_.at(order.at(n)) = n;
}

std::size_t AdmissionQueue::laneOf(const QueuedRequest& request) const {
  return laneOfClass_.at(request.requestClass) + (request.isBeyondQuota ? classCount_ : 0);
}

std::optional<Decision> AdmissionQueue::push(const QueuedRequest& request, Micros now) {
  if (laneById_.empty()) nonEmptySince_ = now;
  const std::size_t lane = laneOf(request);
  // Sorted by arrival: a request may have arrived before one that was read earlier.
  auto& requests = lanes_.at(lane).requests;
  const auto position =
      std::upper_bound(requests.begin(), requests.end(), request.arrived,
                       [](Micros at, const QueuedRequest& other) { return at < other.arrived; });
  requests.insert(position, request);
  laneById_.emplace(request.id, lane);
  if (request.tenant) {
    const auto count = static_cast<double>(++countByTenant_[*request.tenant]);
    if (count > std::max(1.0, settings_.maxTenantFraction * static_cast<double>(settings_.maxRequests)))
      return evictFrom(request.tenant, Outcome::TenantFull);
  }
  if (laneById_.size() > settings_.maxRequests) return evictFrom(std::nullopt, Outcome::QueueFull);
  return std::nullopt;
}

std::optional<Decision> AdmissionQueue::next(Micros now) {
  if (laneById_.empty()) return std::nullopt;
  if (const auto late = rejectLate(now)) return late;
  const bool isOverload = isOverloaded(now);
  const auto lane = isOverload || alwaysByPriority_ ? highestPriorityLane() : oldestLane();
  if (!lane) return std::nullopt;
  auto& chosen = lanes_.at(*lane);
  chosen.servedAt = ++turn_;
  const QueuedRequest request = remove(*lane, isOverload ? chosen.requests.size() - 1 : 0);
  if (request.deadline - now < settings_.minRemainingTime) return Decision{request.id, Outcome::TooLate};
  return Decision{request.id, Outcome::Forward};
}

std::optional<Decision> AdmissionQueue::evict() {
  return evictFrom(std::nullopt, Outcome::QueueFull);
}

bool AdmissionQueue::withdraw(RequestId id) {
  const auto found = laneById_.find(id);
  if (found == laneById_.end()) return false;
  const std::size_t lane = found->second;
  const auto& requests = lanes_.at(lane).requests;
  const auto position =
      std::find_if(requests.begin(), requests.end(), [id](const QueuedRequest& one) { return one.id == id; });
  remove(lane, static_cast<std::size_t>(position - requests.begin()));
  return true;
}

// The oldest request of each lane is at its front, so that late requests are found at once, independently of
// the order in which lanes are served.
std::optional<Decision> AdmissionQueue::rejectLate(Micros now) {
  const bool isOverload = isOverloaded(now);
  for (std::size_t lane = lanes_.size(); lane-- > 0;) {
    if (lanes_.at(lane).requests.empty()) continue;
    const QueuedRequest& oldest = lanes_.at(lane).requests.front();
    if (oldest.deadline - now < settings_.minRemainingTime)
      return Decision{remove(lane, 0).id, Outcome::TooLate};
    const Micros maxWait = lane == 0 ? settings_.interval : settings_.targetDelay;
    if (isOverload && now - oldest.arrived > maxWait) return Decision{remove(lane, 0).id, Outcome::Overload};
  }
  return std::nullopt;
}

std::optional<std::size_t> AdmissionQueue::oldestLane() const {
  std::optional<std::size_t> found;
  for (std::size_t lane = 0; lane < lanes_.size(); ++lane) {
    if (lanes_.at(lane).requests.empty()) continue;
    if (!found || lanes_.at(lane).requests.front().arrived < lanes_.at(*found).requests.front().arrived)
      found = lane;
  }
  return found;
}

std::optional<std::size_t> AdmissionQueue::highestPriorityLane() const {
  std::optional<std::size_t> best;
  std::optional<std::size_t> servedLongestAgo;
  for (std::size_t lane = 0; lane < lanes_.size(); ++lane) {
    if (lanes_.at(lane).requests.empty()) continue;
    if (!best) best = lane;
    if (!servedLongestAgo || lanes_.at(lane).servedAt < lanes_.at(*servedLongestAgo).servedAt)
      servedLongestAgo = lane;
  }
  return (turn_ + 1) % kFairTurnInterval == 0 ? servedLongestAgo : best;
}

// Evicts from the non-empty lane of the lowest priority the request that has waited longest, since it
// probably has the least time left.
std::optional<Decision> AdmissionQueue::evictFrom(std::optional<std::uint32_t> tenant, Outcome outcome) {
  for (std::size_t lane = lanes_.size(); lane-- > 0;) {
    const auto& requests = lanes_.at(lane).requests;
    const auto position = std::find_if(requests.begin(), requests.end(), [&](const QueuedRequest& one) {
      return !tenant || one.tenant == tenant;
    });
    if (position != requests.end())
      return Decision{remove(lane, static_cast<std::size_t>(position - requests.begin())).id, outcome};
  }
  return std::nullopt;
}

QueuedRequest AdmissionQueue::remove(std::size_t lane, std::size_t position) {
  auto& requests = lanes_.at(lane).requests;
  const auto at = requests.begin() + static_cast<std::ptrdiff_t>(position);
  const QueuedRequest request = *at;
  requests.erase(at);
  laneById_.erase(request.id);
  if (request.tenant) {
    const auto own = countByTenant_.find(*request.tenant);
    if (--own->second == 0) countByTenant_.erase(own);
  }
  return request;
}

}  // namespace ivypost::admission
