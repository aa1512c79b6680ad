// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Members: timers, sending and receiving of messages, and queries.
#include "gossip/members.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivypost::gossip {
namespace {

// The number of periods between two pings to an unreachable member, seed or forgotten address.
constexpr std::uint64_t kReconnectPeriods = 4;
// The number of sent pings that are kept to match answers: those of a few seconds.
constexpr std::size_t kMaxSentPings = 64;
constexpr double kMicrosPerSecond = 1e6;
// The depth of the byte budgets for pulls and for rumours.
constexpr double kBurst = 2.0 * kMaxDatagram;
constexpr Micros kMinPeriod = 1000;

Settings clamped(Settings settings) {
  settings.period = std::max(settings.period, kMinPeriod);
  settings.timeout = std::clamp<Micros>(settings.timeout, 1, settings.period - 1);
  return settings;
}

}  // namespace

Members::Members(Settings settings, std::uint64_t seed, Micros now)
    : settings_(clamped(std::move(settings))),
      random_(seed),
      lastNonce_(static_cast<std::uint32_t>(random_())),
      lastTick_(now),
      // A random phase, so that sidecars which start together don't send at the same moment.
      nextPeriod_(now + static_cast<Micros>(uniform() * static_cast<double>(settings_.period))),
      announcementAt_(now),
      announcementAnswerAt_(now),
      budget_(kRateFraction * settings_.bytesPerSecond, kDepthFraction * settings_.bytesPerSecond,
              kDebtFraction * settings_.bytesPerSecond, now),
      pullBudget_(kPullFraction * settings_.bytesPerSecond, kBurst, 0, now),
      gossipBudget_(kGossipFraction * settings_.bytesPerSecond, kBurst, 0, now),
      nextAntiEntropy_(now),
      nextPull_(now),
      startedAt_(now) {}

Micros Members::nextTick() const {
  Micros at = nextPeriod_;
  if (probe_ && !probe_->isAcked && !probe_->areRelaysAsked) at = std::min(at, probe_->askRelaysAt);
  for (const IndirectProbe& one : indirectProbes_)
    if (!one.isAnswered) at = std::min(at, one.nackAt);
  if (hasAntiEntropyWork()) at = std::min(at, nextAntiEntropy_);
  return at;
}

void Members::tick(Micros now, std::vector<Outgoing>& out) {
  resumeAfterPause(now);
  std::erase_if(sentPings_, [&](const SentPing& one) { return now - one.at > 2 * settings_.isolatedAfter; });
  sweepIndirectProbes(now, out);
  requestIndirectProbes(now, out);
  if (now >= nextPeriod_) beginPeriod(now, out);
  if (settings_.antiEntropy && now >= nextAntiEntropy_ && hasAntiEntropyWork()) runAntiEntropy(now, out);
  if (sentPings_.size() > kMaxSentPings)
    sentPings_.erase(sentPings_.begin(), sentPings_.end() - kMaxSentPings);
  updateQuorum(now);
}

void Members::beginPeriod(Micros now, std::vector<Outgoing>& out) {
  endProbe(now);
  sweepMembers(now);
  if (!isJoining(now)) beginProbe(now, out);
  if (settings_.antiEntropy) pingOwnRegion(now, out);
  const bool isDue = ++periods_ % kReconnectPeriods == 0 && !isJoining(now);
  if (isDue || aliveCount_ == 0) reconnect(now, out);
  nextPeriod_ = now + period();
}

void Members::leave(Micros now, std::vector<Outgoing>& out) {
  const Update gone{settings_.self, settings_.incarnation, settings_.address, State::Dead, settings_.self};
  for (const Member* one : pickRandomAlive(transmissionLimit(), settings_.self)) {
    const bool usesAntiEntropy = settings_.antiEntropy && one->update.usesAntiEntropy;
    Message message = makeMessage(usesAntiEntropy ? Kind::Rumours : Kind::Ping, ++lastNonce_);
    (usesAntiEntropy ? message.entries : message.updates) = {gone};
    if (!send(one->update.address, std::move(message), Need::Required, now, out)) return;
  }
}

void Members::charge(std::size_t bytes, Micros now) {
  if (settings_.antiEntropy) budget_.charge(bytes, now);
}

std::vector<const Members::Member*> Members::pickRandomAlive(std::uint32_t maxCount, PeerId excluded,
                                                             Micros heardSince) {
  std::vector<const Member*> alive;
  std::vector<const Member*> picked;
  for (const auto& [id, member] : members_)
    if (member.update.state == State::Alive && id != excluded && member.lastMessageAt >= heardSince)
      alive.push_back(&member);
  while (picked.size() < maxCount && !alive.empty()) {
    const auto at = static_cast<std::size_t>(uniform() * static_cast<double>(alive.size()));
    picked.push_back(alive[at]);
    alive[at] = alive.back();
    alive.pop_back();
  }
  return picked;
}

