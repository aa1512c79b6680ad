// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "peers/members.h"

#include <algorithm>
#include <cmath>

namespace ivypost::peers {
namespace {

// Every so many periods somebody is tried who should be there and is not heard, or a seed.
constexpr std::uint64_t kLookAround = 4;
// Pings to be answered, and pings passed on for others, that are remembered at the most. The first are enough
// for some seconds, the second for as many sidecars that doubt somebody in the same moment.
constexpr std::size_t kMaxAsked = 64, kMaxRelayed = 64;
// Updates in an ack, which has to leave room for facts.
constexpr std::size_t kAckUpdates = 2;
constexpr std::size_t kAckEntryBytes = 64;
// A relay says that it is there when this part of the time-out has passed without an ack.
constexpr double kNackAt = 0.8;
constexpr std::size_t kMaxChanges = 256;

// Whether what is told outbids what is believed (SWIM, 4.2).
bool outbids(const Update& told, const Update& believed) {
  if (told.incarnation != believed.incarnation) return told.incarnation > believed.incarnation;
  return told.state > believed.state;
}

}  // namespace

Members::Members(Settings settings, std::uint64_t seed, Micros now)
    : settings_(std::move(settings)),
      random_(seed),
      lastTick_(now),
      nextPeriod_(now),
      newsAt_(now),
      asksAt_(now),
      budget_(kRatePart * settings_.bytesPerSecond, kDepthPart * settings_.bytesPerSecond,
              kDebtPart * settings_.bytesPerSecond, now),
      pullBudget_(kPullPart * settings_.bytesPerSecond, 2.0 * kMaxDatagram, 0, now),
      gossipBudget_(kGossipPart * settings_.bytesPerSecond, 2.0 * kMaxDatagram, 0, now),
      nextExchange_(now),
      nextPull_(now),
      startedAt_(now) {
  settings_.period = std::max<Micros>(settings_.period, 1000);
  settings_.timeout = std::clamp<Micros>(settings_.timeout, 1, settings_.period - 1);
  lastNonce_ = static_cast<std::uint32_t>(random_());
  // Sidecars that start together must not all speak in the same moment.
  nextPeriod_ = now + static_cast<Micros>(uniform() * static_cast<double>(settings_.period));
}

Micros Members::next() const {
  Micros at = nextPeriod_;
  if (probe_ && !probe_->acked && !probe_->relayed) at = std::min(at, probe_->relayAt);
  for (const Relayed& one : relayed_)
    if (!one.nacked) at = std::min(at, one.nackAt);
  if (hasExchange()) at = std::min(at, nextExchange_);
  return at;
}

void Members::tick(Micros now, std::vector<Outgoing>& out) {
  const Micros gap = now - lastTick_;
  if (static_cast<double>(gap) > kStopped * static_cast<double>(period())) {
    // Guards against accusing others of what was this process's own absence: it doubts itself first, and
    // suspicions get the time back in which they could not be answered.
    worse(kMaxHealth);
    probe_.reset();
    for (auto& [id, member] : members_) member.deadline += gap;
    nextPeriod_ = now;
  }
  lastTick_ = now;
  std::erase_if(asked_, [&](const Asked& one) { return now - one.at > 2 * settings_.deafAfter; });
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
      for (const Member* other : someAlive(settings_.relays, probe_->target)) {
        Message message = make(Kind::Relay, ++lastNonce_);
        message.target = target->second.update;
        const std::uint32_t nonce = message.nonce;
        if (!send(other->update.address, std::move(message), Need::Required, now, out)) continue;
        probe_->relays.push_back(nonce);
        asked_.push_back({nonce, now});
      }
  }
  if (now >= nextPeriod_) {
    endProbe(now);
    for (auto at = members_.begin(); at != members_.end();) {
      Member& member = at->second;
      if (member.update.state == State::Suspect && now >= member.deadline) become(member, State::Dead, now);
      const bool over = member.update.state == State::Dead && now - member.since > settings_.forget;
      if (over && !member.left()) {
        if (lost_.size() == kMaxLost)
          lost_.erase(lost_.begin() + static_cast<std::ptrdiff_t>(uniform() * static_cast<double>(kMaxLost)));
        lost_.push_back(member.update.address);
      }
      if (over) full_ = false;
      at = over ? members_.erase(at) : std::next(at);
    }
    if (!isJoining(now)) beginProbe(now, out);
    if (settings_.antiEntropy) askNear(now, out);
    const bool due = ++periods_ % kLookAround == 0 && !isJoining(now);
    if (due || alive_ == 0) lookAround(now, out);
    nextPeriod_ = now + period();
  }
  if (settings_.antiEntropy && now >= nextExchange_ && hasExchange()) exchange(now, out);
  if (asked_.size() > kMaxAsked) asked_.erase(asked_.begin(), asked_.end() - kMaxAsked);
  judgePart(now);
}

