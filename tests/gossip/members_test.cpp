// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/members.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "scale/simulated_network.h"

namespace ivypost::gossip {
namespace {

void startAll(SimulatedNetwork& net, std::size_t count) {
  for (std::size_t n = 0; n < count; ++n) net.start(n, static_cast<std::uint32_t>(count));
}

bool allReach(SimulatedNetwork& net, std::size_t count) {
  return net.all([&](Members& one) { return one.reachableCount() == count && !one.isIsolated(net.now); });
}

TEST(Members, FindEachOtherAndAgreeOnOwnersAfterAStart) {
  SimulatedNetwork net(1);
  startAll(net, 12);
  EXPECT_TRUE(net.at(5).isIsolated(net.now)) << "before it received a message";
  ASSERT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
  std::map<PeerId, int> keysByOwner;
  for (std::uint64_t key = 1; key <= 600; ++key) {
    const PeerId owner = net.at(0).ownerOf(key);
    EXPECT_TRUE(net.all([&](Members& one) { return one.ownerOf(key) == owner; }));
    ++keysByOwner[owner];
  }
  EXPECT_EQ(keysByOwner.size(), 12u);
  for (const auto& [id, count] : keysByOwner)
    EXPECT_LT(count, 100);  // 50 keys per member are expected, plus random variation
}

TEST(Members, DetectADeathWithinItsTimeAndReassignOwnership) {
  for (const std::size_t count : {2, 3, 12, 48}) {
    SimulatedNetwork net(count);
    startAll(net, count);
    ASSERT_TRUE(net.until([&] { return allReach(net, count); }, 20 * kSecond)) << count;
    const PeerId killed = SimulatedNetwork::idAt(1);
    net.kill(1);
    // Each member is probed within as many periods as there are members. A failed probe starts a suspicion,
    // which lasts longest if it has few witnesses.
    ASSERT_TRUE(net.until([&] { return net.all([&](Members& one) { return !one.isReachable(killed); }); },
                          20 * kSecond))
        << count;
    for (std::uint64_t key = 1; key <= 100; ++key)
      EXPECT_TRUE(net.all([&](Members& one) { return one.ownerOf(key) != killed; }));
  }
}

// Packet loss at rates that occur in networks does not lead to false deaths.
TEST(Members, DeclareNobodyDeadUnderPacketLoss) {
  for (const double loss : {0.01, 0.05, 0.1}) {
    SimulatedNetwork net(7);
    startAll(net, 24);
    ASSERT_TRUE(net.until([&] { return allReach(net, 24); }, 20 * kSecond));
    net.all([](Members& one) { return one.takeChanges(), true; });
    net.faults.loss = loss;
    net.faults.doubled = 0.1;
    net.faults.jitter = 30 * kMs;
    net.run(60 * kSecond);
    int dead = 0;
    net.all([&](Members& one) {
      for (const Change& change : one.takeChanges()) dead += change.state == State::Dead;
      return true;
    });
    EXPECT_EQ(dead, 0) << loss;
  }
}

// Two halves can't reach each other for up to 10 s, until each has declared the other dead: both continue
// separately, and merge when the partition heals.
TEST(Members, SplitInAPartitionAndMergeWhenItHeals) {
  SimulatedNetwork net(3);
  startAll(net, 12);
  ASSERT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
  net.faults.passes = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
  ASSERT_TRUE(net.until([&] { return net.all([](Members& one) { return one.reachableCount() == 6; }); },
                        10 * kSecond));
  EXPECT_TRUE(net.all([&](Members& one) { return !one.isIsolated(net.now); }))
      << "half of the fleet is a quorum";
  EXPECT_EQ(net.at(0).ownerOf(99), net.at(2).ownerOf(99));
  net.faults.passes = nullptr;
  EXPECT_TRUE(net.until([&] { return allReach(net, 12); }, 8 * kSecond));
}

// A member is isolated if it receives nothing, if it can't send, or if it receives from a single other member
// only. A member that can't send to one other member is not isolated.
TEST(Members, AreIsolatedByTheirOwnClockWhenCutOff) {
  const struct {
    const char* what;
    std::function<bool(std::size_t, std::size_t)> passes;
    bool isIsolated;
  } rows[] = {
      {"receives nothing", [](std::size_t, std::size_t to) { return to != 4; }, true},
      {"cannot send", [](std::size_t from, std::size_t) { return from != 4; }, true},
      {"receives from one member only", [](std::size_t from, std::size_t to) { return to != 4 || from == 5; },
       true},
      {"cannot send to one member", [](std::size_t from, std::size_t to) { return from != 4 || to != 5; },
       false},
  };
  for (const auto& row : rows) {
    SimulatedNetwork net(11);
    startAll(net, 12);
    ASSERT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
    net.faults.passes = row.passes;
    // Member 4 is isolated after the time isolatedAfter without an answer, or after the same time without a
    // quorum.
    net.until([&] { return net.at(4).isIsolated(net.now); }, 40 * kSecond);
    EXPECT_EQ(net.at(4).isIsolated(net.now), row.isIsolated) << row.what;
    for (std::size_t n = 0; n < 12; ++n)
      EXPECT_FALSE(n != 4 && net.at(n).isIsolated(net.now)) << row.what << " " << n;
  }
}

// After a pause of the process a member is isolated before it has read any message, and remains so when it
// reads answers that the kernel queued during the pause.
TEST(Members, AreIsolatedRightAfterAPauseOfTheProcess) {
  for (const Micros pause : {5 * kSecond, 30 * kSecond}) {
    SimulatedNetwork net(5);
    startAll(net, 12);
    ASSERT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
    for (std::size_t n = 0; n < 4; ++n) net.pause(n);
    net.run(pause);
    for (std::size_t n = 0; n < 4; ++n) EXPECT_TRUE(net.at(n).isIsolated(net.now)) << n;
    net.all([](Members& one) { return one.takeChanges(), true; });
    for (std::size_t n = 0; n < 4; ++n) net.resume(n);
    for (std::size_t n = 0; n < 4; ++n)
      EXPECT_TRUE(net.at(n).isIsolated(net.now)) << n << " after reading old answers";
    EXPECT_TRUE(net.until([&] { return allReach(net, 12); }, 5 * kSecond)) << pause;
    // No member other than the paused ones is declared dead.
    std::set<PeerId> paused;
    for (std::size_t n = 0; n < 4; ++n) paused.insert(SimulatedNetwork::idAt(n));
    for (std::size_t n = 0; n < 12; ++n)
      for (const Change& change : net.at(n).takeChanges())
        EXPECT_TRUE(change.state != State::Dead || paused.count(change.id) > 0);
  }
}

TEST(Members, FindEachOtherWhenTheSeedsComeUpAfterAMinute) {
  SimulatedNetwork net(9);
  startAll(net, 12);
  net.faults.passes = [](std::size_t, std::size_t to) { return to > 2; };  // the seeds receive nothing
  net.run(60 * kSecond);
  EXPECT_TRUE(net.all([&](Members& one) { return one.isIsolated(net.now); }));
  net.faults.passes = nullptr;
  EXPECT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
}

// A member restarts under the same name, once with a higher incarnation and once with a lower one because its
// clock was set back.
TEST(Members, AcceptANewIncarnationAfterAHundredMilliseconds) {
  for (const std::uint64_t incarnation : {std::uint64_t{0}, std::uint64_t{1}}) {
    SimulatedNetwork net(13);
    startAll(net, 6);
    ASSERT_TRUE(net.until([&] { return allReach(net, 6); }, 10 * kSecond));
    net.kill(3);
    net.run(100 * kMs);
    net.start(3, 6, [&](Settings& s) {
      if (incarnation > 0) s.incarnation = incarnation;
    });
    EXPECT_TRUE(net.until([&] { return allReach(net, 6); }, 5 * kSecond)) << incarnation;
    net.run(10 * kSecond);
    EXPECT_TRUE(allReach(net, 6)) << incarnation;
  }
}

TEST(Members, AreIsolatedWhenTwoProcessesShareAName) {
  SimulatedNetwork net(17);
  startAll(net, 6);
  ASSERT_TRUE(net.until([&] { return allReach(net, 6); }, 10 * kSecond));
  net.start(6, 6, [](Settings& s) { s.self = SimulatedNetwork::idAt(2); });
  ASSERT_TRUE(
      net.until([&] { return net.at(2).hasNameConflict(net.now) && net.at(6).hasNameConflict(net.now); },
                10 * kSecond));
  EXPECT_TRUE(net.at(2).isIsolated(net.now));
  EXPECT_TRUE(net.at(6).isIsolated(net.now));
  EXPECT_FALSE(net.at(0).isIsolated(net.now));
  net.kill(6);
  EXPECT_TRUE(net.until([&] { return allReach(net, 6); }, 20 * kSecond));
}

TEST(Members, DoNotCountMembersThatLeft) {
  SimulatedNetwork net(19);
  startAll(net, 12);
  ASSERT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
  for (std::size_t n = 4; n < 12; ++n) {
    std::vector<Outgoing> out;
    net.at(n).leave(net.now, out);
    for (const Outgoing& one : out) net.inject(one.to.ip - SimulatedNetwork::addressOf(0).ip, one.message);
    net.kill(n);
  }
  EXPECT_TRUE(net.until([&] { return allReach(net, 4); }, 3 * kSecond));
  EXPECT_DOUBLE_EQ(net.at(0).reachableFraction(), 1.0);
  EXPECT_EQ(net.at(0).knownCount(), 3u);
  // Guards against a fault that the fuzz target found: a member that had left and returned was not counted as
  // known.
  for (std::size_t n = 4; n < 12; ++n) net.start(n, 12);
  EXPECT_TRUE(net.until([&] { return allReach(net, 12); }, 10 * kSecond));
  EXPECT_TRUE(net.all([](Members& one) { return one.knownCount() == 11; }));
}

// The bytes that a member sends per second don't grow with the fleet, even if the configured fleet size is
// four times too large or too small.
TEST(Members, StayWithinBytesPerSecond) {
  std::map<std::size_t, double> bytes;
  for (const std::size_t count : {2, 12, 48, 300}) {
    SimulatedNetwork net(count);
    for (std::size_t n = 0; n < count; ++n)
      net.start(n, static_cast<std::uint32_t>(n % 2 == 0 ? 4 * count : (count + 3) / 4));
    ASSERT_TRUE(net.until([&] { return allReach(net, count); }, 120 * kSecond, kSecond)) << count;
    net.sentBytes = 0;
    net.run(10 * kSecond);
    bytes[count] = static_cast<double>(net.sentBytes) / static_cast<double>(count) / 10;
  }
  for (const auto& [count, each] : bytes) EXPECT_LT(each, 2500) << count;
  EXPECT_LT(bytes[300], 2 * bytes[12]);
}

// Guards against unbounded growth of the member table.
TEST(Members, RejectNewMembersWhenTheTableIsFull) {
  Settings settings;
  settings.self = 1;
  Members members(settings, 1, 0);
  std::vector<Outgoing> out;
  Message message;
  message.kind = Kind::Nack;
  for (std::size_t n = 0; n < kMaxMembers + 10; ++n) {
    message.sender = 2 + n;
    message.sequence = 1;
    EXPECT_EQ(members.receive(message, 0, out), n < kMaxMembers);
  }
  EXPECT_EQ(members.knownCount(), kMaxMembers);
}

// Guards against unbounded growth of the probe order when a member dies and returns many times within a
// period.
TEST(Members, KeepTheProbeQueueBoundedWhenMembersFlap) {
  for (const bool antiEntropy : {false, true}) {
    Settings settings;
    settings.self = 1;
    settings.antiEntropy = antiEntropy;
    Members members(settings, 1, 0);
    std::vector<Outgoing> out;
    Message message;
    message.kind = Kind::Announce;
    message.sender = 2;
    for (std::uint64_t n = 1; n <= 2 * kMaxMembers; ++n) {
      message.sequence = n;
      message.updates = {{3, n, {}, State::Alive, 0}, {3, n, {}, State::Dead, 2}};
      members.receive(message, 0, out);
      members.takeChanges();
    }
    EXPECT_EQ(members.probeQueueSize(), kMaxMembers);
    // The pings that answer announcements stay within the limit of their token bucket, or, with anti-entropy,
    // of the byte budget.
    std::size_t bytes = 0;
    for (const Outgoing& one : out) bytes += encode(one.message).size() + kSealBytes + kDatagramOverhead;
    if (antiEntropy) {
      EXPECT_GT(out.size(), 0u);
      EXPECT_LE(static_cast<double>(bytes), (kDepthFraction + kDebtFraction) * settings.bytesPerSecond);
    } else {
      EXPECT_EQ(out.size(), static_cast<std::size_t>(kAnnouncementFanOut * kAnnouncementsPerSecond));
    }
  }
}

TEST(Members, DropReplaysAndIgnoreUnsolicitedAnswers) {
  Settings settings;
  settings.self = 1;
  Members members(settings, 1, 0);
  std::vector<Outgoing> out;
  Message message;
  message.kind = Kind::Ping;
  message.sender = 2;
  message.sequence = 5;
  EXPECT_TRUE(members.receive(message, 0, out));
  EXPECT_EQ(out.size(), 1u);
  EXPECT_FALSE(members.receive(message, 0, out)) << "a replay";
  EXPECT_EQ(out.size(), 1u);
  message.kind = Kind::Ack;
  message.sequence = 6;
  message.nonce = 12345;
  EXPECT_FALSE(members.elapsedSincePing(message, 0));
  EXPECT_TRUE(members.receive(message, 0, out));
  EXPECT_TRUE(members.isIsolated(0)) << "an unsolicited ack does not count";
}

}  // namespace
}  // namespace ivypost::gossip