bool Members::takeToken(double& credit, Micros& at, double perSecond, Micros now) {
  credit = std::min(perSecond, credit + perSecond * static_cast<double>(now - at) / kMicrosPerSecond);
  at = now;
  if (credit < 1) return false;
  credit -= 1;
  return true;
}

// ---- Messages ---------------------------------------------------------------------------------------------

Message Members::makeMessage(Kind kind, std::uint32_t nonce) {
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
    if (need == Need::Optional ? !budget_.take(bytes, now) : !budget_.takeWithDebt(bytes, now)) return false;
  }
  out.push_back({to, std::move(message)});
  return true;
}

std::optional<std::uint32_t> Members::ping(const Address& to, PeerId about, Need need, Micros now,
                                           std::vector<Outgoing>& out) {
  Message message = makeMessage(Kind::Ping, ++lastNonce_);
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
    // An echo of this sidecar's own message is harmless; another process with the same name is a conflict.
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
    // The entries of a page are merged by receivePage(), and only if it answers a pull.
    if (message.kind != Kind::Page) mergeEntries(message, now, out);
    compareTables(message, now);
  }
  dispatch(message, now, out);
  updateQuorum(now);
  return true;
}

void Members::dispatch(const Message& message, Micros now, std::vector<Outgoing>& out) {
  switch (message.kind) {
    case Kind::Ping:
      return answerPing(message, now, out);
    case Kind::Relay:
      return beginIndirectProbe(message, now, out);
    case Kind::Announce:
      if (takeToken(announcementAnswerCredit_, announcementAnswerAt_,
                    kAnnouncementFanOut * kAnnouncementsPerSecond, now))
        ping(message.address, message.sender, Need::Optional, now, out);
      return;
    case Kind::Rumours:
      return;
    case Kind::Pull:
      if (settings_.antiEntropy) answerPull(message, now, out);
      return;
    case Kind::Page:
      if (settings_.antiEntropy) receivePage(message, now, out);
      return;
    case Kind::Ack:
    case Kind::Nack:
      return receiveAnswer(message, now, out);
  }
}

void Members::answerPing(const Message& message, Micros now, std::vector<Outgoing>& out) {
  Message ack = makeMessage(Kind::Ack, message.nonce);
  if (settings_.antiEntropy) ack.table = table();
  // The ack to a newcomer is optional, since newcomers ask again: while a whole fleet starts, the seeds are
  // pinged by all, and their budget must still cover the acks to probes by members that know them.
  const bool isNewcomer = message.table && message.table->reachable <= 1;
  piggyback(ack, message.sender, isNewcomer, now);
  send(message.address, std::move(ack), isNewcomer ? Need::Optional : Need::Required, now, out);
}

// False for a replay, and for a message of an earlier incarnation than one seen before. A ping of an earlier
// incarnation is answered, once per period at the most, with the known incarnation, so that the sender can
// choose a higher one: otherwise a sidecar whose clock was set back before a restart could not rejoin.
bool Members::acceptSequence(Member& member, const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (message.incarnation < member.windowIncarnation) {
    if (message.kind != Kind::Ping ||
        (member.correctedAt != 0 && now - member.correctedAt < settings_.period))
      return false;
    member.correctedAt = now;
    Message ack = makeMessage(Kind::Ack, message.nonce);
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

// ---- Queries ----------------------------------------------------------------------------------------------

std::size_t Members::knownCount() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [](const auto& one) { return !one.second.hasLeft(); }));
}

double Members::reachableFraction() const {
  if (settings_.region == 0) {
    const double expected = std::ceil(static_cast<double>(settings_.expected) / kExpectedTolerance);
    return static_cast<double>(reachableCount()) / std::max(static_cast<double>(knownCount() + 1), expected);
  }
  std::size_t reachableHere = 1;
  std::size_t knownHere = 1;
  for (const auto& [id, member] : members_) {
    if (member.update.region != settings_.region || member.hasLeft()) continue;
    ++knownHere;
    reachableHere += member.update.state != State::Dead ? 1 : 0;
  }
  const double expected = std::ceil(static_cast<double>(settings_.regionExpected) / kExpectedTolerance);
  return static_cast<double>(reachableHere) / std::max(static_cast<double>(knownHere), expected);
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

PeerId Members::ownerOf(std::uint64_t key) const {
  PeerId best = settings_.self;
  std::uint64_t most = mix(key ^ mix(best));
  for (const auto& [id, member] : members_) {
    const std::uint64_t weight = mix(key ^ mix(id));
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