void Members::leave(Micros now, std::vector<Outgoing>& out) {
  const Update gone{settings_.self, settings_.incarnation, settings_.address, State::Dead, settings_.self};
  for (const Member* one : someAlive(tellings(), settings_.self)) {
    const bool compares = settings_.antiEntropy && one->update.compares;
    Message message = make(compares ? Kind::Rumours : Kind::Ping, ++lastNonce_);
    (compares ? message.entries : message.updates) = {gone};
    if (!send(one->update.address, std::move(message), Need::Required, now, out)) return;
  }
}

void Members::charge(std::size_t bytes, Micros now) {
  if (settings_.antiEntropy) budget_.charge(bytes, now);
}

std::vector<const Members::Member*> Members::someAlive(std::uint32_t most, PeerId butNot, Micros heardSince) {
  std::vector<const Member*> alive, some;
  for (const auto& [id, member] : members_)
    if (member.update.state == State::Alive && id != butNot && member.heardAt >= heardSince)
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
  if (!takeToken(newsCredit_, newsAt_, kNewsPerSecond, now)) return;
  for (const Member* one : someAlive(kFanOut, settings_.self))
    send(one->update.address, make(Kind::News, ++lastNonce_), Need::Optional, now, out);
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
  asked_.push_back({nonce, now});
  return nonce;
}

std::optional<Micros> Members::asked(const Message& ack, Micros now) const {
  if (ack.kind != Kind::Ack && ack.kind != Kind::Nack) return std::nullopt;
  const auto found =
      std::find_if(asked_.begin(), asked_.end(), [&](const Asked& one) { return one.nonce == ack.nonce; });
  if (found == asked_.end() || now - found->at > settings_.deafAfter) return std::nullopt;
  return now - found->at;
}

