// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/members.h"

#include <algorithm>
#include <cmath>

namespace ivypost::gossip {
namespace {

// Every so many periods somebody is tried who should be there and is not heard, or a seed.
constexpr std::uint64_t kReconnectPeriods = 4;
// Pings to be answered, and pings passed on for others, that are remembered at the most. The first are enough
// for some seconds, the second for as many sidecars that doubt somebody in the same moment.
constexpr std::size_t kMaxSentPings = 64, kMaxRelayed = 64;
// Updates in an ack, which has to leave room for facts.
constexpr std::size_t kAckUpdates = 2;
constexpr std::size_t kAckEntryBytes = 64;
// A relay says that it is there when this part of the time-out has passed without an ack.
constexpr double kNackAt = 0.8;
constexpr std::size_t kMaxChanges = 256;

// Whether what is told outbids what is believed (SWIM, 4.2).
bool outbids(const Update& received, const Update& believed) {
  if (received.incarnation != believed.incarnation) return received.incarnation > believed.incarnation;
  return received.state > believed.state;
}

}  // namespace

Members::Members(Settings settings, std::uint64_t seed, Micros now)
    : settings_(std::move(settings)),
      random_(seed),
      lastTick_(now),
      nextPeriod_(now),
      announcementAt_(now),
      announcementAnswerAt_(now),
      budget_(kRateFraction * settings_.bytesPerSecond, kDepthFraction * settings_.bytesPerSecond,
              kDebtFraction * settings_.bytesPerSecond, now),
      pullBudget_(kPullFraction * settings_.bytesPerSecond, 2.0 * kMaxDatagram, 0, now),
      gossipBudget_(kGossipFraction * settings_.bytesPerSecond, 2.0 * kMaxDatagram, 0, now),
      nextAntiEntropy_(now),
      nextPull_(now),
      startedAt_(now) {
  settings_.period = std::max<Micros>(settings_.period, 1000);
  settings_.timeout = std::clamp<Micros>(settings_.timeout, 1, settings_.period - 1);
  lastNonce_ = static_cast<std::uint32_t>(random_());
  // Sidecars that start together must not all speak in the same moment.
  nextPeriod_ = now + static_cast<Micros>(uniform() * static_cast<double>(settings_.period));
}

Micros Members::nextTick() const {
  Micros at = nextPeriod_;
  if (probe_ && !probe_->acked && !probe_->relayed) at = std::min(at, probe_->relayAt);
  for (const Relayed& one : relayed_)
    if (!one.nacked) at = std::min(at, one.nackAt);
  if (hasAntiEntropyWork()) at = std::min(at, nextAntiEntropy_);
  return at;
}

void Members::tick(Micros now, std::vector<Outgoing>& out) {
  const Micros gap = now - lastTick_;
  if (static_cast<double>(gap) > kPausedPeriods * static_cast<double>(period())) {
    // Guards against accusing others of what was this process's own absence: it doubts itself first, and
    // suspicions get the time back in which they could not be answered.
    adjustLocalHealth(kMaxLocalHealth);
    probe_.reset();
    for (auto& [id, member] : members_) member.deadline += gap;
    nextPeriod_ = now;
  }
  lastTick_ = now;
  std::erase_if(sentPings_, [&](const SentPing& one) { return now - one.at > 2 * settings_.isolatedAfter; });
  for (Relayed& one : relayed_) {
    if (one.nacked || now < one.nackAt) continue;
    one.nacked = true;
    answerRelay(one, Kind::Nack, now, out);
  }
  std::erase_if(relayed_, [&](const Relayed& one) { return now >= one.until; });
  if (probe_ && !probe_->acked && !probe_->relayed && now >= probe_->relayAt) {
    probe_->relayed = true;
    const auto target = members_.find(probe_->target);
    // A suspect of others' is probed for one more witness, not to find out whether it is there.
    if (target != members_.end() && !probe_->suspected)
      for (const Member* other : pickAlive(settings_.relays, probe_->target)) {
        Message message = make(Kind::Relay, ++lastNonce_);
        message.target = target->second.update;
        const std::uint32_t nonce = message.nonce;
        if (!send(other->update.address, std::move(message), Need::Required, now, out)) continue;
        probe_->relays.push_back(nonce);
        sentPings_.push_back({nonce, now});
      }
  }
  if (now >= nextPeriod_) {
    endProbe(now);
    for (auto at = members_.begin(); at != members_.end();) {
      Member& member = at->second;
      if (member.update.state == State::Suspect && now >= member.deadline)
        changeState(member, State::Dead, now);
      const bool isForgotten =
          member.update.state == State::Dead && now - member.stateSince > settings_.forget;
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
    if (!isJoining(now)) beginProbe(now, out);
    if (settings_.antiEntropy) pingOwnRegion(now, out);
    const bool isDue = ++periods_ % kReconnectPeriods == 0 && !isJoining(now);
    if (isDue || aliveCount_ == 0) reconnect(now, out);
    nextPeriod_ = now + period();
  }
  if (settings_.antiEntropy && now >= nextAntiEntropy_ && hasAntiEntropyWork()) runAntiEntropy(now, out);
  if (sentPings_.size() > kMaxSentPings)
    sentPings_.erase(sentPings_.begin(), sentPings_.end() - kMaxSentPings);
  updateQuorum(now);
}

void Members::leave(Micros now, std::vector<Outgoing>& out) {
  const Update gone{settings_.self, settings_.incarnation, settings_.address, State::Dead, settings_.self};
  for (const Member* one : pickAlive(transmissionLimit(), settings_.self)) {
    const bool usesAntiEntropy = settings_.antiEntropy && one->update.usesAntiEntropy;
    Message message = make(usesAntiEntropy ? Kind::Rumours : Kind::Ping, ++lastNonce_);
    (usesAntiEntropy ? message.entries : message.updates) = {gone};
    if (!send(one->update.address, std::move(message), Need::Required, now, out)) return;
  }
}

void Members::charge(std::size_t bytes, Micros now) {
  if (settings_.antiEntropy) budget_.charge(bytes, now);
}

std::vector<const Members::Member*> Members::pickAlive(std::uint32_t most, PeerId butNot,
                                                       Micros heardNoEarlierThan) {
  std::vector<const Member*> alive, some;
  for (const auto& [id, member] : members_)
    if (member.update.state == State::Alive && id != butNot && member.lastMessageAt >= heardNoEarlierThan)
      alive.push_back(&member);
  while (some.size() < most && !alive.empty()) {
    const auto at = static_cast<std::size_t>(uniform() * static_cast<double>(alive.size()));
    some.push_back(alive[at]);
    alive[at] = alive.back();
    alive.pop_back();
  }
  return some;
}

bool Members::takeToken(double& credit, Micros& at, double perSecond, Micros now) {
  credit = std::min(perSecond, credit + perSecond * static_cast<double>(now - at) / 1e6);
  at = now;
  if (credit < 1) return false;
  credit -= 1;
  return true;
}

void Members::announce(Micros now, std::vector<Outgoing>& out) {
  if (!takeToken(announcementCredit_, announcementAt_, kAnnouncementsPerSecond, now)) return;
  for (const Member* one : pickAlive(kFanOut, settings_.self))
    send(one->update.address, make(Kind::Announce, ++lastNonce_), Need::Optional, now, out);
}

// ---- Messages ---------------------------------------------------------------------------------------------

Message Members::make(Kind kind, std::uint32_t nonce) {
  Message message;
  message.kind = kind;
  message.sender = settings_.self;
  message.incarnation = settings_.incarnation;
  message.address = settings_.address;
  message.sequence = ++sequence_;
  message.nonce = nonce;
  return message;
}

bool Members::send(const Address& to, Message message, Need need, Micros now, std::vector<Outgoing>& out) {
  if (settings_.antiEntropy) {
    const std::size_t bytes = encode(message).size() + kSealBytes + kDatagramOverhead;
    if (need == Need::Optional ? !budget_.take(bytes, now) : !budget_.demand(bytes, now)) return false;
  }
  out.push_back({to, std::move(message)});
  return true;
}

std::optional<std::uint32_t> Members::ping(const Address& to, PeerId about, Need need, Micros now,
                                           std::vector<Outgoing>& out) {
  Message message = make(Kind::Ping, ++lastNonce_);
  if (settings_.antiEntropy) message.table = table();
  piggyback(message, about, false, now);
  const std::uint32_t nonce = message.nonce;
  if (!send(to, std::move(message), need, now, out)) return std::nullopt;
  sentPings_.push_back({nonce, now});
  return nonce;
}

std::optional<Micros> Members::elapsedSincePing(const Message& ack, Micros now) const {
  if (ack.kind != Kind::Ack && ack.kind != Kind::Nack) return std::nullopt;
  const auto found = std::find_if(sentPings_.begin(), sentPings_.end(),
                                  [&](const SentPing& one) { return one.nonce == ack.nonce; });
  if (found == sentPings_.end() || now - found->at > settings_.isolatedAfter) return std::nullopt;
  return now - found->at;
}

bool Members::receive(const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (message.sender == settings_.self) {
    // An echo of one's own is nothing; somebody else under this name is.
    if (message.address != settings_.address || message.incarnation > settings_.incarnation)
      nameConflictAt_ = now;
    return false;
  }
  Update sender{message.sender, message.incarnation, message.address, State::Alive, 0};
  sender.usesAntiEntropy =
      settings_.antiEntropy && (message.table.has_value() || message.kind > Kind::Announce);
  sender.region = message.table ? message.table->region : std::uint8_t{0};
  apply(sender, now);
  const auto found = members_.find(message.sender);
  if (found == members_.end()) return false;  // the table is full
  if (!acceptSequence(found->second, message, now, out)) return false;
  found->second.lastMessageAt = now;
  for (const Update& update : message.updates) apply(update, now);
  if (settings_.antiEntropy) {
    // Those of a page count only where it answers a pull.
    if (message.kind != Kind::Page) mergeEntries(message, now, out);
    compareTables(message, now);
  }
  switch (message.kind) {
    case Kind::Ping: {
      Message ack = make(Kind::Ack, message.nonce);
      if (settings_.antiEntropy) ack.table = table();
      // Who knows nobody yet asks again. While all start at once a few are asked by all, and must not miss
      // the probes of those who know them.
      const bool isNewcomer = message.table && message.table->reachable <= 1;
      piggyback(ack, message.sender, isNewcomer, now);
      send(message.address, std::move(ack), isNewcomer ? Need::Optional : Need::Required, now, out);
      break;
    }
    case Kind::Relay: {
      if (relayed_.size() >= kMaxRelayed) break;
      Relayed one;
      one.theirs = message.nonce;
      one.to = message.address;
      one.nackAt = now + static_cast<Micros>(kNackAt * static_cast<double>(settings_.timeout));
      one.until = now + settings_.period;
      const auto nonce = ping(message.target->address, message.target->id, Need::Required, now, out);
      if (!nonce) break;
      one.nonce = *nonce;
      relayed_.push_back(one);
      break;
    }
    case Kind::Announce:
      if (takeToken(announcementAnswerCredit_, announcementAnswerAt_, kFanOut * kAnnouncementsPerSecond, now))
        ping(message.address, message.sender, Need::Optional, now, out);
      break;
    case Kind::Rumours:
      break;
    case Kind::Pull:
      if (settings_.antiEntropy) beginPages(message, now, out);
      break;
    case Kind::Page:
      if (settings_.antiEntropy) receivePage(message, now, out);
      break;
    case Kind::Ack:
    case Kind::Nack:
      receiveAnswer(message, now, out);
      break;
  }
  updateQuorum(now);
  return true;
}

// A replay, or what speaks with an incarnation that has been outbid. The latter is told so, and not too
// often: after a restart with its clock set back it could not be heard again otherwise.
bool Members::acceptSequence(Member& member, const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (message.incarnation < member.windowIncarnation) {
    if (message.kind != Kind::Ping ||
        (member.correctedAt != 0 && now - member.correctedAt < settings_.period))
      return false;
    member.correctedAt = now;
    Message ack = make(Kind::Ack, message.nonce);
    ack.updates = {member.update};
    send(message.address, std::move(ack), Need::Required, now, out);
    return false;
  }
  if (message.incarnation > member.windowIncarnation) {
    member.window = ReplayWindow();
    member.windowIncarnation = message.incarnation;
  }
  return member.window.take(message.sequence);
}

void Members::receiveAnswer(const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (const auto age = elapsedSincePing(message, now))
    lastAnsweredPingAt_ = std::max(lastAnsweredPingAt_.value_or(now - *age), now - *age);
  std::erase_if(sentPings_, [&](const SentPing& one) { return one.nonce == message.nonce; });
  for (Relayed& one : relayed_) {
    if (one.nonce != message.nonce || message.kind != Kind::Ack) continue;
    one.nacked = true;
    answerRelay(one, Kind::Ack, now, out);
  }
  if (!probe_) return;
  const bool relay =
      std::find(probe_->relays.begin(), probe_->relays.end(), message.nonce) != probe_->relays.end();
  if (message.kind == Kind::Nack) {
    probe_->nacks += relay ? 1 : 0;
  } else if (relay || message.nonce == probe_->nonce) {
    probe_->acked = true;
    probe_->nacks += relay ? 1 : 0;
  }
}

void Members::answerRelay(Relayed& relayed, Kind kind, Micros now, std::vector<Outgoing>& out) {
  send(relayed.to, make(kind, relayed.theirs), Need::Required, now, out);
}

// First what the receiver has to refute, then news, the least told first, then one that is no news: in time
// everybody has told everybody of all, whatever was lost (anti-entropy).
void Members::piggyback(Message& message, PeerId about, bool isNewcomer, Micros now) {
  if (usesAntiEntropy(about) || (settings_.antiEntropy && about == 0)) {
    if (about == 0 || budget_.credit(now) <= 0) return;
    // An ack leaves room for facts, but to who knows nobody yet.
    const bool leaveRoom = message.kind == Kind::Ack && !isNewcomer;
    return addEntries(message, about, leaveRoom ? kAckEntryBytes : kMaxDatagram);
  }
  const std::size_t most = message.kind == Kind::Ack ? kAckUpdates : kMaxUpdates;
  const auto receiver = members_.find(about);
  if (receiver != members_.end() && receiver->second.update.state != State::Alive)
    message.updates.push_back(receiver->second.update);
  std::vector<Member*> pendingUpdates;
  for (auto& [id, member] : members_)
    if (member.transmissionsLeft > 0 && id != about) pendingUpdates.push_back(&member);
  const std::size_t count = std::min(pendingUpdates.size(), most - 1 - message.updates.size());
  std::partial_sort(pendingUpdates.begin(), pendingUpdates.begin() + static_cast<std::ptrdiff_t>(count),
                    pendingUpdates.end(), [](const Member* a, const Member* b) {
                      return a->transmissionsLeft > b->transmissionsLeft;
                    });
  for (std::size_t n = 0; n < count; ++n) {
    --pendingUpdates[n]->transmissionsLeft;
    message.updates.push_back(pendingUpdates[n]->update);
  }
  if (members_.empty()) return;
  auto next = members_.upper_bound(lastFiller_);
  if (next == members_.end()) next = members_.begin();
  lastFiller_ = next->first;
  const bool isIncluded = std::any_of(message.updates.begin(), message.updates.end(),
                                      [&](const Update& one) { return one.id == next->first; });
  if (!isIncluded && next->first != about) message.updates.push_back(next->second.update);
}

// ---- Probes -----------------------------------------------------------------------------------------------

void Members::beginProbe(Micros now, std::vector<Outgoing>& out) {
  for (std::size_t tries = 0; tries < 2 * members_.size() + 1; ++tries) {
    if (nextInProbeOrder_ >= probeOrder_.size()) {
      probeOrder_.clear();
      for (const auto& [id, member] : members_)
        if (member.update.state != State::Dead) probeOrder_.push_back(id);
      std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
      nextInProbeOrder_ = 0;
      if (probeOrder_.empty()) return;
    }
    const auto found = members_.find(probeOrder_[nextInProbeOrder_++]);
    if (found == members_.end() || found->second.update.state == State::Dead) continue;
    const bool suspected = settings_.antiEntropy && found->second.update.state == State::Suspect;
    // Its witnesses are enough: a further one would change nothing.
    if (suspected && found->second.witnesses.size() > kConfirmations) continue;
    Probe probe;
    probe.suspected = suspected;
    probe.target = found->first;
    probe.address = found->second.update.address;
    probe.at = now;
    probe.relayAt = now + timeout();
    const auto nonce = ping(probe.address, probe.target, Need::Required, now, out);
    if (!nonce) return;
    probe.nonce = *nonce;
    probe_ = std::move(probe);
    return;
  }
}

// While most of those probed are out of reach, one more is asked each period, of the own region if that is
// told: a small region that is cut off would be deaf for want of having asked the right ones. It is drawn as
// any, so who hears few stays deaf.
void Members::pingOwnRegion(Micros now, std::vector<Outgoing>& out) {
  if (lastAnsweredPingAt_ && now - *lastAnsweredPingAt_ < settings_.isolatedAfter / 4) return;
  std::vector<const Member*> inRegion;
  for (const auto& [id, member] : members_)
    if (member.update.state != State::Dead && member.update.region == settings_.region)
      inRegion.push_back(&member);
  if (inRegion.empty()) return;
  const Update& one =
      inRegion[static_cast<std::size_t>(uniform() * static_cast<double>(inRegion.size()))]->update;
  ping(one.address, one.id, Need::Required, now, out);
}

void Members::endProbe(Micros now) {
  if (!probe_) return;
  const Probe probe = std::move(*probe_);
  probe_.reset();
  if (probe.acked) return adjustLocalHealth(-1);
  // Lifeguard, 3.1: a failed probe, and relays that did not even say that they are there. Missing ones count
  // only where all are missing: in a partition half of them are, and this process is not slow for that.
  // With anti-entropy a failed probe whose relays are there says nothing against this process: in a cut that
  // half of the fleet is behind, all would be slow to find it (as hashicorp/memberlist counts it).
  const bool cleared = settings_.antiEntropy && (probe.suspected || probe.nacks > 0);
  if (!cleared) adjustLocalHealth(!probe.relays.empty() && probe.nacks == 0 ? 2 : 1);
  const auto found = members_.find(probe.target);
  if (found != members_.end()) suspect(found->second, settings_.self, now);
}

// Somebody who should be there: the dead that are remembered, and seeds at whose address nobody is heard.
void Members::reconnect(Micros now, std::vector<Outgoing>& out) {
  std::vector<std::pair<Address, PeerId>> candidates;
  std::vector<Address> reachable = {settings_.address};
  for (const auto& [id, member] : members_) {
    if (member.update.state != State::Dead) reachable.push_back(member.update.address);
    if (member.update.state == State::Dead && !member.hasLeft())
      candidates.emplace_back(member.update.address, id);
  }
  std::sort(reachable.begin(), reachable.end());
  std::erase_if(forgottenAddresses_, [&](const Address& one) {
    return std::binary_search(reachable.begin(), reachable.end(), one);
  });
  for (const auto* from : {&settings_.seeds, &forgottenAddresses_})
    for (const Address& one : *from)
      if (!std::binary_search(reachable.begin(), reachable.end(), one)) candidates.emplace_back(one, 0);
  if (candidates.empty()) return;
  const auto& [address, id] =
      candidates[static_cast<std::size_t>(uniform() * static_cast<double>(candidates.size()))];
  ping(address, id, Need::Required, now, out);
}

// Lifeguard's stretched period. With anti-entropy it stays under a third of isolatedAfter, or a slow process
// would be deaf for want of having asked.
Micros Members::period() const {
  const Micros stretched = settings_.period * (localHealth_ + 1);
  if (!settings_.antiEntropy) return stretched;
  return std::min(stretched, std::max(settings_.period, settings_.isolatedAfter / 3));
}
Micros Members::timeout() const {
  return settings_.timeout * period() / settings_.period;
}

void Members::adjustLocalHealth(int by) {
  localHealth_ = std::clamp(localHealth_ + by, 0, kMaxLocalHealth);
}

// ---- What is believed -------------------------------------------------------------------------------------

void Members::refute(std::uint64_t incarnation) {
  settings_.incarnation = std::max(settings_.incarnation, incarnation + 1);
  tableChanged_ = true;
}

bool Members::apply(Update update, Micros now) {
  if (update.id == settings_.self) {
    const bool older = update.incarnation < settings_.incarnation;
    if (update.state == State::Alive && update.address != settings_.address && !older) nameConflictAt_ = now;
    const bool mine = update.state == State::Alive && update.incarnation == settings_.incarnation;
    if (older || mine) return false;
    if (update.state != State::Alive)
      adjustLocalHealth(1);  // Lifeguard: to have to refute is a sign of being slow
    refute(update.incarnation);
    return true;
  }
  const auto found = members_.find(update.id);
  if (found == members_.end()) {
    // Where it is has to be told with it.
    if (update.state == State::Dead || (update.state == State::Suspect && update.address == Address{}))
      return false;
    if (members_.size() >= kMaxMembers) return !(isFull_ = true);
    Member member;
    member.update = update;
    member.update.state = State::Alive;
    member.stateSince = now;
    member.transmissionsLeft = transmissionLimit();
    hasPendingUpdates_ = tableChanged_ = true;
    Member& stored = members_.emplace(update.id, std::move(member)).first->second;
    if (++aliveCount_ == 1) {
      startedAt_ = now;
      mostReported_ = 0;
    }
    if (changes_.size() < kMaxChanges) changes_.push_back({update.id, update.address, State::Alive});
    // Where it comes into the order of probes is chance (SWIM, 4.3).
    const auto at =
        nextInProbeOrder_ +
        static_cast<std::size_t>(uniform() * static_cast<double>(probeOrder_.size() - nextInProbeOrder_ + 1));
    if (probeOrder_.size() < kMaxMembers)
      probeOrder_.insert(probeOrder_.begin() + static_cast<std::ptrdiff_t>(std::min(at, probeOrder_.size())),
                         update.id);
    if (update.state == State::Suspect) suspect(stored, update.witness, now);
    return true;
  }
  Member& member = found->second;
  if (update.state == State::Suspect && member.update.state == State::Suspect &&
      update.incarnation == member.update.incarnation)
    return suspect(member, update.witness, now);
  if (update.incarnation == member.update.incarnation) {
    // What only some tell of a life; the merge is the greater of each.
    member.update.region = std::max(member.update.region, update.region);
    member.update.usesAntiEntropy = member.update.usesAntiEntropy || update.usesAntiEntropy;
  }
  if (!outbids(update, member.update)) return false;
  if (update.incarnation > member.update.incarnation) {
    member.update.usesAntiEntropy = update.usesAntiEntropy;
    if (update.region != 0) member.update.region = update.region;
  }
  member.update.incarnation = update.incarnation;
  tableChanged_ = true;
  if (update.state == State::Alive) member.update.address = update.address;
  if (update.state == State::Suspect) {
    if (member.update.state == State::Dead) changeState(member, State::Alive, now);  // it was back since
    suspect(member, update.witness, now);
    return true;
  }
  const State before = member.update.state;
  member.update.witness = update.witness;
  if (before != update.state) {
    changeState(member, update.state, now);
  } else {
    member.transmissionsLeft = transmissionLimit();
    hasPendingUpdates_ = true;
  }
  return true;
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
  // Guards against one that comes and goes faster than the order is worked off; it is in the next one anyway.
  if (before == State::Dead && state == State::Alive && probeOrder_.size() < kMaxMembers)
    probeOrder_.push_back(member.update.id);
  if (changes_.size() < kMaxChanges) changes_.push_back({member.update.id, member.update.address, state});
}

// A further independent witness makes the suspicion shorter (Lifeguard, 3.2).
// True if it is news.
bool Members::suspect(Member& member, PeerId witness, Micros now) {
  if (member.update.state == State::Dead) return false;
  if (member.update.state == State::Alive) {
    changeState(member, State::Suspect, now);
    member.update.witness = witness;
    member.witnesses = {witness};
    member.deadline = now + suspicionTimeout(0);
    if (settings_.antiEntropy && witness != settings_.self &&
        uniform() * static_cast<double>(aliveCount_) < kSuspectProbers && probeOrder_.size() < kMaxMembers)
      probeOrder_.insert(
          probeOrder_.begin() + static_cast<std::ptrdiff_t>(std::min(nextInProbeOrder_, probeOrder_.size())),
          member.update.id);
    return true;
  }
  const auto& witnesses = member.witnesses;
  if (witnesses.size() > kConfirmations ||
      std::find(witnesses.begin(), witnesses.end(), witness) != witnesses.end())
    return false;
  member.witnesses.push_back(witness);
  member.update.witness = witness;
  // The suspicion is known already; a further witness needs to reach a few, who then know of the death.
  member.transmissionsLeft = settings_.antiEntropy
                                 ? std::max(member.transmissionsLeft, transmissionLimit() / 4)
                                 : transmissionLimit();
  hasPendingUpdates_ = true;
  member.deadline =
      std::min(member.deadline, member.stateSince + suspicionTimeout(member.witnesses.size() - 1));
  return true;
}

Micros Members::suspicionTimeout(std::size_t confirmations) const {
  double magnitude = std::max(1.0, std::log10(static_cast<double>(members_.size() + 1)));
  if (settings_.antiEntropy) magnitude = std::min(magnitude, kMaxMagnitude);
  const double least = kSuspicionFactor * magnitude * static_cast<double>(settings_.period);
  const double most = kMaxSuspicionFactor * least;
  const double part = std::log(static_cast<double>(confirmations) + 1) / std::log(kConfirmations + 1.0);
  return static_cast<Micros>(std::max(least, most - (most - least) * part));
}

std::uint32_t Members::transmissionLimit() const {
  return static_cast<std::uint32_t>(
      std::ceil(kTransmissionFactor * std::log2(static_cast<double>(members_.size()) + 2)));
}

std::size_t Members::knownCount() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [](const auto& one) { return !one.second.hasLeft(); }));
}

