// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Sidecar processes in regions and zones: a region that is cut off, zones that lose half of their sidecars,
// one-way packet loss, a long pause, a change of region at SIGHUP, and members of an older version. The state
// of each sidecar over time is taken from GET /status/peers and its log.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet_run.h"

namespace ivypost::fleet {
namespace {

// Members in the test's process. They are destroyed with the run's io_context, so a test may read them only
// during the run.
using Guests = std::vector<std::shared_ptr<gossip::Transport>>;

// The bound for the time from the end of a fault until all sidecars reach each other: 8 s at 660 sidecars,
// and slack for a busy machine.
constexpr Micros kMaxConvergenceTime = 10 * kSecond;

std::string event(const std::string& at, const std::string& what, const std::string& keys) {
  return "[[event]]\nat = \"" + at + "\"\ndo = \"" + what + "\"\n" + keys + "\n";
}

// The numbers from `first` to `last`, as a list in the scenario's syntax.
std::string numberList(std::uint32_t first, std::uint32_t last) {
  std::string list = "[";
  for (std::uint32_t n = first; n <= last; ++n) list += (n == first ? "" : ", ") + std::to_string(n);
  return list + "]";
}

void expectConverged(const FleetRun& run, std::size_t many, Micros from,
                     Micros within = kMaxConvergenceTime) {
  const auto convergenceTime = run.timeUntilAllReach(many, from);
  EXPECT_TRUE(convergenceTime && *convergenceTime <= within)
      << (convergenceTime ? "only after " + std::to_string(*convergenceTime / 1000) + " ms"
                          : "not by the end")
      << run.lastStatuses();
  if (convergenceTime)
    ::testing::Test::RecordProperty("agreed_after_ms", std::to_string(*convergenceTime / 1000));
  for (std::uint32_t n = 1; n <= run.result.sidecars.size(); ++n) {
    const Status* const last = run.last(n);
    ASSERT_NE(last, nullptr) << n;
    EXPECT_EQ(last->number("known"), many) << n;
    for (const auto& member : last->body.at("members")) EXPECT_EQ(member.at("state"), "alive") << n;
    EXPECT_EQ(last->datagrams("malformed"), 0u) << n;
    EXPECT_EQ(last->datagrams("unsealed"), 0u) << n;
    EXPECT_FALSE(run.endsIsolated(n)) << n;
  }
}

// One of two regions, with six of eighteen sidecars, is cut off for 20 s, and a node does not answer the
// requests of these six sidecars.
TEST(GossipRegions, ARegionThatIsCutOffDecidesAloneAndAllAgreeAfterwards) {
  Plan plan;
  plan.sidecars = 18;
  plan.seconds = 30;
  // The rate is below the 430 requests per second that eighteen sidecars under sanitizers serve on eight
  // cores; this is not a load test.
  plan.rate = 270;
  plan.head = "regions = 2\nzones = 3\n";
  plan.statuses = true;
  plan.events = event("3s", "partition", "region = 2\nfor = \"20s\"") +
                event("5s", "fault", "node = 1\nregion = 2\nfor = \"8s\"") +
                "[[event.plan.rule]]\n[[event.plan.rule.answer]]\nat = { head = \"each\", offset = 0 }\n"
                "do = \"swallow\"\n";
  const FleetRun cut = runFleet(plan);
  std::size_t ejected = 0;
  for (std::uint32_t n = 1; n <= 18; ++n) {
    const bool isCutOff = n % 3 == 2;
    EXPECT_EQ(cut.count(n, "peers: deaf"), 0u)
        << n << (isCutOff ? ", it reaches its whole region" : "") << cut.linesOf(n, "deaf");
    if (isCutOff) {
      ejected += cut.count(n, "upstream ejected");
    } else {
      EXPECT_EQ(cut.count(n, "upstream ejected"), 0u) << n << ", the node answered its requests";
    }
  }
  EXPECT_GE(ejected, 3u);
  expectConverged(cut, 18, 20 * kSecond);
  // The node has answered for over twelve seconds, a report's time to live, so all unhealthy reports about it
  // have expired.
  for (std::uint32_t n = 1; n <= 18; ++n) {
    const Status* const last = cut.last(n);
    if (last == nullptr) continue;
    for (const auto& report : last->body.at("judgements"))
      EXPECT_FALSE(report.at("upstream") == "n1" && report.at("finding") != "well")
          << n << ": " << report.dump();
  }
}

TEST(GossipRegions, HalfOfEachZoneIsReachableAgainAfterARestart) {
  Plan plan;
  plan.sidecars = 18;
  plan.seconds = 11;
  plan.rate = 540;
  plan.head = "regions = 2\nzones = 3\n";
  plan.statuses = true;
  plan.stops = Stops::Some;
  for (const char* zone : {"1", "2", "3"})
    plan.events += event("3s", "kill", std::string("zone = ") + zone + "\nshare = 0.5\nfor = \"300ms\"");
  const FleetRun killed = runFleet(plan);
  std::uint32_t starts = 0;
  for (const SidecarResult& one : killed.result.sidecars) starts += one.starts;
  EXPECT_EQ(starts, 27u);
  expectConverged(killed, 18, 300'000);
  for (std::uint32_t n = 1; n <= 18; ++n) EXPECT_EQ(killed.unreachableAtEnd(n), 0u) << n;
}

// First, all packets that sidecar 1 sends are lost; later, sidecar 12 receives nothing but can send.
TEST(GossipRegions, OnlySidecarsWithOneWayLossAreIsolated) {
  Plan plan;
  plan.seconds = 15;
  plan.statuses = true;
  plan.events =
      event("3s", "datagrams",
            "group = [1]\nto = " + numberList(2, 12) + "\nfor = \"3500ms\"\nplan = { silent = true }") +
      event("8s", "deafen", "group = [12]\nfor = \"3500ms\"");
  const FleetRun lost = runFleet(plan);
  for (std::uint32_t n = 1; n <= 12; ++n) {
    EXPECT_EQ(lost.count(n, "peers: deaf", kSecond, 3'500'000), n == 1 ? 1u : 0u) << n;
    EXPECT_EQ(lost.count(n, "peers: deaf", 6 * kSecond, 8'500'000), n == 12 ? 1u : 0u) << n;
    EXPECT_EQ(lost.count(n, "peers: deaf"), n == 1 || n == 12 ? 1u : 0u) << n << lost.linesOf(n, "deaf");
  }
  expectConverged(lost, 12, 8'500'000);
}

// A sidecar is paused for 30 s while it pulls the entry of a member that has just joined; another member
// joins during the pause.
TEST(GossipRegions, APausedSidecarLearnsOfMembersThatJoinedMeanwhile) {
  std::weak_ptr<Guests> guests;
  std::vector<std::size_t> reachableCounts;
  std::function<void(const std::string&)> joinGuest;
  Plan plan;
  plan.seconds = 38;
  plan.statuses = true;
  plan.stops = Stops::Some;
  // The load events change nothing; they mark the times at which the guests join.
  plan.events = event("2950ms", "load", "factor = 1\nfor = \"1ms\"") +
                event("3s", "pause", "sidecar = 4\nfor = \"30s\"") +
                event("15s", "load", "factor = 1\nfor = \"1ms\"");
  plan.built = [&](asio::io_context& io, const std::vector<std::string>& listens) {
    const auto joined = std::make_shared<Guests>();
    guests = joined;
    joinGuest = [&io, listens, to = joined.get()](const std::string& what) {
      if (what != "load") return;
      const std::string name = "guest" + std::to_string(to->size() + 1);
      to->push_back(
          join(io, guestAs(io, name, listens), [](std::size_t) { return std::vector<std::uint8_t>(); }));
    };
    return joined;
  };
  plan.happened = [&](const std::string& what) { joinGuest(what); };
  plan.second = [&] {
    reachableCounts.clear();
    const auto joined = guests.lock();
    for (const auto& guest : *joined) reachableCounts.push_back(guest->members().reachableCount());
  };
  const FleetRun stopped = runFleet(plan);
  ASSERT_NE(stopped.last(4), nullptr);
  const std::string pausedAddress = stopped.last(4)->body.at("address");
  for (const Line& line : stopped.lines) {
    const bool reportsDeath = line.at > 0 && line.text.find("is not heard any more") != std::string::npos;
    EXPECT_TRUE(!reportsDeath || line.text.find(pausedAddress) != std::string::npos)
        << "s" << line.sidecar << " at " << line.at / 1000 << " ms: " << line.text;
  }
  for (std::uint32_t n = 1; n <= 12; ++n) {
    const std::size_t expectedCount = n == 4 ? 1 : 0;
    EXPECT_EQ(stopped.count(n, "peers: deaf", 30 * kSecond, 32 * kSecond), expectedCount)
        << n << ", right after the pause";
    EXPECT_EQ(stopped.count(n, "peers: deaf"), expectedCount) << n << stopped.linesOf(n, "deaf");
  }
  EXPECT_EQ(reachableCounts, (std::vector<std::size_t>{14, 14}));
  expectConverged(stopped, 14, 30'050'000);
}

// Two regions of three sidecars: one sidecar moves to the other region, and later a whole region does, each
// by SIGHUP under load.
TEST(GossipRegions, AChangeOfRegionAtSighupKeepsServing) {
  Plan plan;
  plan.sidecars = 6;
  plan.seconds = 9;
  plan.head = "regions = 2\n";
  plan.statuses = true;
  plan.events = event("3s", "reload", "sidecar = 1\nnew_region = 2") +
                event("5s", "reload", "region = 2\nnew_region = 1");
  const FleetRun moved = runFleet(plan);
  EXPECT_EQ(moved.result.tally.failed, 0u);
  EXPECT_EQ(moved.result.tally.unanswered, 0u);
  const std::size_t expectedRegions[] = {2, 1, 1, 1, 1, 1};
  for (std::uint32_t n = 1; n <= 6; ++n) {
    const std::size_t reloads = n == 1 || n % 2 == 0 ? 1 : 0;
    EXPECT_EQ(moved.count(n, "peers: on, as the operator's file has it now"), reloads) << n;
    EXPECT_EQ(moved.result.sidecars.at(n - 1).starts, 1u) << n;
    ASSERT_NE(moved.last(n), nullptr) << n;
    EXPECT_EQ(moved.last(n)->number("region"), expectedRegions[n - 1]) << n;
  }
  expectConverged(moved, 6, 2 * kSecond);
}

// Three members that predate anti-entropy, among six sidecar processes.
TEST(GossipRegions, OldAndNewVersionsReachEachOther) {
  std::weak_ptr<Guests> guests;
  struct Seen {
    std::size_t reachable = 0;
    bool isIsolated = true;
    std::uint64_t malformed = 0, unsealed = 0, received = 0;
  };
  std::vector<Seen> seen;
  Plan plan;
  plan.sidecars = 6;
  plan.seconds = 9;
  plan.statuses = true;
  plan.stops = Stops::Some;
  plan.events = event("3s", "kill", "sidecar = 2\nfor = \"300ms\"");
  plan.built = [&](asio::io_context& io, const std::vector<std::string>& listens) {
    const auto old = std::make_shared<Guests>();
    guests = old;
    for (const char* name : {"old1", "old2", "old3"}) {
      Guest guest = guestAs(io, name, listens);
      guest.settings.antiEntropy = false;
      old->push_back(join(io, guest, [](std::size_t) { return std::vector<std::uint8_t>(); }));
    }
    return old;
  };
  plan.second = [&] {
    seen.clear();
    const auto old = guests.lock();
    for (const auto& one : *old) {
      const auto& counts = one->counts();
      seen.push_back({one->members().reachableCount(), one->members().isIsolated(standins::nowMicros()),
                      counts.malformed, counts.unsealed, counts.received});
    }
  };
  const FleetRun mixed = runFleet(plan);
  ASSERT_EQ(seen.size(), 3u);
  for (const Seen& one : seen) {
    EXPECT_EQ(one.reachable, 9u);
    EXPECT_FALSE(one.isIsolated);
    EXPECT_EQ(one.malformed, 0u);
    EXPECT_EQ(one.unsealed, 0u);
    EXPECT_GT(one.received, 50u);
  }
  expectConverged(mixed, 9, 300'000);
  EXPECT_EQ(mixed.countAll("peers: a datagram", -10 * kSecond), 0u);
}

}  // namespace
}  // namespace ivypost::fleet
