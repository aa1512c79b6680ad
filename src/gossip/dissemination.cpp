// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Dissemination of updates: in Rumours messages, and piggybacked on pings and acks (SWIM, section 4.1).
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "gossip/entry_codec.h"
#include "gossip/members.h"

namespace ivypost::gossip {
namespace {

// With more pending updates than this about alive members, pages carry them more efficiently than rumours.
constexpr std::size_t kMaxAliveRumours = 64;
// The most updates, and bytes of entries, in an ack: the rest of the datagram is for the payload.
constexpr std::size_t kAckUpdates = 2;
constexpr std::size_t kAckEntryBytes = 64;

}  // namespace

void Members::announce(Micros now, std::vector<Outgoing>& out) {
  if (!takeToken(announcementCredit_, announcementAt_, kAnnouncementsPerSecond, now)) return;
  for (const Member* one : pickRandomAlive(kAnnouncementFanOut, settings_.self))
    send(one->update.address, makeMessage(Kind::Announce, ++lastNonce_), Need::Optional, now, out);
}

void Members::piggyback(Message& message, PeerId about, bool isNewcomer, Micros now) {
  if (usesAntiEntropy(about) || (settings_.antiEntropy && about == 0)) {
    if (about == 0 || budget_.credit(now) <= 0) return;
    // An ack leaves room for the payload, except to a newcomer, which needs members first.
    const bool leaveRoom = message.kind == Kind::Ack && !isNewcomer;
    return addEntries(message, about, leaveRoom ? kAckEntryBytes : kMaxDatagram);
  }
  addUpdates(message, about);
}

// First an update that the receiver has to refute, then the pending ones, least transmitted first, then one
// of all members in round-robin order: so every sidecar eventually sends every entry to every other, in spite
// of losses.
void Members::addUpdates(Message& message, PeerId receiver) {
  const std::size_t most = message.kind == Kind::Ack ? kAckUpdates : kMaxUpdates;
  const auto found = members_.find(receiver);
  if (found != members_.end() && found->second.update.state != State::Alive)
    message.updates.push_back(found->second.update);
  std::vector<Member*> pending;
  for (auto& [id, member] : members_)
    if (member.transmissionsLeft > 0 && id != receiver) pending.push_back(&member);
  const std::size_t count = std::min(pending.size(), most - 1 - message.updates.size());
  std::partial_sort(
      pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count), pending.end(),
      [](const Member* a, const Member* b) { return a->transmissionsLeft > b->transmissionsLeft; });
  for (std::size_t n = 0; n < count; ++n) {
    --pending[n]->transmissionsLeft;
    message.updates.push_back(pending[n]->update);
  }
  if (members_.empty()) return;
  auto next = members_.upper_bound(lastRoundRobin_);
  if (next == members_.end()) next = members_.begin();
  lastRoundRobin_ = next->first;
  const bool isIncluded = std::any_of(message.updates.begin(), message.updates.end(),
                                      [&](const Update& one) { return one.id == next->first; });
  if (!isIncluded && next->first != receiver) message.updates.push_back(next->second.update);
}

// First an update that the receiver has to refute, then suspicions and deaths, then the least transmitted
// ones.
void Members::addEntries(Message& message, PeerId receiver, std::size_t room) {
  std::vector<Update> entries;
  const auto found = members_.find(receiver);
  if (found != members_.end() && found->second.update.state != State::Alive)
    entries.push_back(found->second.update);
  std::vector<Member*> pending = pendingFor(receiver, message.kind);
  const std::size_t refuted = entries.size();
  const std::size_t count = std::min(pending.size(), kMaxEntries - refuted);
  // Ties are broken at random, or all sidecars would send the same updates first.
  const auto rank = [&](const Member* one) {
    return std::tuple(one->update.state == State::Alive, ~one->transmissionsLeft,
                      mix(one->update.id ^ message.nonce));
  };
  std::partial_sort(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count), pending.end(),
                    [&](const Member* a, const Member* b) { return rank(a) < rank(b); });
  for (std::size_t n = 0; n < count; ++n) {
    entries.push_back(pending[n]->update);
    // A random one of several witnesses: a receiver of two messages then probably learns of two witnesses.
    const auto& witnesses = pending[n]->witnesses;
    if (pending[n]->update.state == State::Suspect && !witnesses.empty())
      entries.back().witness =
          witnesses[static_cast<std::size_t>(uniform() * static_cast<double>(witnesses.size()))];
  }
  std::vector<std::uint8_t> packed;
  const std::size_t fits = packEntries(entries, std::min(room, roomForEntries(message)), packed);
  entries.resize(fits);
  for (std::size_t n = refuted; n < fits; ++n) --pending[n - refuted]->transmissionsLeft;
  message.entries = std::move(entries);
}

std::vector<Members::Member*> Members::pendingFor(PeerId receiver, Kind kind) {
  std::vector<Member*> pending;
  std::size_t alive = 0;
  if (!std::exchange(hasPendingUpdates_, false)) return pending;
  for (auto& [id, member] : members_) {
    if (member.transmissionsLeft == 0) continue;
    hasPendingUpdates_ = true;
    alive += member.update.state == State::Alive ? 1 : 0;
    if (id != receiver) pending.push_back(&member);
  }
  // With many pending updates about alive members, as after a start of the whole fleet, sidecars pull the
  // entries that they lack instead.
  if (alive > kMaxAliveRumours && !differingTables_.empty() && kind == Kind::Rumours)
    std::erase_if(pending, [](const Member* one) { return one->update.state == State::Alive; });
  return pending;
}

// Called when a peer's digests equal this table's: it has every incarnation that this table has, so those
// updates need fewer transmissions. Digests don't cover suspicions.
void Members::halveTransmissions() {
  for (auto& [id, member] : members_)
    if (member.update.state != State::Suspect) member.transmissionsLeft /= 2;
}

void Members::sendRumours(Micros now, std::vector<Outgoing>& out) {
  if (!hasPendingUpdates_) return;
  auto to = pickRandomAlive(kGossipFanOut - 1, settings_.self, now - kRecentContact);
  const PeerId first = to.empty() ? settings_.self : to.front()->update.id;
  for (const Member* one : pickRandomAlive(1, first)) to.push_back(one);
  for (const Member* one : to) {
    if (!one->update.usesAntiEntropy || budget_.credit(now) <= 0 || gossipBudget_.credit(now) < kMaxDatagram)
      continue;
    Message message = makeMessage(Kind::Rumours, ++lastNonce_);
    addEntries(message, one->update.id, kMaxDatagram);
    if (message.entries.empty()) continue;
    const std::size_t bytes = encode(message).size() + kSealBytes + kDatagramOverhead;
    if (send(one->update.address, std::move(message), Need::Optional, now, out))
      gossipBudget_.charge(bytes, now);
  }
}

std::uint32_t Members::transmissionLimit() const {
  return static_cast<std::uint32_t>(
      std::ceil(kTransmissionFactor * std::log2(static_cast<double>(members_.size()) + 2)));
}

}  // namespace ivypost::gossip
