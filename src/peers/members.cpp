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
// A relay says that it is there when this part of the time-out has passed without an ack.
constexpr double kNackAt = 0.8;
constexpr std::size_t kMaxChanges = 256;

// SplitMix64's finisher: every bit of the number bears on every bit of the result.
std::uint64_t mix(std::uint64_t number) {
  number = (number ^ number >> 30) * 0xbf58476d1ce4e5b9;
  number = (number ^ number >> 27) * 0x94d049bb133111eb;
  return number ^ number >> 31;
}

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
      asksAt_(now) {
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
    answerRelay(one, Kind::Nack, out);
  }
  std::erase_if(relayed_, [&](const Relayed& one) { return now >= one.until; });
  if (probe_ && !probe_->acked && !probe_->relayed && now >= probe_->relayAt) {
    probe_->relayed = true;
    const auto target = members_.find(probe_->target);
    if (target != members_.end())
      for (const Member* other : someAlive(settings_.relays, probe_->target)) {
        Message message = make(Kind::Relay, ++lastNonce_);
        message.target = target->second.update;
        probe_->relays.push_back(message.nonce);
        asked_.push_back({message.nonce, now});
        send(other->update.address, std::move(message), out);
      }
  }
  if (now >= nextPeriod_) {
    endProbe(now);
    for (auto at = members_.begin(); at != members_.end();) {
      Member& member = at->second;
      if (member.update.state == State::Suspect && now >= member.deadline) become(member, State::Dead, now);
      const bool over = member.update.state == State::Dead && now - member.since > settings_.forget;
      at = over ? members_.erase(at) : std::next(at);
    }
    beginProbe(now, out);
    if (++periods_ % kLookAround == 0 || alive_ == 0) lookAround(now, out);
    nextPeriod_ = now + period();
  }
  if (asked_.size() > kMaxAsked) asked_.erase(asked_.begin(), asked_.end() - kMaxAsked);
  judgePart(now);
}

void Members::leave(std::vector<Outgoing>& out) {
  Update gone{settings_.self, settings_.incarnation, settings_.address, State::Dead, settings_.self};
  std::uint32_t told = 0;
  for (const auto& [id, member] : members_) {
    if (member.update.state != State::Alive || told++ >= tellings()) continue;
    Message message = make(Kind::Ping, ++lastNonce_);
    message.updates = {gone};
    send(member.update.address, std::move(message), out);
  }
}

