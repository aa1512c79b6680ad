// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/connection_limiter.h"

#include <algorithm>
#include <limits>

namespace ivypost::admission {

ConnectionLimiter::Slot ConnectionLimiter::insert(ConnectionId id, Micros now) {
  auto& list = listOf(State::Silent);
  ++size_;
  return list.insert(list.end(), Connection{id, State::Silent, now, 0, 0});
}

// Splices the list node, so that nothing is allocated per request.
void ConnectionLimiter::move(Slot slot, State state, Micros now) {
  auto& to = listOf(state);
  to.splice(to.end(), listOf(slot->state), slot);
  slot->state = state;
  slot->since = now;
}

void ConnectionLimiter::beginRequest(Slot slot, Micros now) {
  if (slot->state == State::Active) return;
  slot->lastIdleTime = now - slot->since;
  if (slot->requests < std::numeric_limits<std::uint32_t>::max()) ++slot->requests;
  move(slot, State::Active, now);
}

bool ConnectionLimiter::keepsAlive(Slot slot) const {
  const auto fraction = static_cast<double>(size_) / static_cast<double>(settings_.maxConnections);
  if (fraction <= settings_.keepAnyFraction) return true;
  return fraction <= settings_.keepReusedFraction && slot->requests > 1 &&
         slot->lastIdleTime <= settings_.idleTimeout;
}

void ConnectionLimiter::beginIdle(Slot slot, Micros now) {
  move(slot, State::Idle, now);
}

void ConnectionLimiter::beginClosing(Slot slot, Micros now) {
  move(slot, State::Closing, now);
}

void ConnectionLimiter::release(Slot slot) {
  --size_;
  listOf(slot->state).erase(slot);
}

bool ConnectionLimiter::admitsRequests() const {
  return static_cast<double>(count(State::Active)) <=
         std::max(1.0, settings_.activeFraction * static_cast<double>(settings_.maxConnections));
}

std::vector<ConnectionId> ConnectionLimiter::evictionCandidates(Micros now) const {
  std::vector<ConnectionId> found;
  const auto append = [&](State state, Micros timeout) {
    for (const Connection& connection : listOf(state)) {
      if (found.size() >= kMaxCandidates || now - connection.since < timeout) break;
      found.push_back(connection.id);
    }
  };
  append(State::Closing, 0);
  append(State::Silent, settings_.silentTimeout);
  append(State::Idle, settings_.idleTimeout);
  return found;
}

Micros ConnectionLimiter::nextEvictionAt(Micros now) const {
  Micros next = now + kMaxWait;
  const auto consider = [&](State state, Micros timeout) {
    if (!listOf(state).empty()) next = std::min(next, listOf(state).front().since + timeout);
  };
  // A closing connection is always a candidate: only the kernel knows whether its last response is
  // acknowledged.
  consider(State::Closing, 0);
  consider(State::Silent, settings_.silentTimeout);
  consider(State::Idle, settings_.idleTimeout);
  return std::max(next, now + kMinWait);
}

}  // namespace ivypost::admission
