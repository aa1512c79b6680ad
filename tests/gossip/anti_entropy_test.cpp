// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Anti-entropy: a single Members that receives replayed, excessive, outdated and unsolicited messages, and
// fleets on a simulated network.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "gossip/bloom_filter.h"
#include "gossip/members.h"
#include "scale/simulated_network.h"

namespace ivypost::gossip {
namespace {

// ---- A single member --------------------------------------------------------------------------------------

struct MembersFixture {
  Settings settings;
  Members members;
  std::vector<Outgoing> out;
  std::uint64_t sequence = 0;

  explicit MembersFixture(std::uint32_t bytesPerSecond = 1'000'000)
      : settings(makeSettings(bytesPerSecond)), members(settings, 7, 1000 * kSecond) {}
  static Settings makeSettings(std::uint32_t bytesPerSecond) {
    Settings settings;
    settings.self = 1;
    settings.address = {0x0a000001, 7946};
    settings.bytesPerSecond = bytesPerSecond;
    return settings;
  }
  Message messageFrom(PeerId sender, Kind kind, std::vector<Update> entries = {}) {
    Message message;
    message.kind = kind;
    message.sender = sender;
    message.incarnation = 10;
    message.address = {0x0a000000 + static_cast<std::uint32_t>(sender), 7946};
    message.sequence = ++sequence;
    message.entries = std::move(entries);
    return message;
  }
  // Receives a ping with a table that differs in every range, and returns the pull that follows.
  std::optional<Message> pullAfterPingOf(PeerId sender, Micros now) {
    Message ping = messageFrom(sender, Kind::Ping);
    ping.table = TableSummary{{1, 2, 3, 4}, 500, 0};
    members.receive(ping, now, out);
    out.clear();
    members.tick(now + kGossipInterval, out);
    for (const Outgoing& one : out)
      if (one.message.kind == Kind::Pull) return one.message;
    return std::nullopt;
  }
  std::optional<Update> updateOf(PeerId id) const {
    for (const Update& one : members.updates())
      if (one.id == id) return one;
    return std::nullopt;
  }
};

Update alive(PeerId id, std::uint64_t incarnation) {
  Update one{id, incarnation, {0x0a000000 + static_cast<std::uint32_t>(id), 7946}, State::Alive, 0};
  one.usesAntiEntropy = true;
  return one;
}

constexpr Micros kStart = 1000 * kSecond;

TEST(AntiEntropy, AcceptsAPageOnlyOnceAndOnlyWhenItWasPulled) {
  MembersFixture fixture;
  Message page = fixture.messageFrom(2, Kind::Page, {alive(3, 5)});
  page.nonce = 12345;
  fixture.members.receive(page, kStart, fixture.out);
  EXPECT_FALSE(fixture.updateOf(3)) << "not pulled";
  const auto pull = fixture.pullAfterPingOf(2, kStart + kSecond);
  ASSERT_TRUE(pull);
  Message stranger = fixture.messageFrom(9, Kind::Page, {alive(3, 5)});
  stranger.nonce = pull->nonce;
  fixture.members.receive(stranger, kStart + kSecond, fixture.out);
  EXPECT_FALSE(fixture.updateOf(3)) << "pulled from another member";
  Message answer = fixture.messageFrom(2, Kind::Page, {alive(3, 5)});
  answer.nonce = pull->nonce;
  answer.pageFlags = kLastPage;
  EXPECT_TRUE(fixture.members.receive(answer, kStart + kSecond + kGossipInterval, fixture.out));
  EXPECT_TRUE(fixture.updateOf(3));
  EXPECT_FALSE(fixture.members.receive(answer, kStart + kSecond + kGossipInterval, fixture.out))
      << "a replay";
  Message second = fixture.messageFrom(2, Kind::Page, {alive(4, 5)});
  second.nonce = pull->nonce;
  fixture.members.receive(second, kStart + kSecond + kGossipInterval, fixture.out);
  EXPECT_FALSE(fixture.updateOf(4)) << "after the last page";
}

TEST(AntiEntropy, RejectsPagesBeyondThoseOfAPull) {
  MembersFixture fixture;
  const auto pull = fixture.pullAfterPingOf(2, kStart + kSecond);
  ASSERT_TRUE(pull);
  for (PeerId id = 100; id < 130; ++id) {
    Message page = fixture.messageFrom(2, Kind::Page, {alive(id, 5)});
    page.nonce = pull->nonce;
    fixture.members.receive(page, kStart + kSecond + kGossipInterval, fixture.out);
  }
  EXPECT_EQ(fixture.members.knownCount(), 1 + 2 * kPagesPerPull);
}

// An update about an earlier incarnation of a member changes nothing, and its sender gets the later
// incarnation in the answer.
TEST(AntiEntropy, RejectsAndCorrectsAnEarlierIncarnation) {
  MembersFixture fixture;
  fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {alive(3, 7)}), kStart, fixture.out);
  fixture.out.clear();
  Update outdated = alive(3, 6);
  outdated.address = {0x0a0000ff, 1};
  fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {outdated, {3, 6, {}, State::Dead, 0}}),
                          kStart, fixture.out);
  ASSERT_TRUE(fixture.updateOf(3));
  EXPECT_EQ(fixture.updateOf(3)->incarnation, 7u);
  EXPECT_EQ(fixture.updateOf(3)->state, State::Alive);
  EXPECT_EQ(fixture.updateOf(3)->address, alive(3, 7).address);
  ASSERT_EQ(fixture.out.size(), 1u);
  EXPECT_EQ(fixture.out[0].message.kind, Kind::Rumours);
  EXPECT_EQ(fixture.out[0].message.entries.at(0).incarnation, 7u);
}

