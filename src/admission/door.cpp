// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/door.h"

#include <algorithm>
#include <limits>

namespace ivypost::admission {

Door::Place Door::enter(VisitorId id, Micros now) {
  auto& list = of(State::Silent);
  ++taken_;
  return list.insert(list.end(), Visitor{id, State::Silent, now, 0, 0});
}

// Within the lists, so that nothing is allocated for a request.
void Door::move(Place place, State state, Micros now) {
  auto& to = of(state);
  to.splice(to.end(), of(place->state), place);
  place->state = state;
  place->since = now;
}

void Door::begin(Place place, Micros now) {
  if (place->state == State::Working) return;
  place->lastGap = now - place->since;
  if (place->requests < std::numeric_limits<std::uint32_t>::max()) ++place->requests;
  move(place, State::Working, now);
}

bool Door::keeps(Place place) const {
  const auto part = static_cast<double>(taken_) / static_cast<double>(settings_.places);
  if (part <= settings_.keepAny) return true;
  return part <= settings_.keepUsed && place->requests > 1 && place->lastGap <= settings_.keepIdle;
}

void Door::rest(Place place, Micros now) {
  move(place, State::Idle, now);
}

void Door::end(Place place, Micros now) {
  move(place, State::Leaving, now);
}

void Door::leave(Place place) {
  --taken_;
  of(place->state).erase(place);
}

bool Door::mayWork() const {
  return static_cast<double>(count(State::Working)) <=
         std::max(1.0, settings_.work * static_cast<double>(settings_.places));
}

std::vector<VisitorId> Door::candidates(Micros now) const {
  std::vector<VisitorId> found;
  const auto take = [&](State state, Micros keep) {
    for (const Visitor& visitor : of(state)) {
      if (found.size() >= kCandidates || now - visitor.since < keep) break;
      found.push_back(visitor.id);
    }
  };
  take(State::Leaving, 0);
  take(State::Silent, settings_.keepSilent);
  take(State::Idle, settings_.keepIdle);
  return found;
}

Micros Door::nextCandidateAt(Micros now) const {
  Micros next = now + kMostWait;
  const auto due = [&](State state, Micros keep) {
    if (!of(state).empty()) next = std::min(next, of(state).front().since + keep);
  };
  // Whether an answer has arrived is known only by looking.
  due(State::Leaving, 0);
  due(State::Silent, settings_.keepSilent);
  due(State::Idle, settings_.keepIdle);
  return std::max(next, now + kLeastWait);
}

}  // namespace ivypost::admission