std::vector<const Members::Member*> Members::someAlive(std::uint32_t most, PeerId butNot) {
  std::vector<const Member*> alive, some;
  for (const auto& [id, member] : members_)
    if (member.update.state == State::Alive && id != butNot) alive.push_back(&member);
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
    send(one->update.address, make(Kind::News, ++lastNonce_), out);
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

void Members::send(const Address& to, Message message, std::vector<Outgoing>& out) const {
  out.push_back({to, std::move(message)});
}

std::uint32_t Members::ping(const Address& to, PeerId about, Micros now, std::vector<Outgoing>& out) {
  Message message = make(Kind::Ping, ++lastNonce_);
  piggyback(message, about);
  const std::uint32_t nonce = message.nonce;
  asked_.push_back({nonce, now});
  send(to, std::move(message), out);
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
  apply({message.sender, message.incarnation, message.address, State::Alive, 0}, now);
  const auto found = members_.find(message.sender);
  if (found == members_.end()) return false;  // the table is full
  if (!takeSequence(found->second, message, now, out)) return false;
  for (const Update& update : message.updates) apply(update, now);
  switch (message.kind) {
    case Kind::Ping: {
      Message ack = make(Kind::Ack, message.nonce);
      piggyback(ack, message.sender);
      send(message.address, std::move(ack), out);
      break;
    }
    case Kind::Relay: {
      if (relayed_.size() >= kMaxRelayed) break;
      Relayed one;
      one.theirs = message.nonce;
      one.to = message.address;
      one.nackAt = now + static_cast<Micros>(kNackAt * static_cast<double>(settings_.timeout));
      one.until = now + settings_.period;
      one.nonce = ping(message.target->address, message.target->id, now, out);
      relayed_.push_back(one);
      break;
    }
    case Kind::News:
      if (takeToken(asksCredit_, asksAt_, kFanOut * kNewsPerSecond, now))
        ping(message.address, message.sender, now, out);
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
    send(message.address, std::move(ack), out);
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
    answerRelay(one, Kind::Ack, out);
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

void Members::answerRelay(Relayed& relayed, Kind kind, std::vector<Outgoing>& out) {
  send(relayed.to, make(kind, relayed.theirs), out);
}

// First what the receiver has to refute, then news, the least told first, then one that is no news: in time
// everybody has told everybody of all, whatever was lost (anti-entropy).
void Members::piggyback(Message& message, PeerId about) {
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
    Probe probe;
    probe.target = found->first;
    probe.address = found->second.update.address;
    probe.at = now;
    probe.relayAt = now + timeout();
    probe.nonce = ping(probe.address, probe.target, now, out);
    probe_ = std::move(probe);
    return;
  }
}

void Members::endProbe(Micros now) {
  if (!probe_) return;
  const Probe probe = std::move(*probe_);
  probe_.reset();
  if (probe.acked) return worse(-1);
  // Lifeguard, 3.1: a failed probe, and relays that did not even say that they are there. Missing ones count
  // only where all are missing: in a partition half of them are, and this process is not slow for that.
  worse(!probe.relays.empty() && probe.nacks == 0 ? 2 : 1);
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
  for (const Address& seed : settings_.seeds)
    if (!std::binary_search(heard.begin(), heard.end(), seed)) missing.emplace_back(seed, 0);
  if (missing.empty()) return;
  const auto& [address, id] =
      missing[static_cast<std::size_t>(uniform() * static_cast<double>(missing.size()))];
  ping(address, id, now, out);
}

void Members::worse(int by) {
  health_ = std::clamp(health_ + by, 0, kMaxHealth);
}

// ---- What is believed -------------------------------------------------------------------------------------

void Members::refute(std::uint64_t incarnation) {
  settings_.incarnation = std::max(settings_.incarnation, incarnation + 1);
}

void Members::apply(Update update, Micros now) {
  if (update.id == settings_.self) {
    const bool older = update.incarnation < settings_.incarnation;
    if (update.state == State::Alive && update.address != settings_.address && !older) twinSeen_ = now;
    const bool mine = update.state == State::Alive && update.incarnation == settings_.incarnation;
    if (older || mine) return;
    if (update.state != State::Alive) worse(1);  // Lifeguard: to have to refute is a sign of being slow
    return refute(update.incarnation);
  }
  const auto found = members_.find(update.id);
  if (found == members_.end()) {
    if (update.state == State::Dead || members_.size() >= kMaxMembers) return;
    Member member;
    member.update = update;
    member.update.state = State::Alive;
    member.since = now;
    member.tellings = tellings();
    Member& stored = members_.emplace(update.id, std::move(member)).first->second;
    ++alive_;
    if (changes_.size() < kMaxChanges) changes_.push_back({update.id, update.address, State::Alive});
    // Where it comes into the order of probes is chance (SWIM, 4.3).
    const auto at = nextInOrder_ + static_cast<std::size_t>(
                                       uniform() * static_cast<double>(order_.size() - nextInOrder_ + 1));
    if (order_.size() < kMaxMembers)
      order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(std::min(at, order_.size())), update.id);
    if (update.state == State::Suspect) suspect(stored, update.witness, now);
    return;
  }
  Member& member = found->second;
  if (update.state == State::Suspect && member.update.state == State::Suspect &&
      update.incarnation == member.update.incarnation)
    return suspect(member, update.witness, now);
  if (!outbids(update, member.update)) return;
  member.update.incarnation = update.incarnation;
  if (update.state == State::Alive) member.update.address = update.address;
  if (update.state == State::Suspect) {
    if (member.update.state == State::Dead) become(member, State::Alive, now);  // it was back since
    return suspect(member, update.witness, now);
  }
  const State before = member.update.state;
  member.update.witness = update.witness;
  if (before != update.state) {
    become(member, update.state, now);
  } else {
    member.tellings = tellings();
  }
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
  // Guards against one that comes and goes faster than the order is worked off; it is in the next one anyway.
  if (before == State::Dead && state == State::Alive && order_.size() < kMaxMembers)
    order_.push_back(member.update.id);
  if (changes_.size() < kMaxChanges) changes_.push_back({member.update.id, member.update.address, state});
}

// A further independent witness makes the suspicion shorter (Lifeguard, 3.2).
void Members::suspect(Member& member, PeerId witness, Micros now) {
  if (member.update.state == State::Dead) return;
  if (member.update.state == State::Alive) {
    become(member, State::Suspect, now);
    member.update.witness = witness;
    member.witnesses = {witness};
    member.deadline = now + suspicionFor(0);
    return;
  }
  const auto& told = member.witnesses;
  if (told.size() > kConfirm || std::find(told.begin(), told.end(), witness) != told.end()) return;
  member.witnesses.push_back(witness);
  member.update.witness = witness;
  member.tellings = tellings();
  member.deadline = std::min(member.deadline, member.since + suspicionFor(member.witnesses.size() - 1));
}

Micros Members::suspicionFor(std::size_t confirmations) const {
  const double least = kSuspicion * std::max(1.0, std::log10(static_cast<double>(members_.size() + 1))) *
                       static_cast<double>(settings_.period);
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
  const double should = std::ceil(static_cast<double>(settings_.expected) / kWrongBy);
  return static_cast<double>(heard()) / std::max(static_cast<double>(known() + 1), should);
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