// A member that was forgotten or never known is not added by a report of its suspicion or death.
TEST(AntiEntropy, IgnoresTheDeathOfAnUnknownMember) {
  MembersFixture fixture;
  fixture.members.receive(
      fixture.messageFrom(
          2, Kind::Rumours,
          {{3, 7, {}, State::Dead, 0}, {4, 7, {}, State::Suspect, 9}, {5, 7, {}, State::Dead, 5}}),
      kStart, fixture.out);
  EXPECT_EQ(fixture.members.knownCount(), 1u);
}

// A member that refuted its death with a higher incarnation stays alive, even if the death is received again.
TEST(AntiEntropy, KeepsAMemberAliveThatRefutedItsDeath) {
  MembersFixture fixture;
  const Update death{3, 7, {}, State::Dead, 0};
  fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {alive(3, 7)}), kStart, fixture.out);
  fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {death}), kStart, fixture.out);
  EXPECT_FALSE(fixture.members.isReachable(3));
  fixture.members.receive(fixture.messageFrom(4, Kind::Rumours, {alive(3, 8)}), kStart, fixture.out);
  EXPECT_TRUE(fixture.members.isReachable(3));
  fixture.members.receive(fixture.messageFrom(5, Kind::Rumours, {death}), kStart, fixture.out);
  EXPECT_TRUE(fixture.members.isReachable(3));
}

// A page may date from before a partition that has healed, so a death in it makes a live member suspect, not
// dead.
TEST(AntiEntropy, TreatsADeathInAPageAsASuspicion) {
  MembersFixture fixture;
  fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {alive(3, 7)}), kStart, fixture.out);
  const auto pull = fixture.pullAfterPingOf(2, kStart + kMaxJoiningTime + kSecond);
  ASSERT_TRUE(pull);
  Message page = fixture.messageFrom(2, Kind::Page, {{3, 7, {}, State::Dead, 0}});
  page.nonce = pull->nonce;
  fixture.members.receive(page, kStart + kMaxJoiningTime + kSecond + kGossipInterval, fixture.out);
  EXPECT_EQ(fixture.updateOf(3)->state, State::Suspect);
  EXPECT_TRUE(fixture.members.isReachable(3));
}

