// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// How the balancer uses health reports: what other sidecars have observed of an upstream.
#include <gtest/gtest.h>

#include <set>

#include "rig.h"

namespace ivypost::balancer {
namespace {

constexpr Micros kHolds = 500 * kMs;

HealthReport bad(EndpointId upstream, std::uint32_t witnesses, bool turn = false) {
  HealthReport hearsay;
  hearsay.upstream = upstream;
  hearsay.reachableSidecars = 12;
  hearsay.unhealthyReports = witnesses;
  hearsay.ownsNextTrial = turn;
  hearsay.validFor = kHolds;
  return hearsay;
}

// The upstreams of 40 requests that are answered after 1 ms each.
std::multiset<EndpointId> draws(Rig& rig, RequestId& id) {
  std::multiset<EndpointId> to;
  for (int n = 0; n < 40; ++n) {
    const EndpointId upstream = rig.sent(++id);
    to.insert(upstream);
    rig.now += kMs;
    rig.outcome(id, upstream, Outcome::Ok);
  }
  return to;
}

TEST(HealthReport, EnoughWitnessesTakeAnUpstreamOutAndOneOrTwoDoNot) {
  const struct {
    std::uint32_t sidecars, witnesses;
    bool out;
  } rows[] = {{12, 0, false}, {12, 1, false}, {12, 2, false}, {12, 3, true},
              {3, 1, false},  {3, 2, true},   {300, 2, false}};
  for (const auto& row : rows) {
    Rig rig;
    rig.start(10);
    HealthReport hearsay = bad(4, row.witnesses);
    hearsay.reachableSidecars = row.sidecars;
    rig.feed(hearsay);
    EXPECT_EQ(rig.balancer.ready(4, rig.now), !row.out) << row.sidecars << " " << row.witnesses;
  }
}

TEST(HealthReport, AnOwnAnswerCountsForMore) {
  Rig rig;
  rig.start(10);
  RequestId id = 0;
  EndpointId served = rig.sent(++id);
  rig.outcome(id, served, Outcome::Ok);
  rig.feed(bad(served, 11));
  EXPECT_TRUE(rig.balancer.ready(served, rig.now));
  rig.now += kSecond;
  rig.feed(bad(served, 11));
  EXPECT_FALSE(rig.balancer.ready(served, rig.now));
}

TEST(HealthReport, TakesOutAQuarterAtTheMostAndNeverTheLastReadyOnes) {
  Rig rig;
  rig.start(10);
  for (EndpointId id = 0; id < 10; ++id) rig.feed(bad(id, 11));
  int out = 0;
  for (EndpointId id = 0; id < 10; ++id) out += rig.balancer.ready(id, rig.now) ? 0 : 1;
  EXPECT_EQ(out, 2);
  // A quarter of three upstreams is none: all stay ready, whatever the reports say.
  Rig few;
  few.start(3);
  for (EndpointId id = 0; id < 3; ++id) few.feed(bad(id, 11));
  for (EndpointId id = 0; id < 3; ++id) EXPECT_TRUE(few.balancer.ready(id, few.now));
}

// A report counts only for the incarnation (launchedAt) that this sidecar's list has, not for an earlier or a
// later one.
TEST(HealthReport, CountsForOneLifeAlone) {
  Rig rig;
  rig.start(10);
  rig.list(MembershipUpdate::Kind::Changes, {serving(4, 1, rig.now - 100 * kSecond)});
  rig.feed(bad(4, 11));
  EXPECT_TRUE(rig.balancer.ready(4, rig.now));
  HealthReport hearsay = bad(4, 11);
  hearsay.launchedAt = rig.now - 100 * kSecond;
  rig.feed(hearsay);
  EXPECT_FALSE(rig.balancer.ready(4, rig.now));
  rig.list(MembershipUpdate::Kind::Changes, {serving(4, 1, rig.now - 50 * kSecond)});
  EXPECT_TRUE(rig.balancer.ready(4, rig.now)) << "it was restarted";
  rig.feed(bad(1000, 11));  // no upstream has this id
}

// An upstream ejected by reports: for as long as they last, only the sidecar whose turn it is tries it, after
// the ejection.
TEST(HealthReport, ATrialIsOneSidecarsTurn) {
  for (const bool turn : {false, true}) {
    Rig rig;
    rig.start(10);
    RequestId id = 0;
    rig.feed(bad(4, 3, turn));
    for (int n = 0; n < 30; ++n) {
      rig.now += 100 * kMs;
      rig.feed(bad(4, 3, turn));
    }
    const bool ready = rig.balancer.ready(4, rig.now);
    EXPECT_EQ(ready, turn);
    EXPECT_EQ(draws(rig, id).count(4) > 0, turn);
  }
}

TEST(HealthReport, ThatSomebodyWasServedPermitsATrialAndNoMore) {
  Rig rig;
  rig.start(10);
  rig.feed(bad(4, 3));
  ASSERT_FALSE(rig.balancer.ready(4, rig.now));
  HealthReport well = bad(4, 3);
  well.hasHealthyReport = true;
  rig.feed(well);
  EXPECT_TRUE(rig.balancer.ready(4, rig.now));
  // One trial at a time, until the upstream is readmitted.
  RequestId id = 0;
  std::size_t at4 = 0;
  for (int n = 0; n < 60; ++n) {
    const EndpointId to = rig.sent(++id);
    at4 += to == 4 ? 1 : 0;
    if (to != 4) rig.outcome(id, to, Outcome::Ok);
  }
  EXPECT_EQ(at4, 1u);
}

// Guards against old reports in a sidecar that gets no new ones because it is isolated or was stopped: once
// they expire it decides without them, before any other event.
TEST(HealthReport, LapsesByItself) {
  Rig rig;
  rig.start(10);
  for (int n = 0; n < 30; ++n) {
    rig.feed(bad(4, 3));
    rig.now += 100 * kMs;
  }
  EXPECT_FALSE(rig.balancer.ready(4, rig.now));
  EXPECT_TRUE(rig.balancer.ready(4, rig.now + kHolds));
  HealthReport forever = bad(4, 3);
  forever.validFor = 3600 * kSecond;
  rig.feed(forever);
  EXPECT_FALSE(rig.balancer.ready(4, rig.now + kSecond));
  EXPECT_TRUE(rig.balancer.ready(4, rig.now + 2 * kSecond)) << "a report counts for 2 s at most";
}

// Rules 3 and 4: no report makes a draining upstream ready or gives one in slow start more than its credit.
TEST(HealthReport, LoosensNoRule) {
  Rig rig;
  rig.start(4);
  rig.list(MembershipUpdate::Kind::Changes, {leaving(2, EndpointState::Draining)});
  HealthReport well = bad(2, 0, true);
  well.hasHealthyReport = true;
  rig.feed(well);
  EXPECT_FALSE(rig.balancer.ready(2, rig.now));
  Rig cold;
  std::vector<EndpointEntry> entries = {serving(0, 1, cold.now)};
  cold.list(MembershipUpdate::Kind::Saved, entries);
  RequestId id = 0;
  std::size_t sent = 0;
  for (int n = 0; n < 50; ++n) {
    HealthReport one = bad(0, 0, true);
    one.launchedAt = cold.now;
    one.hasHealthyReport = true;
    cold.feed(one);
    cold.request(++id);
    sent += cold.count<Send>();
  }
  Rig without;
  without.list(MembershipUpdate::Kind::Saved, entries);
  std::size_t sentWithout = 0;
  for (id = 1; id <= 50; ++id) {
    without.request(id);
    sentWithout += without.count<Send>();
  }
  EXPECT_EQ(sent, sentWithout);
}

// Many sidecars and one upstream that fails every attempt: the trials a second do not grow with the number of
// sidecars.
TEST(HealthReport, TrialsDoNotGoWithTheNumberOfSidecars) {
  for (const std::size_t sidecars : {3, 12, 48}) {
    std::vector<Rig> rigs;
    for (std::size_t n = 0; n < sidecars; ++n) rigs.emplace_back(plainSettings(), n + 1);
    for (Rig& rig : rigs) rig.start(10);
    std::size_t trials = 0;
    RequestId id = 0;
    for (int step = 0; step < 200; ++step) {
      for (std::size_t n = 0; n < sidecars; ++n) {
        Rig& rig = rigs[n];
        rig.now += 100 * kMs;
        rig.feed(bad(4, 3, n == 1));
        for (int requests = 0; requests < 5; ++requests) {
          const EndpointId to = rig.sent(++id);
          trials += step >= 20 && to == 4 ? 1 : 0;
          rig.outcome(id, to, to == 4 ? Outcome::Error : Outcome::Ok);
          if (to == 4)  // the retry goes to another upstream, which answers
            for (const Send& again : rig.all<Send>()) rig.outcome(id, again.upstream, Outcome::Ok, 1);
        }
      }
    }
    EXPECT_LE(trials, 20u) << sidecars;  // in 18 s, a second or more apart
    EXPECT_GE(trials, 2u) << sidecars;
  }
}

}  // namespace
}  // namespace ivypost::balancer