double Members::reachableFraction() const {
  if (settings_.region == 0) {
    const double should = std::ceil(static_cast<double>(settings_.expected) / kExpectedTolerance);
    return static_cast<double>(reachableCount()) / std::max(static_cast<double>(knownCount() + 1), should);
  }
  std::size_t reachableHere = 1, knownHere = 1;
  for (const auto& [id, member] : members_) {
    if (member.update.region != settings_.region || member.hasLeft()) continue;
    ++knownHere;
    reachableHere += member.update.state != State::Dead ? 1 : 0;
  }
  const double should = std::ceil(static_cast<double>(settings_.regionExpected) / kExpectedTolerance);
  return static_cast<double>(reachableHere) / std::max(static_cast<double>(knownHere), should);
}

void Members::updateQuorum(Micros now) {
  if (reachableFraction() >= settings_.quorumFraction) {
    belowQuorumSince_.reset();
  } else if (!belowQuorumSince_) {
    belowQuorumSince_ = now;
  }
}

bool Members::isIsolated(Micros now) const {
  if (aliveCount_ == 0 || !lastAnsweredPingAt_ || now - *lastAnsweredPingAt_ > settings_.isolatedAfter)
    return true;
  return hasNameConflict(now) || (belowQuorumSince_ && now - *belowQuorumSince_ > settings_.isolatedAfter);
}

bool Members::isReachable(PeerId id) const {
  const auto found = members_.find(id);
  return id == settings_.self || (found != members_.end() && found->second.update.state != State::Dead);
}

PeerId Members::ownerOf(std::uint64_t thing) const {
  PeerId best = settings_.self;
  std::uint64_t most = mix(thing ^ mix(best));
  for (const auto& [id, member] : members_) {
    const std::uint64_t weight = mix(thing ^ mix(id));
    if (member.update.state == State::Dead || weight <= most) continue;
    best = id;
    most = weight;
  }
  return best;
}

std::vector<Update> Members::updates() const {
  std::vector<Update> all;
  all.reserve(members_.size());
  for (const auto& [id, member] : members_) all.push_back(member.update);
  return all;
}

}  // namespace ivypost::gossip
