// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Members' anti-entropy and rumours: what is told to whom, what is compared and what is fetched. Every
// message of it may be left out, lost, doubled or late; what it does is merge what others believe, so none
// does harm.
#include <algorithm>
#include <bit>
#include <optional>
#include <tuple>
#include <utility>

#include "peers/entries.h"
#include "peers/members.h"

namespace ivypost::peers {
namespace {

constexpr std::uint8_t kRangeBits = 2;
static_assert(kRanges == 1U << kRangeBits);
// A filter over more members than this holds too many by mistake.
constexpr std::size_t kMaxFiltered = 8 * Filter::kMaxBytes / 5;
// With more members than this to be told of as alive, rumours would only repeat what pages tell better.
constexpr std::size_t kMassNews = 64;
// A pull that brought so many has found somebody worth asking again at once.
constexpr std::size_t kWorthwhile = 4;
// Of those who spoke of an earlier life: told so at the most in one datagram.
constexpr std::size_t kCorrections = 8;

// What a range's digest and a filter are made of: a life that is believed in.
std::uint64_t keyOf(const Update& update) {
  return mix(update.id ^ mix(update.incarnation));
}

std::size_t rangeOf(PeerId id, std::uint8_t bits) {
  return bits == 0 ? 0 : static_cast<std::size_t>(mix(id) >> (64 - bits));
}

}  // namespace

Update Members::own() const {
  Update update{settings_.self, settings_.incarnation, settings_.address, State::Alive, 0};
  update.region = settings_.region;
  update.compares = settings_.antiEntropy;
  return update;
}

bool Members::compares(PeerId id) const {
  const auto found = members_.find(id);
  return settings_.antiEntropy && found != members_.end() && found->second.update.compares;
}

bool Members::inRange(PeerId id, const Range& range) const {
  return rangeOf(id, range.bits) == range.index;
}

// The dead are no part of it: they are forgotten at different times, and who never knew one need not learn of
// it. That one believes in a life and the other does not makes the difference.
Table Members::table() {
  if (tableChanged_) {
    tableChanged_ = false;
    table_ = Table();
    table_.region = settings_.region;
    table_.heard = static_cast<std::uint16_t>(heard());
    const auto add = [&](const Update& update) {
      table_.digests.at(rangeOf(update.id, kRangeBits)) ^= static_cast<std::uint32_t>(keyOf(update));
    };
    add(own());
    for (const auto& [id, member] : members_)
      if (member.update.state != State::Dead) add(member.update);
  }
  return table_;
}

// ---- Rumours ----------------------------------------------------------------------------------------------

// First what the receiver has to refute, then what is bad news, then what has been told least.
void Members::addEntries(Message& message, PeerId receiver, std::size_t room) {
  std::vector<Update> entries;
  const auto found = members_.find(receiver);
  if (found != members_.end() && found->second.update.state != State::Alive)
    entries.push_back(found->second.update);
  std::vector<Member*> owed;
  std::size_t alive = 0;
  if (std::exchange(news_, false))
    for (auto& [id, member] : members_) {
      if (member.tellings == 0) continue;
      news_ = true;
      alive += member.update.state == State::Alive ? 1 : 0;
      if (id != receiver) owed.push_back(&member);
    }
  // What all would tell all of, as after a start of the whole fleet, is fetched by those who lack it.
  if (alive > kMassNews && !differing_.empty() && message.kind == Kind::Rumours)
    std::erase_if(owed, [](const Member* one) { return one->update.state == State::Alive; });
  const std::size_t refuted = entries.size();
  const std::size_t count = std::min(owed.size(), kMaxEntries - refuted);
  // Among equals chance decides, or all would tell of the same first.
  const auto rank = [&](const Member* one) {
    return std::tuple(one->update.state == State::Alive, ~one->tellings, mix(one->update.id ^ message.nonce));
  };
  std::partial_sort(owed.begin(), owed.begin() + static_cast<std::ptrdiff_t>(count), owed.end(),
                    [&](const Member* a, const Member* b) { return rank(a) < rank(b); });
  for (std::size_t n = 0; n < count; ++n) {
    entries.push_back(owed[n]->update);
    // Of several witnesses any one: who is told by two hears of two.
    const auto& witnesses = owed[n]->witnesses;
    if (owed[n]->update.state == State::Suspect && !witnesses.empty())
      entries.back().witness =
          witnesses[static_cast<std::size_t>(uniform() * static_cast<double>(witnesses.size()))];
  }
  std::vector<std::uint8_t> packed;
  const std::size_t fits = packEntries(entries, std::min(room, roomForEntries(message)), packed);
  entries.resize(fits);
  for (std::size_t n = refuted; n < fits; ++n) --owed[n - refuted]->tellings;
  message.entries = std::move(entries);
}

// Who has the same table knows of every life that this one knows of; only suspicions are no part of it.
void Members::calmDown() {
  for (auto& [id, member] : members_)
    if (member.update.state != State::Suspect) member.tellings /= 2;
}

void Members::gossip(Micros now, std::vector<Outgoing>& out) {
  if (!news_) return;
  for (const Member* one : someAlive(kGossipFanOut, settings_.self)) {
    if (!one->update.compares || budget_.credit(now) <= 0 || gossipBudget_.credit(now) < kMaxDatagram)
      continue;
    Message message = make(Kind::Rumours, ++lastNonce_);
    addEntries(message, one->update.id, kMaxDatagram);
    if (message.entries.empty()) continue;
    const std::size_t bytes = encode(message).size() + kSealBytes + kDatagramOverhead;
    if (send(one->update.address, std::move(message), Need::Optional, now, out))
      gossipBudget_.charge(bytes, now);
  }
}

// ---- Anti-entropy -----------------------------------------------------------------------------------------

void Members::compare(const Message& message, Micros now) {
  if (!message.table) return;
  mostTold_ = std::max(mostTold_, message.table->heard);
  const Table mine = table();
  std::uint8_t ranges = 0;
  for (std::size_t n = 0; n < kRanges; ++n)
    if (mine.digests.at(n) != message.table->digests.at(n)) ranges |= static_cast<std::uint8_t>(1U << n);
  std::erase_if(differing_, [&](const Differing& one) { return one.id == message.sender; });
  if (ranges == 0) return calmDown();
  if (differing_.size() == kMaxDiffering) differing_.erase(differing_.begin());
  differing_.push_back({message.sender, ranges, now});
}

bool Members::hasExchange() const {
  return settings_.antiEntropy && (news_ || !pending_.empty() || !differing_.empty());
}

bool Members::isJoining(Micros now) const {
  if (!settings_.antiEntropy || now - startedAt_ > kMaxJoining) return false;
  return now - startedAt_ < kLeastJoining ||
         static_cast<double>(heard()) < kJoined * static_cast<double>(mostTold_);
}

void Members::exchange(Micros now, std::vector<Outgoing>& out) {
  nextExchange_ = now + kGossipEvery;
  std::erase_if(differing_, [&](const Differing& one) {
    return now - one.at > kDiffersFor || !isHeard(one.id) || !compares(one.id);
  });
  std::erase_if(pulled_, [&](const Pulled& one) { return now - one.at > kPullTimeout; });
  std::erase_if(pending_, [&](const Pending& one) { return now > one.until; });
  gossip(now, out);
  pull(now, out);
  answerPulls(now, out);
}

void Members::pull(Micros now, std::vector<Outgoing>& out) {
  if (pulled_.size() >= kMaxPulls || now < nextPull_) return;
  // Who has just started lacks what anybody has, and who is asked learns of it.
  Differing from{0, (1U << kRanges) - 1, now};
  if (isJoining(now)) {
    // Those who have not spoken yet come first: perhaps nobody has spoken to them.
    auto anybody = someAlive(kMaxMembers, settings_.self);
    std::erase_if(anybody, [](const Member* one) { return !one->update.compares; });
    if (anybody.empty()) return;
    const auto silent =
        std::find_if(anybody.begin(), anybody.end(), [](const Member* one) { return one->windowOf == 0; });
    from.id = (silent != anybody.end() ? *silent : anybody.front())->update.id;
  } else if (!differing_.empty()) {
    from = differing_[static_cast<std::size_t>(uniform() * static_cast<double>(differing_.size()))];
  }
  const auto found = members_.find(from.id);
  if (found == members_.end()) return;
  Message message = make(Kind::Pull, ++lastNonce_);
  message.table = table();
  if (heard() > kMaxFiltered || std::popcount(from.ranges) == 1) {
    message.range.bits = kRangeBits;
    do {
      message.range.index = static_cast<std::uint8_t>(uniform() * static_cast<double>(kRanges));
    } while ((from.ranges >> message.range.index & 1) == 0);
    while (heard() >> message.range.bits > kMaxFiltered && message.range.bits < kMaxRangeBits) {
      ++message.range.bits;
      message.range.index = static_cast<std::uint8_t>(message.range.index << 1 | (uniform() < 0.5 ? 0U : 1U));
    }
  }
  Filter filter(heard() >> message.range.bits, message.nonce);
  if (inRange(settings_.self, message.range)) filter.add(keyOf(own()));
  for (const auto& [id, member] : members_)
    if (member.update.state != State::Dead && inRange(id, message.range)) filter.add(keyOf(member.update));
  message.filter = filter.bytes();
  const std::uint32_t nonce = message.nonce;
  const std::size_t bytes = encode(message).size() + kSealBytes + kDatagramOverhead;
  if (!pullBudget_.take(bytes, now)) return;
  if (!send(found->second.update.address, std::move(message), Need::Optional, now, out)) return;
  pulled_.push_back({nonce, from.id, now, 0, 0});
  nextPull_ = now + pullGap_;
  pullGap_ = std::min(2 * pullGap_, kMaxPullGap);
}

void Members::beginAnswer(const Message& pull, Micros now, std::vector<Outgoing>& out) {
  std::erase_if(pending_, [&](const Pending& one) { return one.who == pull.sender; });
  if (pending_.size() == kMaxPending) return;
  const Filter filter(pull.filter, pull.nonce);
  Pending pending{pull.nonce, pull.sender, pull.address, now + kPullTimeout, {}, 0, false};
  const auto look = [&](const Update& update) {
    if (!inRange(update.id, pull.range) || update.id == pull.sender) return;
    // The dead are told of to who believes in them.
    if (filter.holds(keyOf(update)) == (update.state == State::Dead)) pending.missing.push_back(update.id);
  };
  look(own());
  for (const auto& [id, member] : members_) look(member.update);
  // What has been told least comes first, as it is what the fewest know; among equals chance decides.
  const auto rank = [&](PeerId id) {
    const auto found = members_.find(id);
    return std::pair(found == members_.end() ? 0 : ~found->second.tellings, mix(id ^ pull.nonce));
  };
  const std::size_t most = std::min(pending.missing.size(), kPagesPerPull * kMaxEntries);
  std::partial_sort(pending.missing.begin(), pending.missing.begin() + static_cast<std::ptrdiff_t>(most),
                    pending.missing.end(), [&](PeerId a, PeerId b) { return rank(a) < rank(b); });
  pending.more = pending.missing.size() > most;
  pending.missing.resize(most);
  pending_.push_back(std::move(pending));
  answerPulls(now, out);
  nextExchange_ = std::min(nextExchange_, now + kGossipEvery);
}

// Pages as far as the bytes reach, each asker in turn.
void Members::answerPulls(Micros now, std::vector<Outgoing>& out) {
  while (!pending_.empty()) {
    Pending pending = std::move(pending_.front());
    pending_.erase(pending_.begin());
    Message page = make(Kind::Page, pending.nonce);
    std::vector<Update> entries;
    std::vector<std::size_t> ends;  // where in `missing` each entry ends
    for (std::size_t n = pending.told; n < pending.missing.size() && entries.size() < kMaxEntries; ++n) {
      const PeerId id = pending.missing[n];
      const auto found = members_.find(id);
      if (id != settings_.self && found == members_.end()) continue;
      Update update = id == settings_.self ? own() : found->second.update;
      // A suspicion goes by rumours, with its witnesses; here it is a life that is believed in.
      if (update.state == State::Suspect) update.state = State::Alive;
      entries.push_back(update);
      ends.push_back(n + 1);
    }
    std::vector<std::uint8_t> packed;
    const std::size_t fits = packEntries(entries, roomForEntries(page), packed);
    entries.resize(fits);
    const std::size_t told = fits > 0 ? ends[fits - 1] : pending.missing.size();
    const bool last = told >= pending.missing.size();
    page.pageFlags =
        static_cast<std::uint8_t>((last ? kLastPage : 0) | (last && pending.more ? kMorePages : 0));
    page.entries = std::move(entries);
    if (!send(pending.to, std::move(page), Need::Optional, now, out)) {
      pending_.insert(pending_.begin(), std::move(pending));
      return;
    }
    for (std::size_t n = pending.told; n < told; ++n) {
      const auto found = members_.find(pending.missing[n]);
      if (found != members_.end() && found->second.tellings > 0) --found->second.tellings;
    }
    pending.told = told;
    if (!last) pending_.push_back(std::move(pending));
  }
}

void Members::takePage(const Message& page, Micros now, std::vector<Outgoing>& out) {
  const auto found = std::find_if(pulled_.begin(), pulled_.end(), [&](const Pulled& one) {
    return one.nonce == page.nonce && one.from == page.sender;
  });
  // Not asked for, too late, or more than a pull brings: nothing is taken from it.
  if (found == pulled_.end() || ++found->pages > 2 * kPagesPerPull) return;
  lastHeard_ = std::max(lastHeard_.value_or(found->at), found->at);
  found->gained += takeEntries(page, now, out);
  if (found->gained >= kWorthwhile) {
    pullGap_ = kPullGap;
    nextPull_ = std::min(nextPull_, now + kPullGap);
  }
  if ((page.pageFlags & kLastPage) != 0) pulled_.erase(found);
}

// How many were news. Who tells of an earlier life than is known here is told more, as far as one datagram
// holds.
std::size_t Members::takeEntries(const Message& message, Micros now, std::vector<Outgoing>& out) {
  std::size_t gained = 0;
  std::vector<Update> corrections;
  std::optional<Update> doubtful;
  for (Update entry : message.entries) {
    // A rumour of a death is as old as its way; what a page tells may be from before a cut that has healed.
    // So it is one more witness, and the suspect is probed (as hashicorp/memberlist merges a remote state).
    if (message.kind == Kind::Page && entry.state == State::Dead && entry.witness != entry.id) {
      entry.state = State::Suspect;
      entry.witness = message.sender;
    }
    if (apply(entry, now)) {
      ++gained;
      continue;
    }
    const auto found = members_.find(entry.id);
    if (found == members_.end() || entry.id == message.sender) continue;
    const Update& known = found->second.update;
    if (known.incarnation > entry.incarnation && corrections.size() < kCorrections)
      corrections.push_back(known);
    const bool denied = known.incarnation == entry.incarnation && known.state == State::Dead &&
                        entry.state == State::Alive && !found->second.left();
    if (denied && message.kind == Kind::Page && (!doubtful || uniform() < 0.5)) doubtful = known;
  }
  // It can speak for itself: the ping tells it what to refute.
  if (doubtful) ping(doubtful->address, doubtful->id, Need::Optional, now, out);
  if (!corrections.empty() && compares(message.sender)) {
    Message answer = make(Kind::Rumours, ++lastNonce_);
    answer.entries = std::move(corrections);
    send(message.address, std::move(answer), Need::Optional, now, out);
  }
  return gained;
}

}  // namespace ivypost::peers