bool Members::receive(const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (message.sender == settings_.self) {
    // An echo of one's own is nothing; somebody else under this name is.
    if (message.address != settings_.address || message.incarnation > settings_.incarnation) twinSeen_ = now;
    return false;
  }
  Update sender{message.sender, message.incarnation, message.address, State::Alive, 0};
  sender.compares = settings_.antiEntropy && (message.table.has_value() || message.kind > Kind::News);
  sender.region = message.table ? message.table->region : std::uint8_t{0};
  apply(sender, now);
  const auto found = members_.find(message.sender);
  if (found == members_.end()) return false;  // the table is full
  if (!takeSequence(found->second, message, now, out)) return false;
  found->second.heardAt = now;
  for (const Update& update : message.updates) apply(update, now);
  if (settings_.antiEntropy) {
    // Those of a page count only where it answers a pull.
    if (message.kind != Kind::Page) takeEntries(message, now, out);
    compare(message, now);
  }
  switch (message.kind) {
    case Kind::Ping: {
      Message ack = make(Kind::Ack, message.nonce);
      if (settings_.antiEntropy) ack.table = table();
      // Who knows nobody yet asks again. While all start at once a few are asked by all, and must not miss
      // the probes of those who know them.
      const bool hello = message.table && message.table->heard <= 1;
      piggyback(ack, message.sender, hello, now);
      send(message.address, std::move(ack), hello ? Need::Optional : Need::Required, now, out);
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
    case Kind::News:
      if (takeToken(asksCredit_, asksAt_, kFanOut * kNewsPerSecond, now))
        ping(message.address, message.sender, Need::Optional, now, out);
      break;
    case Kind::Rumours:
      break;
    case Kind::Pull:
      if (settings_.antiEntropy) beginAnswer(message, now, out);
      break;
    case Kind::Page:
      if (settings_.antiEntropy) takePage(message, now, out);
      break;
    case Kind::Ack:
    case Kind::Nack:
      heardAnswer(message, now, out);
      break;
  }
  judgePart(now);
  return true;
}

// A replay, or what speaks with an incarnation that has been outbid. The latter is told so, and not too
// often: after a restart with its clock set back it could not be heard again otherwise.
bool Members::takeSequence(Member& member, const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (message.incarnation < member.windowOf) {
    if (message.kind != Kind::Ping ||
        (member.correctedAt != 0 && now - member.correctedAt < settings_.period))
      return false;
    member.correctedAt = now;
    Message ack = make(Kind::Ack, message.nonce);
    ack.updates = {member.update};
    send(message.address, std::move(ack), Need::Required, now, out);
    return false;
  }
  if (message.incarnation > member.windowOf) {
    member.window = ReplayWindow();
    member.windowOf = message.incarnation;
  }
  return member.window.take(message.sequence);
}

void Members::heardAnswer(const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (const auto age = asked(message, now))
    lastHeard_ = std::max(lastHeard_.value_or(now - *age), now - *age);
  std::erase_if(asked_, [&](const Asked& one) { return one.nonce == message.nonce; });
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
void Members::piggyback(Message& message, PeerId about, bool hello, Micros now) {
  if (compares(about) || (settings_.antiEntropy && about == 0)) {
    if (about == 0 || budget_.credit(now) <= 0) return;
    // An ack leaves room for facts, but to who knows nobody yet.
    const bool leaveRoom = message.kind == Kind::Ack && !hello;
    return addEntries(message, about, leaveRoom ? kAckEntryBytes : kMaxDatagram);
  }
  const std::size_t most = message.kind == Kind::Ack ? kAckUpdates : kMaxUpdates;
  const auto receiver = members_.find(about);
  if (receiver != members_.end() && receiver->second.update.state != State::Alive)
    message.updates.push_back(receiver->second.update);
  std::vector<Member*> news;
  for (auto& [id, member] : members_)
    if (member.tellings > 0 && id != about) news.push_back(&member);
  const std::size_t count = std::min(news.size(), most - 1 - message.updates.size());
  std::partial_sort(news.begin(), news.begin() + static_cast<std::ptrdiff_t>(count), news.end(),
                    [](const Member* a, const Member* b) { return a->tellings > b->tellings; });
  for (std::size_t n = 0; n < count; ++n) {
    --news[n]->tellings;
    message.updates.push_back(news[n]->update);
  }
  if (members_.empty()) return;
  auto next = members_.upper_bound(lastTold_);
  if (next == members_.end()) next = members_.begin();
  lastTold_ = next->first;
  const bool there = std::any_of(message.updates.begin(), message.updates.end(),
                                 [&](const Update& one) { return one.id == next->first; });
  if (!there && next->first != about) message.updates.push_back(next->second.update);
}

// ---- Probes -----------------------------------------------------------------------------------------------

void Members::beginProbe(Micros now, std::vector<Outgoing>& out) {
  for (std::size_t tries = 0; tries < 2 * members_.size() + 1; ++tries) {
    if (nextInOrder_ >= order_.size()) {
      order_.clear();
      for (const auto& [id, member] : members_)
        if (member.update.state != State::Dead) order_.push_back(id);
      std::shuffle(order_.begin(), order_.end(), random_);
      nextInOrder_ = 0;
      if (order_.empty()) return;
    }
    const auto found = members_.find(order_[nextInOrder_++]);
    if (found == members_.end() || found->second.update.state == State::Dead) continue;
    const bool suspected = settings_.antiEntropy && found->second.update.state == State::Suspect;
    // Its witnesses are enough: a further one would change nothing.
    if (suspected && found->second.witnesses.size() > kConfirm) continue;
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
void Members::askNear(Micros now, std::vector<Outgoing>& out) {
  if (lastHeard_ && now - *lastHeard_ < settings_.deafAfter / 4) return;
  std::vector<const Member*> near;
  for (const auto& [id, member] : members_)
    if (member.update.state != State::Dead && member.update.region == settings_.region)
      near.push_back(&member);
  if (near.empty()) return;
  const Update& one = near[static_cast<std::size_t>(uniform() * static_cast<double>(near.size()))]->update;
  ping(one.address, one.id, Need::Required, now, out);
}

void Members::endProbe(Micros now) {
  if (!probe_) return;
  const Probe probe = std::move(*probe_);
  probe_.reset();
  if (probe.acked) return worse(-1);
  // Lifeguard, 3.1: a failed probe, and relays that did not even say that they are there. Missing ones count
  // only where all are missing: in a partition half of them are, and this process is not slow for that.
  // With anti-entropy a failed probe whose relays are there says nothing against this process: in a cut that
  // half of the fleet is behind, all would be slow to find it (as hashicorp/memberlist counts it).
  const bool cleared = settings_.antiEntropy && (probe.suspected || probe.nacks > 0);
  if (!cleared) worse(!probe.relays.empty() && probe.nacks == 0 ? 2 : 1);
  const auto found = members_.find(probe.target);
  if (found != members_.end()) suspect(found->second, settings_.self, now);
}

// Somebody who should be there: the dead that are remembered, and seeds at whose address nobody is heard.
void Members::lookAround(Micros now, std::vector<Outgoing>& out) {
  std::vector<std::pair<Address, PeerId>> missing;
  std::vector<Address> heard = {settings_.address};
  for (const auto& [id, member] : members_) {
    if (member.update.state != State::Dead) heard.push_back(member.update.address);
    if (member.update.state == State::Dead && !member.left()) missing.emplace_back(member.update.address, id);
  }
  std::sort(heard.begin(), heard.end());
  std::erase_if(lost_,
                [&](const Address& one) { return std::binary_search(heard.begin(), heard.end(), one); });
  for (const auto* from : {&settings_.seeds, &lost_})
    for (const Address& one : *from)
      if (!std::binary_search(heard.begin(), heard.end(), one)) missing.emplace_back(one, 0);
  if (missing.empty()) return;
  const auto& [address, id] =
      missing[static_cast<std::size_t>(uniform() * static_cast<double>(missing.size()))];
  ping(address, id, Need::Required, now, out);
}

// Lifeguard's stretched period. With anti-entropy it stays under a third of deafAfter, or a slow process
// would be deaf for want of having asked.
Micros Members::period() const {
  const Micros stretched = settings_.period * (health_ + 1);
  if (!settings_.antiEntropy) return stretched;
  return std::min(stretched, std::max(settings_.period, settings_.deafAfter / 3));
}
Micros Members::timeout() const {
  return settings_.timeout * period() / settings_.period;
}

void Members::worse(int by) {
  health_ = std::clamp(health_ + by, 0, kMaxHealth);
}

// ---- What is believed -------------------------------------------------------------------------------------

void Members::refute(std::uint64_t incarnation) {
  settings_.incarnation = std::max(settings_.incarnation, incarnation + 1);
  tableChanged_ = true;
}

bool Members::apply(Update update, Micros now) {
  if (update.id == settings_.self) {
    const bool older = update.incarnation < settings_.incarnation;
    if (update.state == State::Alive && update.address != settings_.address && !older) twinSeen_ = now;
    const bool mine = update.state == State::Alive && update.incarnation == settings_.incarnation;
    if (older || mine) return false;
    if (update.state != State::Alive) worse(1);  // Lifeguard: to have to refute is a sign of being slow
    refute(update.incarnation);
    return true;
  }
  const auto found = members_.find(update.id);
  if (found == members_.end()) {
    // Where it is has to be told with it.
    if (update.state == State::Dead || (update.state == State::Suspect && update.address == Address{}))
      return false;
    if (members_.size() >= kMaxMembers) return !(full_ = true);
    Member member;
    member.update = update;
    member.update.state = State::Alive;
    member.since = now;
    member.tellings = tellings();
    news_ = tableChanged_ = true;
    Member& stored = members_.emplace(update.id, std::move(member)).first->second;
    if (++alive_ == 1) {
      startedAt_ = now;
      mostTold_ = 0;
    }
    if (changes_.size() < kMaxChanges) changes_.push_back({update.id, update.address, State::Alive});
    // Where it comes into the order of probes is chance (SWIM, 4.3).
    const auto at = nextInOrder_ + static_cast<std::size_t>(
                                       uniform() * static_cast<double>(order_.size() - nextInOrder_ + 1));
    if (order_.size() < kMaxMembers)
      order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(std::min(at, order_.size())), update.id);
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
    member.update.compares = member.update.compares || update.compares;
  }
  if (!outbids(update, member.update)) return false;
  if (update.incarnation > member.update.incarnation) {
    member.update.compares = update.compares;
    if (update.region != 0) member.update.region = update.region;
  }
  member.update.incarnation = update.incarnation;
  tableChanged_ = true;
  if (update.state == State::Alive) member.update.address = update.address;
  if (update.state == State::Suspect) {
    if (member.update.state == State::Dead) become(member, State::Alive, now);  // it was back since
    suspect(member, update.witness, now);
    return true;
  }
  const State before = member.update.state;
  member.update.witness = update.witness;
  if (before != update.state) {
    become(member, update.state, now);
  } else {
    member.tellings = tellings();
    news_ = true;
  }
  return true;
}

void Members::become(Member& member, State state, Micros now) {
  const State before = member.update.state;
  if (state != State::Dead) member.update.witness = 0;
  if (before == State::Dead && state != State::Dead) ++alive_;
  if (before != State::Dead && state == State::Dead) --alive_;
  member.update.state = state;
  if (state == State::Alive) member.witnesses.clear();
  member.since = now;
  member.tellings = tellings();
  news_ = tableChanged_ = true;
  // Guards against one that comes and goes faster than the order is worked off; it is in the next one anyway.
  if (before == State::Dead && state == State::Alive && order_.size() < kMaxMembers)
    order_.push_back(member.update.id);
  if (changes_.size() < kMaxChanges) changes_.push_back({member.update.id, member.update.address, state});
}

// A further independent witness makes the suspicion shorter (Lifeguard, 3.2).
// True if it is news.
bool Members::suspect(Member& member, PeerId witness, Micros now) {
  if (member.update.state == State::Dead) return false;
  if (member.update.state == State::Alive) {
    become(member, State::Suspect, now);
    member.update.witness = witness;
    member.witnesses = {witness};
    member.deadline = now + suspicionFor(0);
    if (settings_.antiEntropy && witness != settings_.self &&
        uniform() * static_cast<double>(alive_) < kProbers && order_.size() < kMaxMembers)
      order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(std::min(nextInOrder_, order_.size())),
                    member.update.id);
    return true;
  }
  const auto& told = member.witnesses;
  if (told.size() > kConfirm || std::find(told.begin(), told.end(), witness) != told.end()) return false;
  member.witnesses.push_back(witness);
  member.update.witness = witness;
  // The suspicion is known already; a further witness needs to reach a few, who then know of the death.
  member.tellings = settings_.antiEntropy ? std::max(member.tellings, tellings() / 4) : tellings();
  news_ = true;
  member.deadline = std::min(member.deadline, member.since + suspicionFor(member.witnesses.size() - 1));
  return true;
}

Micros Members::suspicionFor(std::size_t confirmations) const {
  double magnitude = std::max(1.0, std::log10(static_cast<double>(members_.size() + 1)));
  if (settings_.antiEntropy) magnitude = std::min(magnitude, kMostMagnitude);
  const double least = kSuspicion * magnitude * static_cast<double>(settings_.period);
  const double most = kLongest * least;
  const double part = std::log(static_cast<double>(confirmations) + 1) / std::log(kConfirm + 1.0);
  return static_cast<Micros>(std::max(least, most - (most - least) * part));
}

std::uint32_t Members::tellings() const {
  return static_cast<std::uint32_t>(std::ceil(kTold * std::log2(static_cast<double>(members_.size()) + 2)));
}

std::size_t Members::known() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [](const auto& one) { return !one.second.left(); }));
}

