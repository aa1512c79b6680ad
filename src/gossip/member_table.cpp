// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The table of members, and the rules by which a received update changes it (SWIM, section 4.2).
#include <algorithm>
#include <utility>

#include "gossip/members.h"

namespace ivypost::gossip {
namespace {

// The most changes that wait to be logged; further ones are dropped.
constexpr std::size_t kMaxChanges = 256;

// Whether the received update overrides the one held of the same member (SWIM, section 4.2).
bool overrides(const Update& received, const Update& held) {
  if (received.incarnation != held.incarnation) return received.incarnation > held.incarnation;
  return received.state > held.state;
}

}  // namespace

bool Members::apply(const Update& update, Micros now) {
  if (update.id == settings_.self) return applyToSelf(update, now);
  const auto found = members_.find(update.id);
  return found == members_.end() ? addMember(update, now) : applyToMember(found->second, update, now);
}

bool Members::applyToSelf(const Update& update, Micros now) {
  const bool isOlder = update.incarnation < settings_.incarnation;
  if (update.state == State::Alive && update.address != settings_.address && !isOlder) nameConflictAt_ = now;
  const bool isOwn = update.state == State::Alive && update.incarnation == settings_.incarnation;
  if (isOlder || isOwn) return false;
  // Lifeguard: having to refute a suspicion or death indicates that this process is slow.
  if (update.state != State::Alive) adjustLocalHealth(1);
  refute(update.incarnation);
  return true;
}

bool Members::addMember(const Update& update, Micros now) {
  // An update about a dead member, or a suspicion without an address, adds no member.
  if (update.state == State::Dead || (update.state == State::Suspect && update.address == Address{}))
    return false;
  if (members_.size() >= kMaxMembers) {
    isFull_ = true;
    return false;
  }
  Member member;
  member.update = update;
  member.update.state = State::Alive;
  member.stateSince = now;
  member.transmissionsLeft = transmissionLimit();
  hasPendingUpdates_ = tableChanged_ = true;
  Member& stored = members_.emplace(update.id, std::move(member)).first->second;
  if (++aliveCount_ == 1) {
    startedAt_ = now;
    maxReportedReachable_ = 0;
  }
  if (changes_.size() < kMaxChanges) changes_.push_back({update.id, update.address, State::Alive});
  // A new member goes to a random position of the probe order (SWIM, section 4.3).
  const auto at =
      nextInProbeOrder_ +
      static_cast<std::size_t>(uniform() * static_cast<double>(probeOrder_.size() - nextInProbeOrder_ + 1));
  if (probeOrder_.size() < kMaxMembers) enqueueProbe(update.id, at);
  if (update.state == State::Suspect) suspect(stored, update.witness, now);
  return true;
}

bool Members::applyToMember(Member& member, const Update& update, Micros now) {
  if (update.state == State::Suspect && member.update.state == State::Suspect &&
      update.incarnation == member.update.incarnation)
    return suspect(member, update.witness, now);
  if (update.incarnation == member.update.incarnation) {
    // Not every update of an incarnation carries these fields; merging keeps the greater value of each.
    member.update.region = std::max(member.update.region, update.region);
    member.update.usesAntiEntropy = member.update.usesAntiEntropy || update.usesAntiEntropy;
  }
  if (!overrides(update, member.update)) return false;
  if (update.incarnation > member.update.incarnation) {
    member.update.usesAntiEntropy = update.usesAntiEntropy;
    if (update.region != 0) member.update.region = update.region;
  }
  member.update.incarnation = update.incarnation;
  tableChanged_ = true;
  if (update.state == State::Alive) member.update.address = update.address;
  if (update.state == State::Suspect) {
    // The higher incarnation shows that the member came back before it was suspected again.
    if (member.update.state == State::Dead) changeState(member, State::Alive, now);
    suspect(member, update.witness, now);
    return true;
  }
  member.update.witness = update.witness;
  if (member.update.state != update.state) {
    changeState(member, update.state, now);
  } else {
    member.transmissionsLeft = transmissionLimit();
    hasPendingUpdates_ = true;
  }
  return true;
}

void Members::refute(std::uint64_t incarnation) {
  settings_.incarnation = std::max(settings_.incarnation, incarnation + 1);
  tableChanged_ = true;
}

void Members::changeState(Member& member, State state, Micros now) {
  const State before = member.update.state;
  if (state != State::Dead) member.update.witness = 0;
  if (before == State::Dead && state != State::Dead) ++aliveCount_;
  if (before != State::Dead && state == State::Dead) --aliveCount_;
  member.update.state = state;
  if (state == State::Alive) member.witnesses.clear();
  member.stateSince = now;
  member.transmissionsLeft = transmissionLimit();
  hasPendingUpdates_ = tableChanged_ = true;
  // The bound guards against a member that repeatedly dies and returns within one pass of the probe order. A
  // member that is not appended here is part of the next pass.
  if (before == State::Dead && state == State::Alive && probeOrder_.size() < kMaxMembers)
    probeOrder_.push_back(member.update.id);
  if (changes_.size() < kMaxChanges) changes_.push_back({member.update.id, member.update.address, state});
}

void Members::sweepMembers(Micros now) {
  for (auto at = members_.begin(); at != members_.end();) {
    Member& member = at->second;
    if (member.update.state == State::Suspect && now >= member.deadline)
      changeState(member, State::Dead, now);
    const bool isForgotten =
        member.update.state == State::Dead && now - member.stateSince > settings_.deadRetention;
    if (isForgotten && !member.hasLeft()) {
      if (forgottenAddresses_.size() == kMaxForgottenAddresses)
        forgottenAddresses_.erase(
            forgottenAddresses_.begin() +
            static_cast<std::ptrdiff_t>(uniform() * static_cast<double>(kMaxForgottenAddresses)));
      forgottenAddresses_.push_back(member.update.address);
    }
    if (isForgotten) isFull_ = false;
    at = isForgotten ? members_.erase(at) : std::next(at);
  }
}

void Members::enqueueProbe(PeerId id, std::size_t at) {
  probeOrder_.insert(probeOrder_.begin() + static_cast<std::ptrdiff_t>(std::min(at, probeOrder_.size())), id);
}

}  // namespace ivypost::gossip
