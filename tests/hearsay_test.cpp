// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// How the balancer uses health reports: what other sidecars have observed of an upstream.
#include <gtest/gtest.h>

#include <set>

#include "rig.h"

namespace ivypost::balancer {
namespace {

constexpr Micros kValidity = 500 * kMs;

HealthReport failureReport(EndpointId upstream, std::uint32_t witnesses, bool turn = false) {
  HealthReport report;
  report.upstream = upstream;
  report.reachableSidecars = 12;
  report.unhealthyReports = witnesses;
  report.ownsNextTrial = turn;
  report.validFor = kValidity;
  return report;
}

// The upstreams of 40 requests that are answered after 1 ms each.
std::multiset<EndpointId> sendMany(BalancerFixture& fixture, RequestId& id) {
  std::multiset<EndpointId> to;
  for (int n = 0; n < 40; ++n) {
    const EndpointId upstream = fixture.sendRequest(++id);
    to.insert(upstream);
    fixture.now += kMs;
    fixture.outcome(id, upstream, Outcome::Ok);
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
    BalancerFixture fixture;
    fixture.start(10);
    HealthReport report = failureReport(4, row.witnesses);
    report.reachableSidecars = row.sidecars;
    fixture.feed(report);
    EXPECT_EQ(fixture.balancer.ready(4, fixture.now), !row.out) << row.sidecars << " " << row.witnesses;
  }
}

TEST(HealthReport, AFreshOwnAnswerOverridesReports) {
  BalancerFixture fixture;
  fixture.start(10);
  RequestId id = 0;
  EndpointId served = fixture.sendRequest(++id);
  fixture.outcome(id, served, Outcome::Ok);
  fixture.feed(failureReport(served, 11));
  EXPECT_TRUE(fixture.balancer.ready(served, fixture.now));
  fixture.now += kSecond;
  fixture.feed(failureReport(served, 11));
  EXPECT_FALSE(fixture.balancer.ready(served, fixture.now));
}

TEST(HealthReport, TakesOutAQuarterAtTheMostAndNeverTheLastReadyOnes) {
  BalancerFixture fixture;
  fixture.start(10);
  for (EndpointId id = 0; id < 10; ++id) fixture.feed(failureReport(id, 11));
  int out = 0;
  for (EndpointId id = 0; id < 10; ++id) out += fixture.balancer.ready(id, fixture.now) ? 0 : 1;
  EXPECT_EQ(out, 2);
  // A quarter of three upstreams, rounded down, is none: all three stay ready, whatever the reports say.
  BalancerFixture few;
  few.start(3);
  for (EndpointId id = 0; id < 3; ++id) few.feed(failureReport(id, 11));
  for (EndpointId id = 0; id < 3; ++id) EXPECT_TRUE(few.balancer.ready(id, few.now));
}

// A report counts only for the incarnation (launchedAt) that this sidecar's list has, not for an earlier or a
// later one.
TEST(HealthReport, CountsForOneIncarnationOnly) {
  BalancerFixture fixture;
  fixture.start(10);
  fixture.updateList(MembershipUpdate::Kind::Changes, {serving(4, 1, fixture.now - 100 * kSecond)});
  fixture.feed(failureReport(4, 11));
  EXPECT_TRUE(fixture.balancer.ready(4, fixture.now));
  HealthReport report = failureReport(4, 11);
  report.launchedAt = fixture.now - 100 * kSecond;
  fixture.feed(report);
  EXPECT_FALSE(fixture.balancer.ready(4, fixture.now));
  fixture.updateList(MembershipUpdate::Kind::Changes, {serving(4, 1, fixture.now - 50 * kSecond)});
  EXPECT_TRUE(fixture.balancer.ready(4, fixture.now)) << "it was restarted";
  fixture.feed(failureReport(1000, 11));  // no upstream has this id
}

// When the ejection of an upstream by reports ends, only the sidecar whose turn it is may send it a trial
// attempt, for as long as reports are valid.
TEST(HealthReport, ATrialIsOneSidecarsTurn) {
  for (const bool turn : {false, true}) {
    BalancerFixture fixture;
    fixture.start(10);
    RequestId id = 0;
    fixture.feed(failureReport(4, 3, turn));
    for (int n = 0; n < 30; ++n) {
      fixture.now += 100 * kMs;
      fixture.feed(failureReport(4, 3, turn));
    }
    const bool ready = fixture.balancer.ready(4, fixture.now);
    EXPECT_EQ(ready, turn);
    EXPECT_EQ(sendMany(fixture, id).count(4) > 0, turn);
  }
}

TEST(HealthReport, AnAnswerToAnotherSidecarPermitsOnlyATrial) {
  BalancerFixture fixture;
  fixture.start(10);
  fixture.feed(failureReport(4, 3));
  ASSERT_FALSE(fixture.balancer.ready(4, fixture.now));
  HealthReport well = failureReport(4, 3);
  well.hasHealthyReport = true;
  fixture.feed(well);
  EXPECT_TRUE(fixture.balancer.ready(4, fixture.now));
  // One trial at a time, until the upstream is readmitted.
  RequestId id = 0;
  std::size_t at4 = 0;
  for (int n = 0; n < 60; ++n) {
    const EndpointId to = fixture.sendRequest(++id);
    at4 += to == 4 ? 1 : 0;
    if (to != 4) fixture.outcome(id, to, Outcome::Ok);
  }
  EXPECT_EQ(at4, 1u);
}

// Guards against the use of old reports by a sidecar that gets no new ones because it is isolated or was
// stopped: once the reports expire, the sidecar decides without them, even before any other event.
TEST(HealthReport, ExpiresWithoutFurtherEvents) {
  BalancerFixture fixture;
  fixture.start(10);
  for (int n = 0; n < 30; ++n) {
    fixture.feed(failureReport(4, 3));
    fixture.now += 100 * kMs;
  }
  EXPECT_FALSE(fixture.balancer.ready(4, fixture.now));
  EXPECT_TRUE(fixture.balancer.ready(4, fixture.now + kValidity));
  HealthReport forever = failureReport(4, 3);
  forever.validFor = 3600 * kSecond;
  fixture.feed(forever);
  EXPECT_FALSE(fixture.balancer.ready(4, fixture.now + kSecond));
  EXPECT_TRUE(fixture.balancer.ready(4, fixture.now + 2 * kSecond)) << "a report counts for 2 s at most";
}

// Rules 3 and 4: no report makes a draining upstream ready or gives one in slow start more than its credit.
TEST(HealthReport, OverridesNoRule) {
  BalancerFixture fixture;
  fixture.start(4);
  fixture.updateList(MembershipUpdate::Kind::Changes, {leaving(2, EndpointState::Draining)});
  HealthReport well = failureReport(2, 0, true);
  well.hasHealthyReport = true;
  fixture.feed(well);
  EXPECT_FALSE(fixture.balancer.ready(2, fixture.now));
  BalancerFixture slowStartFixture;
  std::vector<EndpointEntry> entries = {serving(0, 1, slowStartFixture.now)};
  slowStartFixture.updateList(MembershipUpdate::Kind::Saved, entries);
  RequestId id = 0;
  std::size_t sent = 0;
  for (int n = 0; n < 50; ++n) {
    HealthReport report = failureReport(0, 0, true);
    report.launchedAt = slowStartFixture.now;
    report.hasHealthyReport = true;
    slowStartFixture.feed(report);
    slowStartFixture.request(++id);
    sent += slowStartFixture.count<Send>();
  }
  BalancerFixture without;
  without.updateList(MembershipUpdate::Kind::Saved, entries);
  std::size_t sentWithout = 0;
  for (id = 1; id <= 50; ++id) {
    without.request(id);
    sentWithout += without.count<Send>();
  }
  EXPECT_EQ(sent, sentWithout);
}

// With one upstream that fails every attempt, the number of trials per second does not grow with the number
// of sidecars.
TEST(HealthReport, TrialsDoNotGrowWithTheNumberOfSidecars) {
  for (const std::size_t sidecars : {3, 12, 48}) {
    std::vector<BalancerFixture> fixtures;
    for (std::size_t n = 0; n < sidecars; ++n) fixtures.emplace_back(plainSettings(), n + 1);
    for (BalancerFixture& fixture : fixtures) fixture.start(10);
    std::size_t trials = 0;
    RequestId id = 0;
    for (int step = 0; step < 200; ++step) {
      for (std::size_t n = 0; n < sidecars; ++n) {
        BalancerFixture& fixture = fixtures[n];
        fixture.now += 100 * kMs;
        fixture.feed(failureReport(4, 3, n == 1));
        for (int requests = 0; requests < 5; ++requests) {
          const EndpointId to = fixture.sendRequest(++id);
          trials += step >= 20 && to == 4 ? 1 : 0;
          fixture.outcome(id, to, to == 4 ? Outcome::Error : Outcome::Ok);
          if (to == 4)  // the retry goes to another upstream, which answers
            for (const Send& again : fixture.all<Send>()) fixture.outcome(id, again.upstream, Outcome::Ok, 1);
        }
      }
    }
    EXPECT_LE(trials, 20u) << sidecars;  // in 18 s, a second or more apart
    EXPECT_GE(trials, 2u) << sidecars;
  }
}

}  // namespace
}  // namespace ivypost::balancer