double Members::part() const {
  if (settings_.region == 0) {
    const double should = std::ceil(static_cast<double>(settings_.expected) / kWrongBy);
    return static_cast<double>(heard()) / std::max(static_cast<double>(known() + 1), should);
  }
  std::size_t heardHere = 1, knownHere = 1;
  for (const auto& [id, member] : members_) {
    if (member.update.region != settings_.region || member.left()) continue;
    ++knownHere;
    heardHere += member.update.state != State::Dead ? 1 : 0;
  }
  const double should = std::ceil(static_cast<double>(settings_.regionExpected) / kWrongBy);
  return static_cast<double>(heardHere) / std::max(static_cast<double>(knownHere), should);
}

void Members::judgePart(Micros now) {
  if (part() >= settings_.deafPart) {
    fewSince_.reset();
  } else if (!fewSince_) {
    fewSince_ = now;
  }
}

bool Members::deaf(Micros now) const {
  if (alive_ == 0 || !lastHeard_ || now - *lastHeard_ > settings_.deafAfter) return true;
  return twin(now) || (fewSince_ && now - *fewSince_ > settings_.deafAfter);
}

bool Members::isHeard(PeerId id) const {
  const auto found = members_.find(id);
  return id == settings_.self || (found != members_.end() && found->second.update.state != State::Dead);
}

PeerId Members::turnAt(std::uint64_t thing) const {
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

std::vector<Update> Members::all() const {
  std::vector<Update> all;
  all.reserve(members_.size());
  for (const auto& [id, member] : members_) all.push_back(member.update);
  return all;
}

}  // namespace ivypost::peers