TEST(AntiEntropy, AnswersAPullWithExactlyWhatItsFilterLacks) {
  MembersFixture fixture;
  std::set<PeerId> known = {1, 2};
  std::vector<Update> entries;
  for (PeerId id = 10; id < 50; ++id) {
    known.insert(id);
    fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {alive(id, 5)}), kStart, fixture.out);
  }
  Message pull = fixture.messageFrom(2, Kind::Pull);
  BloomFilter filter(20, pull.nonce);
  for (PeerId id = 10; id < 30; ++id) filter.add(mix(id ^ mix(5)));
  pull.filter = filter.bytes();
  fixture.out.clear();
  fixture.members.receive(pull, kStart, fixture.out);
  std::set<PeerId> sent;
  for (const Outgoing& page : fixture.out) {
    if (page.message.kind != Kind::Page) continue;
    for (const Update& entry : page.message.entries)
      EXPECT_TRUE(sent.insert(entry.id).second) << "duplicate entry " << entry.id;
  }
  for (PeerId id = 30; id < 50; ++id) EXPECT_EQ(sent.count(id), 1u) << id;
  EXPECT_EQ(sent.count(1), 1u) << "the own entry is sent too";
  EXPECT_EQ(sent.size(), 21u);
}

// A flood of pulls: the queue of answers stays bounded, and the answers stay within the byte budget.
TEST(AntiEntropy, StaysWithinItsBytesUnderAFloodOfPulls) {
  MembersFixture fixture(6000);
  for (PeerId id = 10; id < 200; ++id)
    fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {alive(id, 5)}), kStart, fixture.out);
  fixture.out.clear();
  std::size_t bytes = 0;
  for (Micros at = kStart; at < kStart + kSecond; at += 1000) {
    Message pull = fixture.messageFrom(10 + static_cast<PeerId>(at / 1000 % 100), Kind::Pull);
    pull.filter = BloomFilter(1, 0).bytes();
    fixture.members.receive(pull, at, fixture.out);
    fixture.members.tick(at, fixture.out);
    for (const Outgoing& sent : std::exchange(fixture.out, {}))
      bytes += encode(sent.message).size() + kSealBytes + kDatagramOverhead;
  }
  EXPECT_LE(bytes, 6000u);
  EXPECT_GT(bytes, 4000u);
}

TEST(AntiEntropy, RejectsNewMembersWhenTheTableIsFull) {
  MembersFixture fixture;
  std::vector<Update> entries;
  for (PeerId id = 10; id < 10 + kMaxMembers + 50; ++id) {
    entries.push_back(alive(id, 5));
    if (entries.size() < 10) continue;
    fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, std::exchange(entries, {})), kStart,
                            fixture.out);
  }
  EXPECT_EQ(fixture.members.knownCount(), kMaxMembers);
  EXPECT_TRUE(fixture.members.isFull());
  EXPECT_TRUE(fixture.members.isReachable(10)) << "members already known are kept";
}

// ---- Merging ----------------------------------------------------------------------------------------------

// Updates in any order and any multiplicity produce the same table.
RC_GTEST_PROP(AntiEntropy, MergesTheSameInAnyOrder, ()) {
  constexpr PeerId kFirst = 10, kLast = 14;
  const auto received = *rc::gen::container<std::vector<Update>>(
      rc::gen::map(rc::gen::tuple(rc::gen::inRange<PeerId>(kFirst, kLast),
                                  rc::gen::inRange<std::uint64_t>(1, 5), rc::gen::inRange(0, 3)),
                   [](const auto& parts) {
                     const auto& [id, incarnation, state] = parts;
                     Update one = alive(id, incarnation);
                     one.state = static_cast<State>(state);
                     if (one.state == State::Suspect) one.witness = 99;
                     return one;
                   }));
  auto other = received;
  other.insert(other.end(), received.begin(), received.end());
  std::shuffle(other.begin(), other.end(), std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
  const auto tableAfter = [&](const std::vector<Update>& updates) {
    MembersFixture fixture;
    for (PeerId id = kFirst; id < kLast; ++id)
      fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {alive(id, 0)}), kStart, fixture.out);
    for (const Update& update : updates)
      fixture.members.receive(fixture.messageFrom(2, Kind::Rumours, {update}), kStart, fixture.out);
    std::vector<std::pair<std::uint64_t, State>> table;
    for (PeerId id = kFirst; id < kLast; ++id)
      table.emplace_back(fixture.updateOf(id)->incarnation, fixture.updateOf(id)->state);
    return table;
  };
  RC_ASSERT(tableAfter(received) == tableAfter(other));
}

// ---- Fleets -----------------------------------------------------------------------------------------------

bool allReach(SimulatedNetwork& net, std::size_t count) {
  return net.all([&](Members& one) { return one.reachableCount() == count && !one.isIsolated(net.now); });
}

