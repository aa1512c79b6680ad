// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/queue.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace ivypost::admission {

const char* nameOf(Verdict verdict) {
  static constexpr std::array<const char*, kVerdicts> kNames = {"handed on", "too late", "overload",
                                                                "queue full", "school full"};
  return kNames.at(static_cast<std::size_t>(verdict));
}

Queue::Queue(const QueueSettings& settings, const std::vector<double>& worth)
    : settings_(settings), classes_(worth.size()), rank_(worth.size()), lanes_(2 * worth.size()) {
  std::vector<std::size_t> order(classes_);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return worth[a] > worth[b]; });
  for (std::size_t n = 0; n < classes_; ++n) rank_[order[n]] = n;
}

std::size_t Queue::laneOf(const Waiting& request) const {
  return rank_.at(request.requestClass) + (request.beyondShare ? classes_ : 0);
}

std::optional<Decision> Queue::push(const Waiting& request, Micros now) {
  if (waiting_.empty()) busySince_ = now;
  const std::size_t lane = laneOf(request);
  // By arrival, which may lie before that of one read earlier.
  auto& waiting = lanes_[lane].waiting;
  const auto place = std::upper_bound(waiting.begin(), waiting.end(), request.arrived,
                                      [](Micros at, const Waiting& other) { return at < other.arrived; });
  waiting.insert(place, request);
  waiting_.emplace(request.id, lane);
  if (request.school) {
    const auto own = static_cast<double>(++bySchool_[*request.school]);
    if (own > std::max(1.0, settings_.schoolShare * static_cast<double>(settings_.most)))
      return evictOf(request.school, Verdict::SchoolFull);
  }
  if (waiting_.size() > settings_.most) return evictOf(std::nullopt, Verdict::QueueFull);
  return std::nullopt;
}

std::optional<Decision> Queue::next(Micros now) {
  if (waiting_.empty()) return std::nullopt;
  if (const auto late = refuseLate(now)) return late;
  const bool overload = overloaded(now);
  const auto lane = overload || worthFirst_ ? worthiest() : first();
  if (!lane) return std::nullopt;
  auto& chosen = lanes_[*lane];
  chosen.servedAt = ++turn_;
  const Waiting request = take(*lane, overload ? chosen.waiting.size() - 1 : 0);
  if (request.deadline - now < settings_.answerTime) return Decision{request.id, Verdict::TooLate};
  return Decision{request.id, Verdict::HandOn};
}

std::optional<Decision> Queue::evict() {
  return evictOf(std::nullopt, Verdict::QueueFull);
}

bool Queue::withdraw(RequestId id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return false;
  const std::size_t lane = found->second;
  const auto& waiting = lanes_[lane].waiting;
  const auto place =
      std::find_if(waiting.begin(), waiting.end(), [id](const Waiting& one) { return one.id == id; });
  take(lane, static_cast<std::size_t>(place - waiting.begin()));
  return true;
}

// The oldest of each lane stand in front, so that what is late is found at once, wherever its turn would be.
std::optional<Decision> Queue::refuseLate(Micros now) {
  const bool overload = overloaded(now);
  for (std::size_t lane = lanes_.size(); lane-- > 0;) {
    if (lanes_[lane].waiting.empty()) continue;
    const Waiting& oldest = lanes_[lane].waiting.front();
    if (oldest.deadline - now < settings_.answerTime) return Decision{take(lane, 0).id, Verdict::TooLate};
    const Micros most = lane == 0 ? settings_.interval : settings_.target;
    if (overload && now - oldest.arrived > most) return Decision{take(lane, 0).id, Verdict::Overload};
  }
  return std::nullopt;
}

std::optional<std::size_t> Queue::first() const {
  std::optional<std::size_t> found;
  for (std::size_t lane = 0; lane < lanes_.size(); ++lane) {
    if (lanes_[lane].waiting.empty()) continue;
    if (!found || lanes_[lane].waiting.front().arrived < lanes_[*found].waiting.front().arrived) found = lane;
  }
  return found;
}

std::optional<std::size_t> Queue::worthiest() {
  std::optional<std::size_t> best, waitsLongest;
  for (std::size_t lane = 0; lane < lanes_.size(); ++lane) {
    if (lanes_[lane].waiting.empty()) continue;
    if (!best) best = lane;
    if (!waitsLongest || lanes_[lane].servedAt < lanes_[*waitsLongest].servedAt) waitsLongest = lane;
  }
  return (turn_ + 1) % kTurnsOfOthers == 0 ? waitsLongest : best;
}

// Of the least worthy lane the one that has waited longest: it has the least time left.
std::optional<Decision> Queue::evictOf(std::optional<std::uint32_t> school, Verdict verdict) {
  for (std::size_t lane = lanes_.size(); lane-- > 0;) {
    const auto& waiting = lanes_[lane].waiting;
    const auto place = std::find_if(waiting.begin(), waiting.end(),
                                    [&](const Waiting& one) { return !school || one.school == school; });
    if (place != waiting.end())
      return Decision{take(lane, static_cast<std::size_t>(place - waiting.begin())).id, verdict};
  }
  return std::nullopt;
}

Waiting Queue::take(std::size_t lane, std::size_t place) {
  auto& waiting = lanes_[lane].waiting;
  const auto at = waiting.begin() + static_cast<std::ptrdiff_t>(place);
  const Waiting request = *at;
  waiting.erase(at);
  waiting_.erase(request.id);
  if (request.school) {
    const auto own = bySchool_.find(*request.school);
    if (--own->second == 0) bySchool_.erase(own);
  }
  return request;
}

}  // namespace ivypost::admission
