// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/node_model.h"

#include <algorithm>

namespace ivypost::standins {
namespace {

constexpr Micros kSecond = 1'000'000;

}  // namespace

void NodeModel::start(Micros now) {
  up_ = true;
  fallen_ = draining_ = hanging_ = false;
  startedAt_ = now;
  waiting_.clear();
  running_.clear();
  arrived_.clear();
  arrivedWork_ = 0;
  past_.clear();
}

void NodeModel::hang(bool on, Micros now) {
  if (on == hanging_) return;
  hanging_ = on;
  if (on) {
    hungAt_ = now;
    return;
  }
  for (Running& one : running_) one.end += now - std::max(hungAt_, one.startedAt);
  fill(now);
}

double NodeModel::speedAt(Micros now) const {
  if (settings_.warm <= 0 || now >= startedAt_ + settings_.warm) return settings_.speed;
  const double warmth = static_cast<double>(now - startedAt_) / static_cast<double>(settings_.warm);
  return settings_.speed * (settings_.coldShare + (1 - settings_.coldShare) * warmth);
}

bool NodeModel::pushedOver(Micros work, Micros now) {
  const bool cold = settings_.warm > 0 && now < startedAt_ + settings_.warm;
  if (settings_.fallMultiple <= 0 || !cold) return false;
  arrived_.emplace_back(now, work);
  arrivedWork_ += work;
  while (arrived_.front().first <= now - settings_.fallWindow) {
    arrivedWork_ -= arrived_.front().second;
    arrived_.pop_front();
  }
  return static_cast<double>(arrivedWork_) >
         settings_.fallMultiple * settings_.cores * speedAt(now) * static_cast<double>(settings_.fallWindow);
}

NodeModel::Verdict NodeModel::submit(Job job, Micros work, Micros now) {
  if (!up_) return Verdict::Down;
  if (draining_) return Verdict::Draining;
  if (pushedOver(work, now)) {
    up_ = false;
    fallen_ = true;
    waiting_.clear();
    running_.clear();
    return Verdict::Down;
  }
  if (running_.size() >= settings_.cores && waiting_.size() >= settings_.waitingRoom) return Verdict::Full;
  waiting_.push_back({job, work});
  fill(now);
  return Verdict::Taken;
}

void NodeModel::fill(Micros now) {
  while (!hanging_ && running_.size() < settings_.cores && !waiting_.empty()) {
    const auto [job, work] = waiting_.front();
    waiting_.pop_front();
    // At the speed that it has at the start: warming up within one job is passed over.
    running_.push_back({job, now, now + static_cast<Micros>(static_cast<double>(work) / speedAt(now))});
  }
}

void NodeModel::cancel(Job job, Micros now) {
  if (std::erase_if(waiting_, [job](const Waiting& one) { return one.job == job; }) > 0) return;
  if (!settings_.cancelStops) return;
  std::erase_if(running_, [job](const Running& one) { return one.job == job; });
  fill(now);
}

std::vector<NodeModel::Ended> NodeModel::advance(Micros now) {
  std::vector<Ended> ended;
  if (hanging_) return ended;
  for (;;) {
    const auto first = std::min_element(running_.begin(), running_.end(),
                                        [](const Running& a, const Running& b) { return a.end < b.end; });
    if (first == running_.end() || first->end > now) break;
    const Running done = *first;
    running_.erase(first);
    const bool error = chance(settings_.errorShare);
    past_.push_back({done.end, done.end - done.startedAt, error});
    ended.push_back({done.job, error});
    fill(done.end);
  }
  while (!past_.empty() && past_.front().at <= now - kSecond) past_.pop_front();
  return ended;
}

std::optional<Micros> NodeModel::next() const {
  std::optional<Micros> at;
  if (hanging_) return at;
  for (const Running& one : running_) at = std::min(at.value_or(one.end), one.end);
  return at;
}

LoadFigures NodeModel::figures(Micros now) const {
  LoadFigures figures;
  figures.inflight = running_.size() + waiting_.size();
  figures.queue = waiting_.size();
  figures.utilisation = static_cast<double>(running_.size()) / settings_.cores;
  Micros service = 0;
  for (const Past& one : past_) {
    if (one.at <= now - kSecond) continue;
    figures.qps += 1;
    figures.eps += one.error ? 1 : 0;
    service += one.service;
  }
  if (figures.qps > 0) figures.latencyMs = static_cast<double>(service) / figures.qps / 1000;
  return figures;
}

// xorshift64*: one draw a job, the same on every machine.
bool NodeModel::chance(double share) {
  if (share <= 0) return false;
  chance_ |= 1;
  chance_ ^= chance_ >> 12;
  chance_ ^= chance_ << 25;
  chance_ ^= chance_ >> 27;
  return static_cast<double>((chance_ * 0x2545f4914f6cdd1du) >> 11) * 0x1p-53 < share;
}

}  // namespace ivypost::standins