// Four sidecars are paused during the initial exchange of tables, for longer than it takes to declare them
// dead.
TEST(AntiEntropy, ConvergesAfterAPauseInTheMiddle) {
  SimulatedNetwork net(21);
  for (std::size_t n = 0; n < 60; ++n) net.start(n, 60);
  net.run(kSecond);
  for (std::size_t n = 10; n < 14; ++n) net.pause(n);
  net.run(30 * kSecond);
  net.all([](Members& one) { return one.takeChanges(), true; });
  for (std::size_t n = 10; n < 14; ++n) net.resume(n);
  for (std::size_t n = 10; n < 14; ++n) EXPECT_TRUE(net.at(n).isIsolated(net.now));
  EXPECT_TRUE(net.until([&] { return allReach(net, 60); }, 8 * kSecond));
  std::set<PeerId> paused;
  for (std::size_t n = 10; n < 14; ++n) paused.insert(SimulatedNetwork::idAt(n));
  net.all([&](Members& one) {
    for (const Change& change : one.takeChanges())
      EXPECT_TRUE(change.state != State::Dead || paused.count(change.id) > 0);
    return true;
  });
}

// Sidecars with and without anti-entropy in one fleet reach each other, also after deaths and restarts.
TEST(AntiEntropy, ConvergesAndDetectsADeathInAMixedFleet) {
  SimulatedNetwork net(23);
  for (std::size_t n = 0; n < 24; ++n)
    net.start(n, 24, [&](Settings& settings) { settings.antiEntropy = n % 2 == 0; });
  ASSERT_TRUE(net.until([&] { return allReach(net, 24); }, 20 * kSecond));
  net.kill(4);
  net.kill(5);
  EXPECT_TRUE(net.until([&] { return allReach(net, 22); }, 20 * kSecond));
  net.start(4, 24, [&](Settings& settings) { settings.antiEntropy = false; });  // sidecar 4 is downgraded
  net.start(5, 24);
  EXPECT_TRUE(net.until([&] { return allReach(net, 24); }, 20 * kSecond));
}

// A region with three of twelve sidecars is cut off: no sidecar is isolated, since each reaches its whole
// region. Without regions, the three sidecars that are cut off are isolated.
TEST(AntiEntropy, IsNotIsolatedWhileItsRegionIsReachable) {
  for (const bool regions : {true, false}) {
    SimulatedNetwork net(25);
    for (std::size_t n = 0; n < 12; ++n)
      net.start(n, 12, [&](Settings& settings) {
        if (!regions) return;
        settings.region = n < 3 ? 2 : 1;
        settings.regionExpected = n < 3 ? 3 : 9;
      });
    ASSERT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
    net.faults.passes = [](std::size_t from, std::size_t to) { return (from < 3) == (to < 3); };
    bool isIsolated = false;
    for (int n = 0; n < 40; ++n) {
      net.run(500 * kMs);
      isIsolated = isIsolated || !net.all([&](Members& one) { return !one.isIsolated(net.now); });
    }
    EXPECT_EQ(isIsolated, !regions);
    net.run(70 * kSecond);  // longer than the others keep dead members; both seeds are on one side
    net.faults.passes = nullptr;
    EXPECT_TRUE(net.until([&] { return allReach(net, 12); }, 8 * kSecond)) << regions;
  }
}

// The seeds are killed and the fleet is partitioned into two sides. After an hour the sides reconnect by the
// addresses that they keep of forgotten members.
TEST(AntiEntropy, ReconnectsTwoSidesWithoutSeedsAfterAnHour) {
  SimulatedNetwork net(27);
  for (std::size_t n = 0; n < 10; ++n) net.start(n, 10);
  ASSERT_TRUE(net.until([&] { return allReach(net, 10); }, 10 * kSecond));
  for (std::size_t n = 0; n < 3; ++n) net.kill(n);  // the seeds
  net.run(10 * kSecond);
  net.faults.passes = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
  net.run(3600 * kSecond);
  EXPECT_TRUE(net.all([](Members& one) { return one.reachableCount() < 7; }));
  net.faults.passes = nullptr;
  EXPECT_TRUE(net.until([&] { return allReach(net, 7); }, 30 * kSecond));
}

}  // namespace
}  // namespace ivypost::gossip
