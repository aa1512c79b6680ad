// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Anti-entropy (Demers et al. 1987): sidecars compare digests of their member tables and pull the entries
// that differ. Its messages may be omitted, lost, duplicated or delayed: merging entries is idempotent and
// commutative.
#include <algorithm>
#include <bit>
#include <optional>
#include <utility>

#include "gossip/entry_codec.h"
#include "gossip/members.h"

namespace ivypost::gossip {
namespace {

constexpr std::uint8_t kRangeBits = 2;
static_assert(kRanges == 1U << kRangeBits);
constexpr unsigned kIdBits = 64;
// The most members that one filter covers. Beyond it, at under five bits per member, a filter has too many
// false positives.
constexpr std::size_t kMaxFilteredMembers = 8 * BloomFilter::kMaxBytes / 5;
// After a pull that gained this many entries the next one follows without backoff.
constexpr std::size_t kProductivePullGain = 4;
// The time from a suspicion to its refutation in simulated fleets of up to 1,320 sidecars.
constexpr Micros kRefutationTime = 1'000'000;
// The most corrections of outdated incarnations sent in answer to one message; they share one datagram.
constexpr std::size_t kMaxCorrections = 8;

// The key of a member's incarnation in digests and Bloom filters.
std::uint64_t incarnationKey(const Update& update) {
  return mix(update.id ^ mix(update.incarnation));
}

std::size_t rangeOf(PeerId id, std::uint8_t bits) {
  return bits == 0 ? 0 : static_cast<std::size_t>(mix(id) >> (kIdBits - bits));
}

bool isInRange(PeerId id, const Range& range) {
  return rangeOf(id, range.bits) == range.index;
}

}  // namespace

Update Members::ownUpdate() const {
  Update update{settings_.self, settings_.incarnation, settings_.address, State::Alive, 0};
  update.region = settings_.region;
  update.usesAntiEntropy = settings_.antiEntropy;
  return update;
}

bool Members::usesAntiEntropy(PeerId id) const {
  const auto found = members_.find(id);
  return settings_.antiEntropy && found != members_.end() && found->second.update.usesAntiEntropy;
}

// Dead members are left out of the digests: sidecars forget them at different times, and a sidecar that never
// knew a dead member need not learn of it. Digests differ where only one side considers an incarnation alive.
TableSummary Members::table() {
  if (tableChanged_) {
    tableChanged_ = false;
    table_ = TableSummary();
    table_.region = settings_.region;
    table_.reachable = static_cast<std::uint16_t>(reachableCount());
    const auto add = [&](const Update& update) {
      table_.digests.at(rangeOf(update.id, kRangeBits)) ^= static_cast<std::uint32_t>(incarnationKey(update));
    };
    add(ownUpdate());
    for (const auto& [id, member] : members_)
      if (member.update.state != State::Dead) add(member.update);
  }
  return table_;
}

void Members::compareTables(const Message& message, Micros now) {
  if (!message.table) return;
  maxReportedReachable_ = std::max(maxReportedReachable_, message.table->reachable);
  const TableSummary mine = table();
  std::uint8_t ranges = 0;
  for (std::size_t n = 0; n < kRanges; ++n)
    if (mine.digests.at(n) != message.table->digests.at(n)) ranges |= static_cast<std::uint8_t>(1U << n);
  std::erase_if(differingTables_, [&](const DifferingTable& one) { return one.id == message.sender; });
  if (ranges == 0) return halveTransmissions();
  if (differingTables_.size() == kMaxDifferingTables) differingTables_.erase(differingTables_.begin());
  differingTables_.push_back({message.sender, ranges, now});
}

bool Members::hasAntiEntropyWork() const {
  return settings_.antiEntropy &&
         (hasPendingUpdates_ || !pendingAnswers_.empty() || !differingTables_.empty());
}

bool Members::isJoining(Micros now) const {
  if (!settings_.antiEntropy || now - startedAt_ > kMaxJoiningTime) return false;
  return now - startedAt_ < kMinJoiningTime ||
         static_cast<double>(reachableCount()) < kJoinedFraction * static_cast<double>(maxReportedReachable_);
}

void Members::runAntiEntropy(Micros now, std::vector<Outgoing>& out) {
  nextAntiEntropy_ = now + kGossipInterval;
  std::erase_if(differingTables_, [&](const DifferingTable& one) {
    return now - one.at > kDifferingTableLifetime || !isReachable(one.id) || !usesAntiEntropy(one.id);
  });
  std::erase_if(outstandingPulls_, [&](const OutstandingPull& one) { return now - one.at > kPullTimeout; });
  std::erase_if(pendingAnswers_, [&](const PendingAnswer& one) { return now > one.until; });
  sendRumours(now, out);
  sendPull(now, out);
  sendPages(now, out);
}

void Members::sendPull(Micros now, std::vector<Outgoing>& out) {
  if (outstandingPulls_.size() >= kMaxOutstandingPulls || now < nextPull_) return;
  const auto source = choosePullSource(now);
  if (!source) return;
  const auto found = members_.find(source->id);
  if (found == members_.end()) return;
  Message message = makeMessage(Kind::Pull, ++lastNonce_);
  message.table = table();
  message.range = choosePullRange(source->ranges);
  message.filter = filterOver(message.range, message.nonce).bytes();
  const std::uint32_t nonce = message.nonce;
  const std::size_t bytes = encode(message).size() + kSealBytes + kDatagramOverhead;
  if (!pullBudget_.take(bytes, now)) return;
  if (!send(found->second.update.address, std::move(message), Need::Optional, now, out)) return;
  outstandingPulls_.push_back({nonce, source->id, now, 0, 0});
  nextPull_ = now + pullInterval_;
  pullInterval_ = std::min(2 * pullInterval_, kMaxPullInterval);
}

std::optional<Members::DifferingTable> Members::choosePullSource(Micros now) {
  if (!isJoining(now)) {
    if (differingTables_.empty()) return std::nullopt;
    return differingTables_[static_cast<std::size_t>(uniform() *
                                                     static_cast<double>(differingTables_.size()))];
  }
  // A sidecar that has just started lacks entries that every other one has, and its pull makes it known to
  // the member that it asks. Members that it has received no message from come first: they may not have been
  // contacted by any sidecar yet.
  auto anybody = pickRandomAlive(kMaxMembers, settings_.self);
  std::erase_if(anybody, [](const Member* one) { return !one->update.usesAntiEntropy; });
  if (anybody.empty()) return std::nullopt;
  const auto silent = std::find_if(anybody.begin(), anybody.end(),
                                   [](const Member* one) { return one->windowIncarnation == 0; });
  const Member* const source = silent != anybody.end() ? *silent : anybody.front();
  return DifferingTable{source->update.id, (1U << kRanges) - 1, now};
}

Range Members::choosePullRange(std::uint8_t ranges) {
  Range range;
  if (reachableCount() <= kMaxFilteredMembers && std::popcount(ranges) != 1) return range;
  range.bits = kRangeBits;
  do {
    range.index = static_cast<std::uint8_t>(uniform() * static_cast<double>(kRanges));
  } while ((ranges >> range.index & 1) == 0);
  while (reachableCount() >> range.bits > kMaxFilteredMembers && range.bits < kMaxRangeBits) {
    ++range.bits;
    range.index = static_cast<std::uint8_t>(range.index << 1 | (flipCoin() ? 0U : 1U));
  }
  return range;
}

BloomFilter Members::filterOver(const Range& range, std::uint32_t salt) const {
  BloomFilter filter(reachableCount() >> range.bits, salt);
  if (isInRange(settings_.self, range)) filter.add(incarnationKey(ownUpdate()));
  for (const auto& [id, member] : members_)
    if (member.update.state != State::Dead && isInRange(id, range)) filter.add(incarnationKey(member.update));
  return filter;
}

void Members::answerPull(const Message& pull, Micros now, std::vector<Outgoing>& out) {
  std::erase_if(pendingAnswers_, [&](const PendingAnswer& one) { return one.puller == pull.sender; });
  if (pendingAnswers_.size() == kMaxPendingAnswers) return;
  const BloomFilter filter(pull.filter, pull.nonce);
  PendingAnswer pending{pull.nonce, pull.sender, pull.address, now + kPullTimeout, {}, 0, false};
  const auto consider = [&](const Update& update) {
    if (!isInRange(update.id, pull.range) || update.id == pull.sender) return;
    // A death is sent only if the filter holds the incarnation, so that the puller considers it alive.
    if (filter.holds(incarnationKey(update)) == (update.state == State::Dead))
      pending.missing.push_back(update.id);
  };
  consider(ownUpdate());
  for (const auto& [id, member] : members_) consider(member.update);
  // The least transmitted entries come first, since the fewest sidecars know them; ties are broken at random.
  const auto rank = [&](PeerId id) {
    const auto found = members_.find(id);
    return std::pair(found == members_.end() ? 0 : ~found->second.transmissionsLeft, mix(id ^ pull.nonce));
  };
  const std::size_t most = std::min(pending.missing.size(), kPagesPerPull * kMaxEntries);
  std::partial_sort(pending.missing.begin(), pending.missing.begin() + static_cast<std::ptrdiff_t>(most),
                    pending.missing.end(), [&](PeerId a, PeerId b) { return rank(a) < rank(b); });
  pending.isTruncated = pending.missing.size() > most;
  pending.missing.resize(most);
  pendingAnswers_.push_back(std::move(pending));
  sendPages(now, out);
  nextAntiEntropy_ = std::min(nextAntiEntropy_, now + kGossipInterval);
}

// Sends pages to the pending pulls in round-robin order until the byte budget is exhausted.
void Members::sendPages(Micros now, std::vector<Outgoing>& out) {
  while (!pendingAnswers_.empty()) {
    PendingAnswer pending = std::move(pendingAnswers_.front());
    pendingAnswers_.erase(pendingAnswers_.begin());
    Message page = makeMessage(Kind::Page, pending.nonce);
    const std::size_t sentUntil = fillPage(page, pending);
    const bool isLast = sentUntil >= pending.missing.size();
    if (!send(pending.to, std::move(page), Need::Optional, now, out)) {
      pendingAnswers_.insert(pendingAnswers_.begin(), std::move(pending));
      return;
    }
    for (std::size_t n = pending.sent; n < sentUntil; ++n) {
      const auto found = members_.find(pending.missing[n]);
      if (found != members_.end() && found->second.transmissionsLeft > 0) --found->second.transmissionsLeft;
    }
    pending.sent = sentUntil;
    if (!isLast) pendingAnswers_.push_back(std::move(pending));
  }
}

std::size_t Members::fillPage(Message& page, const PendingAnswer& pending) const {
  std::vector<Update> entries;
  std::vector<std::size_t> ends;  // for each entry, the index in `missing` after it
  for (std::size_t n = pending.sent; n < pending.missing.size() && entries.size() < kMaxEntries; ++n) {
    const PeerId id = pending.missing[n];
    const auto found = members_.find(id);
    if (id != settings_.self && found == members_.end()) continue;
    Update update = id == settings_.self ? ownUpdate() : found->second.update;
    // Suspicions are disseminated as rumours, with their witnesses; a page lists the suspect as alive.
    if (update.state == State::Suspect) update.state = State::Alive;
    entries.push_back(update);
    ends.push_back(n + 1);
  }
  std::vector<std::uint8_t> packed;
  const std::size_t fits = packEntries(entries, roomForEntries(page), packed);
  entries.resize(fits);
  const std::size_t sentUntil = fits > 0 ? ends[fits - 1] : pending.missing.size();
  const bool isLast = sentUntil >= pending.missing.size();
  page.pageFlags =
      static_cast<std::uint8_t>((isLast ? kLastPage : 0) | (isLast && pending.isTruncated ? kTruncated : 0));
  page.entries = std::move(entries);
  return sentUntil;
}

void Members::receivePage(const Message& page, Micros now, std::vector<Outgoing>& out) {
  const auto found = std::find_if(
      outstandingPulls_.begin(), outstandingPulls_.end(),
      [&](const OutstandingPull& one) { return one.nonce == page.nonce && one.from == page.sender; });
  // A page that answers no outstanding pull, or exceeds the pages allowed for one, is ignored.
  if (found == outstandingPulls_.end() || ++found->pages > 2 * kPagesPerPull) return;
  lastAnsweredPingAt_ = std::max(lastAnsweredPingAt_.value_or(found->at), found->at);
  found->gained += mergeEntries(page, now, out);
  if (found->gained >= kProductivePullGain) {
    pullInterval_ = kPullInterval;
    nextPull_ = std::min(nextPull_, now + kPullInterval);
  }
  if ((page.pageFlags & kLastPage) != 0) outstandingPulls_.erase(found);
}

std::size_t Members::mergeEntries(const Message& message, Micros now, std::vector<Outgoing>& out) {
  std::size_t gained = 0;
  std::vector<Update> corrections;
  std::optional<Update> doubtful;
  for (const Update& received : message.entries) {
    const Update entry =
        message.kind == Kind::Page ? treatDeathAsSuspicion(received, message.sender, now) : received;
    if (apply(entry, now)) {
      ++gained;
      continue;
    }
    const auto found = members_.find(entry.id);
    if (found == members_.end() || entry.id == message.sender) continue;
    const Update& held = found->second.update;
    if (held.incarnation > entry.incarnation && corrections.size() < kMaxCorrections)
      corrections.push_back(held);
    const bool isDenied = held.incarnation == entry.incarnation && held.state == State::Dead &&
                          entry.state == State::Alive && !found->second.hasLeft();
    if (isDenied && message.kind == Kind::Page && (!doubtful || flipCoin())) doubtful = held;
  }
  // The page's sender considers `doubtful` alive, but this sidecar considers it dead. The ping carries the
  // death, so that the member refutes it if it still runs.
  if (doubtful) ping(doubtful->address, doubtful->id, Need::Optional, now, out);
  if (!corrections.empty() && usesAntiEntropy(message.sender)) {
    Message answer = makeMessage(Kind::Rumours, ++lastNonce_);
    answer.entries = std::move(corrections);
    send(message.address, std::move(answer), Need::Optional, now, out);
  }
  return gained;
}

// A death in a rumour is recent, but one in a page may date from before a partition that has healed. The
// latter therefore counts as a suspicion witnessed by the sender, which gets the member probed (as
// hashicorp/memberlist merges remote state), unless the member has been suspected here for longer than a
// refutation takes.
Update Members::treatDeathAsSuspicion(const Update& entry, PeerId sender, Micros now) const {
  if (entry.state != State::Dead || entry.witness == entry.id) return entry;
  const auto known = members_.find(entry.id);
  const bool isUnrefuted = known != members_.end() && known->second.update.state == State::Suspect &&
                           now - known->second.stateSince >= kRefutationTime;
  if (isUnrefuted) return entry;
  Update suspicion = entry;
  suspicion.state = State::Suspect;
  suspicion.witness = sender;
  return suspicion;
}

}  // namespace ivypost::gossip
