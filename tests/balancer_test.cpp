// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include <array>
#include <deque>
#include <limits>
#include <set>
#include <stdexcept>

#include "rig.h"

namespace ivypost::balancer {
namespace {

using Kind = MembershipUpdate::Kind;

// ---- Selection ------------------------------------------------------------------------------------------

TEST(Pick, FirstDrawnUpstreamIsRemembered) {
  BalancerFixture fixture;
  fixture.start(4);
  EXPECT_FALSE(fixture.balancer.remembered().has_value());
  const EndpointId to = fixture.sendRequest(1);
  EXPECT_EQ(fixture.balancer.remembered(), to);
  EXPECT_EQ(fixture.balancer.inFlight(to), 1u);
}

// Checks the selection rule (a weighted random draw, compared with the remembered upstream) by its effects: a
// request goes to the remembered upstream only if that has fewer attempts in flight than the drawn one, and
// the drawn one is remembered from then on only if it has fewer.
TEST(Pick, FollowsTheRuleOnEveryRequest) {
  BalancerFixture fixture;
  fixture.start(6);
  std::vector<std::pair<RequestId, EndpointId>> out;
  int ties = 0, toRemembered = 0, moves = 0;
  for (RequestId id = 1; id <= 2000; ++id) {
    std::array<std::uint32_t, 6> before{};
    for (EndpointId u = 0; u < 6; ++u) before[u] = fixture.balancer.inFlight(u);
    const auto remembered = fixture.balancer.remembered();
    const bool rememberedIsReady = remembered && fixture.balancer.ready(*remembered, fixture.now);
    fixture.request(id);
    if (fixture.count<Send>() == 0) {  // no upstream is ready
      fixture.feed(Withdrawn{id});
      continue;
    }
    const EndpointId to = fixture.first<Send>().upstream;
    out.emplace_back(id, to);
    if (rememberedIsReady) {
      const auto after = fixture.balancer.remembered();
      ASSERT_LE(before[to], before[*remembered])
          << "the drawn upstream was used though the remembered one had fewer attempts in flight";
      if (to != *remembered) {
        ASSERT_EQ(after, before[to] < before[*remembered] ? to : *remembered);
        ties += before[to] == before[*remembered];
        moves += before[to] < before[*remembered];
      } else {
        ASSERT_EQ(after, remembered);
        ++toRemembered;
      }
    }
    fixture.now += 5 * kMs;
    if (id % 7 != 0 && out.size() > 5) {
      const auto [done, at] = out[id % out.size()];
      fixture.outcome(done, at, Outcome::Ok);
      out.erase(out.begin() + static_cast<std::ptrdiff_t>(id % out.size()));
    }
    while (out.size() > 8) {
      fixture.outcome(out.front().first, out.front().second, Outcome::Ok);
      out.erase(out.begin());
    }
  }
  EXPECT_GT(ties, 50);
  EXPECT_GT(toRemembered, 50);
  EXPECT_GT(moves, 50);
}

TEST(Pick, DrawFollowsRegisteredSizeAtZeroCounts) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, {serving(0, 1), serving(1, 2), serving(2, 5)});
  std::array<int, 3> got{};
  for (RequestId id = 1; id <= 8000; ++id) {
    const EndpointId to = fixture.sendRequest(id);
    ++got[to];
    fixture.outcome(id, to, Outcome::Ok);
  }
  EXPECT_NEAR(got[0], 1000, 120);
  EXPECT_NEAR(got[1], 2000, 160);
  EXPECT_NEAR(got[2], 5000, 200);
}

TEST(Pick, BiasOfTheDrawIsBounded) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, {serving(0, 1e-9), serving(1, 1e9), serving(2, 1)});
  std::array<int, 3> got{};
  for (RequestId id = 1; id <= 3000; ++id) {
    const EndpointId to = fixture.sendRequest(id);
    ++got[to];
    fixture.outcome(id, to, Outcome::Ok);
  }
  EXPECT_GT(got[0], 20);
  EXPECT_GT(got[2], 20);
}

// Keys are not assigned to fixed upstreams: key affinity gains nothing, unlike weights from recent service
// times.

// Learned slowness expires, so that an upstream that was slow is used again; and the time that a heavy
// request takes (by its work hint) does not count as slowness.
TEST(Pick, LearnedSlownessExpiresAndAllowsForTheWorkHint) {
  // Upstream 0 serves requests of work `first` in lag0, upstream 1 those of work `second` in lag1. Returns
  // how many of 1000 requests after `pause` go to upstream 0.
  const auto drawnAfter = [](Micros first, Micros second, Micros lag0, Micros lag1, Micros pause) {
    BalancerFixture fixture;
    fixture.start(2);
    RequestId id = 1;
    for (int round = 0; round < 60; ++round) {
      const EndpointId to = round % 2;
      fixture.updateList(Kind::Full, {serving(to)});
      fixture.feed(NewRequest{id, kSafe, 0, {}, kSecond, to == 0 ? first : second, false});
      fixture.now += to == 0 ? lag0 : lag1;
      fixture.outcome(id++, to, Outcome::Ok);
      fixture.advance(kSecond / 10);
    }
    fixture.updateList(Kind::Full, {serving(0), serving(1)});
    fixture.advance(pause);
    int to0 = 0;
    for (int n = 0; n < 1000; ++n, ++id) {
      const EndpointId to = fixture.sendRequest(id);
      to0 += to == 0;
      fixture.feed(AttemptOutcome{id, 0, to, Outcome::Cancelled, 0, true, std::nullopt});
    }
    return to0;
  };
  EXPECT_LE(drawnAfter(50 * kMs, 50 * kMs, 50 * kMs, 12 * kMs, 0), 420);
  EXPECT_NEAR(drawnAfter(50 * kMs, 50 * kMs, 50 * kMs, 12 * kMs, 60 * kSecond), 500, 50);
  EXPECT_NEAR(drawnAfter(200 * kMs, 50 * kMs, 50 * kMs, 12 * kMs, 0), 500, 50);
}

// Guards against heavy requests that go to small upstreams and miss their latency objective there: at low
// load such requests would make up most of the weight of late answers.
TEST(Pick, HeavyRequestsPreferLargeUpstreamsMoreThanLightOnes) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, {serving(0, 1), serving(2, 3)});
  int heavy = 0, light = 0;
  for (RequestId id = 1; id <= 4000; ++id) {
    NewRequest r{id, kSafe, 0, {}, kSecond, (id % 2 == 0 ? 190 : 10) * kMs, false};
    fixture.feed(r);
    ASSERT_EQ(fixture.count<Send>(), 1u);
    const EndpointId to = fixture.first<Send>().upstream;
    (id % 2 == 0 ? heavy : light) += to == 2;
    fixture.outcome(id, to, Outcome::Ok);
  }
  // Relative work is 1.9 and, clamped, 0.25. The odds are the size ratio 3 to the power of its root: 1.38 and
  // 0.5.
  EXPECT_NEAR(heavy, 2000 * 0.820, 100);
  EXPECT_NEAR(light, 2000 * 0.634, 100);
}

// Guards against draws that, with no attempt in flight anywhere, pick slow upstreams as often as fast ones.
TEST(Pick, LearnedSlownessLowersTheOddsWithinBounds) {
  BalancerFixture fixture;
  fixture.start(2);
  std::array<int, 2> got{};
  for (RequestId id = 1; id <= 2000; ++id) {
    const EndpointId to = fixture.sendRequest(id);
    if (id > 500) ++got[to];
    fixture.now += to == 0 ? 40 * kMs : 5 * kMs;
    fixture.outcome(id, to, Outcome::Ok);
    fixture.advance(kSecond / 10);
  }
  EXPECT_LT(got[0], got[1] * 3 / 4);
  EXPECT_GT(got[0], 150) << "a slow upstream still gets some requests";
}

TEST(Pick, OwnZoneIsPreferredOnlyWhereCrossingHasAPrice) {
  for (const double price : {0.0, 0.03}) {
    Settings s = plainSettings();
    s.crossZoneCost = price;
    s.zone = 0;
    BalancerFixture fixture(s);
    fixture.start(4);
    int own = 0;
    for (RequestId id = 1; id <= 2000; ++id) {
      const EndpointId to = fixture.sendRequest(id);
      own += to % 2 == 0;
      fixture.outcome(id, to, Outcome::Ok);
    }
    EXPECT_NEAR(own, price > 0 ? 1600 : 1000, 100);
  }
}

TEST(Pick, RememberedUpstreamIsClearedWhenItDrainsOrLeaves) {
  for (const bool drains : {true, false}) {
    BalancerFixture fixture;
    fixture.start(3);
    const EndpointId remembered = fixture.sendRequest(1);
    if (drains) {
      fixture.updateList(Kind::Changes, {leaving(remembered, EndpointState::Draining)});
    } else {
      fixture.updateList(Kind::Full, {serving((remembered + 1) % 3), serving((remembered + 2) % 3)});
    }
    EXPECT_FALSE(fixture.balancer.remembered().has_value());
  }
}

struct RepeatCase {
  std::uint32_t cls;
  RetryGroup group;
  Outcome outcome;
};

TEST(Pick, RememberedUpstreamIsClearedWhenMissingFromAFullList) {
  BalancerFixture fixture;
  fixture.start(2);
  fixture.outcome(1, fixture.sendRequest(1), Outcome::Ok);
  ASSERT_TRUE(fixture.balancer.remembered().has_value());
  const EndpointId gone = *fixture.balancer.remembered();
  fixture.updateList(Kind::Full, {serving(1 - gone)});
  EXPECT_FALSE(fixture.balancer.remembered().has_value());
  EXPECT_FALSE(fixture.balancer.ready(gone, fixture.now));
}

// ---- Retries --------------------------------------------------------------------------------------------

// Checks for every semantics, group and outcome whether and where the request is retried, and which final
// answer it gets otherwise.
TEST(Repeats, TableOverSemanticsGroupAndOutcome) {
  for (const std::uint32_t cls : {kSafe, kKeyed, kUnsafe}) {
    for (const RetryGroup group : {RetryGroup::All, RetryGroup::Zone, RetryGroup::Cell}) {
      for (const Outcome outcome : {Outcome::Error, Outcome::Full, Outcome::Timeout, Outcome::ConnectFailed,
                                    Outcome::Reset, Outcome::Cancelled, Outcome::Moot}) {
        for (const Micros after : {10 * kMs, 650 * kMs}) {
          Settings s = plainSettings();
          s.classes[cls].group = group;
          BalancerFixture fixture(s, 7);
          fixture.start(8);
          const EndpointId at = fixture.sendRequest(1, cls);
          fixture.now += after;
          fixture.outcome(1, at, outcome);
          const bool neverRan =
              outcome == Outcome::Full || outcome == Outcome::ConnectFailed || outcome == Outcome::Moot;
          const bool late = after > s.classes[kKeyed].retryWindow;
          const bool maySend = cls == kSafe || neverRan || (cls == kKeyed && !late);
          SCOPED_TRACE(testing::Message() << "class " << cls << " group " << static_cast<int>(group)
                                          << " outcome " << static_cast<int>(outcome) << " after " << after);
          ASSERT_EQ(fixture.count<Send>(), maySend ? 1u : 0u);
          if (maySend) {
            const EndpointId to = fixture.first<Send>().upstream;
            EXPECT_NE(to, at);
            if (cls == kKeyed && !neverRan && group == RetryGroup::Zone) {
              EXPECT_EQ(to % 2, at % 2);
            }
            if (cls == kKeyed && !neverRan && group == RetryGroup::Cell) {
              EXPECT_EQ(to / 2, at / 2);
            }
          } else {
            // A rejection invites the client to retry, so a request that may have run gets a failure.
            EXPECT_EQ(fixture.count<Fail>(), 1u);
            EXPECT_EQ(fixture.count<Reject>(), 0u);
          }
        }
      }
    }
  }
}

// The upstream counts the retry window from the first send, and the sidecar's clock advances in steps of
// Settings::resolution: the last retry has to leave a whole step before the window ends.
TEST(Repeats, AKeyedRepeatKeepsOneStepInsideTheWindow) {
  const auto repeated = [](Micros after) {
    BalancerFixture fixture;
    fixture.start(4);
    const EndpointId to = fixture.sendRequest(1, kKeyed);
    fixture.now += after;
    fixture.outcome(1, to, Outcome::Error);
    return fixture.count<Send>() == 1;
  };
  const Micros window = plainSettings().classes[kKeyed].retryWindow, step = plainSettings().resolution;
  EXPECT_TRUE(repeated(window - 2 * step));
  EXPECT_FALSE(repeated(window - step));
}

TEST(Repeats, KeyedRejectionNeedsTheWidestGroup) {
  for (const RetryGroup group : {RetryGroup::All, RetryGroup::Zone, RetryGroup::Cell}) {
    Settings s = plainSettings();
    s.classes[kKeyed].group = group;
    s.maxAttempts = 1;
    BalancerFixture fixture(s);
    fixture.start(4);
    const EndpointId at = fixture.sendRequest(1, kKeyed);
    fixture.now += 10 * kMs;
    fixture.outcome(1, at, Outcome::Error);
    EXPECT_EQ(fixture.count<Reject>(), group == RetryGroup::All ? 1u : 0u);
    EXPECT_EQ(fixture.count<Fail>(), group == RetryGroup::All ? 0u : 1u);
  }
}

std::vector<EndpointEntry> servingWithoutCell(EndpointId count) {
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 0; id < count; ++id) {
    entries.push_back(serving(id));
    entries.back().cell.reset();
  }
  return entries;
}

// Guards against a request that runs twice (issue 63, picture e): its upstream has restarted under its id, so
// that it is another process, which does not know the key.
TEST(Repeats, AnUpstreamWithoutACellThatHasRestartedIsNotItself) {
  constexpr Micros kHour = 3'600'000 * kMs;
  for (const bool restarts : {false, true}) {
    Settings s = plainSettings();
    s.classes[kKeyed].group = RetryGroup::Cell;
    BalancerFixture fixture(s);
    std::vector<EndpointEntry> entries = servingWithoutCell(4);
    fixture.updateList(Kind::Saved, entries);
    const EndpointId at = fixture.sendRequest(1, kKeyed);
    // Long ago, so that no slow start keeps the retry back.
    if (restarts) entries[at].launchedAt = fixture.now - kHour;
    fixture.updateList(Kind::Changes, {entries[at]});
    fixture.now += 10 * kMs;
    fixture.outcome(1, at, Outcome::Error);
    SCOPED_TRACE(restarts);
    EXPECT_EQ(fixture.count<Send>(), restarts ? 0U : 1U);
    EXPECT_EQ(fixture.count<Reject>(), 0U);
  }
}

TEST(Repeats, AnUpstreamWithoutACellRepeatsOnlyToItself) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, servingWithoutCell(4));
  const EndpointId at = fixture.sendRequest(1, kKeyed);
  fixture.now += 10 * kMs;
  fixture.outcome(1, at, Outcome::Error);
  for (const Send& send : fixture.all<Send>()) EXPECT_EQ(send.upstream, at);
}

TEST(Repeats, StopAtMaxAttempts) {
  BalancerFixture fixture;
  fixture.start(8);
  EndpointId at = fixture.sendRequest(1);
  std::size_t sends = 1;
  for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {
    fixture.outcome(1, at, Outcome::ConnectFailed, attempt);
    if (fixture.count<Send>() == 0) break;
    at = fixture.first<Send>().upstream;
    ++sends;
  }
  EXPECT_EQ(sends, 3u);
  EXPECT_EQ(fixture.count<Reject>(), 1u);
}

TEST(Repeats, BudgetBoundsRepeatsOfWhatMayHaveRun) {
  Settings s = plainSettings();
  s.maxAttempts = 100;
  BalancerFixture fixture(s);
  fixture.start(12);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    fixture.request(id);
    sends += fixture.count<Send>();
    fixture.now += 100 * kMs;
    // Fails every attempt of this request until it gets its final answer.
    std::uint32_t attempt = 0;
    while (fixture.count<Send>() > 0) {
      const EndpointId at = fixture.first<Send>().upstream;
      fixture.outcome(id, at, Outcome::Error, attempt++);
      sends += fixture.count<Send>();
    }
  }
  // 20 s overlap at most five windows of 5 s; each allows 10 retries and a fifth of its requests more.
  EXPECT_LE(sends, 200u + 5u * 10u + 200u / 5u);
  EXPECT_GT(sends, 150u);
}

Settings budgetSettings() {
  Settings s = plainSettings();
  s.retryBudgetWindow = 2 * kSecond;
  s.retryBudgetFloor = 2;
  s.retryBudgetRatio = 0.1;
  return s;
}

// Feeds one request, gives every attempt of it the outcome `how`, and returns the number of attempts after
// the first one.
std::size_t countRetries(BalancerFixture& fixture, RequestId id, Outcome how) {
  std::size_t sends = 0;
  fixture.request(id);
  while (fixture.count<Send>() > 0) {
    const EndpointId at = fixture.first<Send>().upstream;
    fixture.outcome(id, at, how, static_cast<std::uint32_t>(sends++));
  }
  return sends > 0 ? sends - 1 : 0;
}

// Guards against a retry budget that leaves out retries after a rejection or a failed connect.
TEST(Repeats, AStatedBudgetCountsEveryFurtherAttempt) {
  for (const Outcome how : {Outcome::Error, Outcome::Full, Outcome::ConnectFailed}) {
    BalancerFixture fixture(budgetSettings());
    fixture.start(40);
    std::size_t retries = 0;
    for (RequestId id = 1; id <= 10; ++id) retries += countRetries(fixture, id, how);
    EXPECT_EQ(retries, 3u) << "the floor of 2 and a tenth of 10 requests";
  }
}

TEST(Repeats, AStatedBudgetCountsOneWindowExactly) {
  BalancerFixture fixture(budgetSettings());
  fixture.start(40);
  EXPECT_EQ(countRetries(fixture, 1, Outcome::Full), 2u);
  fixture.now += 2 * kSecond;
  EXPECT_EQ(countRetries(fixture, 2, Outcome::Full), 0u) << "a retry exactly one window old still counts";
  fixture.now += 1;
  EXPECT_EQ(countRetries(fixture, 3, Outcome::Full), 2u);
}

TEST(Repeats, WithTheBudgetSpentTheAnswerGoesByWhatMayHaveRun) {
  Settings s = budgetSettings();
  s.retryBudgetFloor = 0;
  for (const Outcome how : {Outcome::Error, Outcome::Full}) {
    for (const std::uint32_t cls : {kSafe, kKeyed, kUnsafe}) {
      BalancerFixture fixture(s);
      fixture.start(10);
      fixture.outcome(1, fixture.sendRequest(1, cls), how);
      const bool rejected = how == Outcome::Full || cls == kSafe;
      EXPECT_EQ(fixture.count<Reject>(), rejected ? 1u : 0u) << cls;
      EXPECT_EQ(fixture.count<Fail>(), rejected ? 0u : 1u) << cls;
    }
  }
}

// ---- Membership and drains ------------------------------------------------------------------------------

TEST(Membership, NothingGoesToADrainingGoneOrUnlistedUpstream) {
  for (const int how : {0, 1, 2}) {
    BalancerFixture fixture;
    fixture.start(2);
    if (how == 0) fixture.updateList(Kind::Changes, {leaving(0, EndpointState::Draining)});
    if (how == 1) fixture.updateList(Kind::Changes, {leaving(0, EndpointState::Gone)});
    if (how == 2) fixture.updateList(Kind::Full, {serving(1)});
    for (RequestId id = 1; id <= 50; ++id) {
      const EndpointId to = fixture.sendRequest(id);
      EXPECT_EQ(to, 1u);
      fixture.outcome(id, to, Outcome::Ok);
    }
  }
}

// Guards against idle connections that stay open to draining upstreams.
TEST(Membership, IdleConnectionsAreClosedOnDrains) {
  Settings s = plainSettings();
  s.closeDrainingWithin = 800 * kMs;
  for (const int how : {0, 1, 2}) {
    BalancerFixture fixture(s);
    fixture.start(2);
    const EndpointId to = fixture.sendRequest(1);
    const EndpointId other = 1 - to;
    if (how == 0) fixture.updateList(MembershipUpdate::Kind::Changes, {leaving(to, EndpointState::Draining)});
    if (how == 1) fixture.updateList(MembershipUpdate::Kind::Changes, {leaving(to, EndpointState::Gone)});
    if (how == 2) fixture.updateList(MembershipUpdate::Kind::Full, {serving(other)});
    ASSERT_EQ(fixture.count<CloseIdle>(), 1u) << "when the list takes the upstream out of service";
    EXPECT_EQ(fixture.first<CloseIdle>().upstream, to);
    fixture.now += 300 * kMs;
    fixture.outcome(1, to, Outcome::Ok);
    ASSERT_EQ(fixture.count<CloseIdle>(), 1u) << "when an attempt at the upstream ends";
    fixture.advance(799 * kMs);
    EXPECT_GE(fixture.count<CloseIdle>(), 1u) << "once more before closeDrainingWithin ends";
    fixture.advance(5 * kSecond);
    EXPECT_EQ(fixture.count<CloseIdle>(), 0u);
  }
}

TEST(Membership, AnUpstreamBackInServiceKeepsItsConnections) {
  Settings s = plainSettings();
  s.closeDrainingWithin = 800 * kMs;
  BalancerFixture fixture(s);
  fixture.start(2);
  fixture.updateList(MembershipUpdate::Kind::Changes, {leaving(0, EndpointState::Draining)});
  EXPECT_EQ(fixture.count<CloseIdle>(), 1u);
  fixture.updateList(MembershipUpdate::Kind::Changes, {serving(0)});
  EXPECT_EQ(fixture.count<CloseIdle>(), 0u);
  fixture.advance(800 * kMs);
  EXPECT_EQ(fixture.count<CloseIdle>(), 0u);
}

TEST(Membership, RetriesAndHeldRequestsSeeTheDrainToo) {
  BalancerFixture fixture;
  fixture.start(2);
  const EndpointId at = fixture.sendRequest(1);
  fixture.updateList(Kind::Changes, {leaving(1 - at, EndpointState::Draining)});
  fixture.outcome(1, at, Outcome::Reset);
  for (const Send& send : fixture.all<Send>()) EXPECT_EQ(send.upstream, at);
}

TEST(Membership, SubscribesAtStartAndAgainAfterFailures) {
  BalancerFixture fixture;
  fixture.start(2);
  EXPECT_EQ(fixture.count<Subscribe>(), 1u);
  for (int n = 0; n < 20; ++n) {
    fixture.updateList(Kind::Failed);
    EXPECT_EQ(fixture.count<Subscribe>(), 0u) << "a failed call must not be repeated at once";
    Micros waited = 0;
    do {
      waited += 50 * kMs;
      fixture.advance(50 * kMs);
    } while (fixture.count<Subscribe>() == 0 && waited < 20 * kSecond);
    EXPECT_LE(waited, plainSettings().pollWithin / 3);
  }
}

TEST(Membership, KeepsDecidingOnTheOldListWhileDiscoveryIsDown) {
  BalancerFixture fixture;
  fixture.start(2);
  fixture.updateList(Kind::Failed);
  fixture.sendRequest(1);
}

TEST(Membership, PushSitesFetchOnceForAStaleSavedList) {
  Settings s = plainSettings();
  s.mustSubscribe = false;
  BalancerFixture fixture(s);
  fixture.start(2);
  EXPECT_EQ(fixture.count<Fetch>(), 1u);
  EXPECT_EQ(fixture.count<Subscribe>(), 0u);
}

TEST(Membership, EmptyListHoldsThenRejects) {
  BalancerFixture fixture;
  fixture.start(0);
  fixture.request(1);
  EXPECT_EQ(fixture.count<Reject>() + fixture.count<Send>() + fixture.count<Fail>(), 0u);
  fixture.advance(kSecond);
  EXPECT_EQ(fixture.count<Reject>(), 1u);
  fixture.request(2);
  fixture.updateList(Kind::Full, {serving(0)});
  EXPECT_EQ(fixture.count<Send>(), 1u) << "a held request is sent as soon as an upstream is listed";
}

// ---- Slow start -----------------------------------------------------------------------------------------

TEST(SlowStart, AnUpstreamInSlowStartGetsItsShareTimesItsCapacityAtMost) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, {serving(0), serving(1), serving(2), serving(3)});
  fixture.updateList(Kind::Changes, {serving(3, 1, fixture.now)});
  std::array<int, 4> got{};
  for (RequestId id = 1; id <= 100; ++id) {  // the first second of slow start: capacity 0.3 to 0.39
    const EndpointId to = fixture.sendRequest(id);
    ++got[to];
    fixture.outcome(id, to, Outcome::Ok);
    fixture.now += 10 * kMs;
  }
  EXPECT_LE(got[3], 100 * 0.39 / 4 + 1);
  EXPECT_GE(got[3], 3);
}

TEST(SlowStart, AHeavyRequestSpendsMoreCredit) {
  const auto sendsInSlowStart = [](bool heavy) {
    BalancerFixture fixture;
    fixture.updateList(MembershipUpdate::Kind::Saved, {serving(0), serving(1, 1, fixture.now)});
    int sends = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      NewRequest r;
      r.request = id;
      r.expiresIn = kSecond;
      r.work = heavy && fixture.balancer.ready(1, fixture.now) ? 80 * kMs : 10 * kMs;
      fixture.feed(r);
      if (fixture.count<Send>() == 0) continue;
      const EndpointId to = fixture.first<Send>().upstream;
      sends += to == 1;
      fixture.outcome(id, to, Outcome::Ok);
      fixture.now += kMs;
    }
    return sends;
  };
  EXPECT_GT(sendsInSlowStart(false), 30);
  EXPECT_LT(sendsInSlowStart(true), sendsInSlowStart(false) * 3 / 4);
}

TEST(SlowStart, NoBurstAfterAQuietTime) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, {serving(0), serving(1)});
  fixture.updateList(Kind::Changes, {serving(1, 1, fixture.now)});
  for (RequestId id = 1; id <= 40; ++id) {  // earn credit, whether upstream 1 is picked or not
    const EndpointId to = fixture.sendRequest(id);
    fixture.outcome(id, to, Outcome::Ok);
  }
  int burst = 0;
  for (RequestId id = 100; id < 104; ++id) {
    fixture.request(id);
    burst += fixture.count<Send>() == 1 && fixture.first<Send>().upstream == 1;
  }
  EXPECT_LE(burst, 2);
}

TEST(SlowStart, AFleetAllInSlowStartIsSentOnlyItsCapacity) {
  BalancerFixture fixture;
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 0; id < 4; ++id) entries.push_back(serving(id, 1, fixture.now));
  fixture.updateList(Kind::Saved, entries);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    fixture.request(id);
    const std::vector<Send> todo = fixture.all<Send>();
    sends += todo.size();
    for (const Send& send : todo) fixture.outcome(send.request, send.upstream, Outcome::Ok);
    fixture.now += kMs;
  }
  EXPECT_GE(sends, 15u) << "slow start must not block all requests";
  EXPECT_LE(sends, 60u);
}

// Sidecars that get the list with a new upstream at the same time must not all send to it at once.
TEST(SlowStart, SidecarsThatLearnOfAStartTogetherDoNotAllSend) {
  int toSlowStart = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    BalancerFixture fixture(plainSettings(), seed);
    fixture.updateList(Kind::Saved, {serving(0), serving(1, 1, fixture.now)});
    toSlowStart += fixture.sendRequest(1) == 1;
  }
  EXPECT_LE(toSlowStart, 200 * 0.3 / 2 + 12)
      << "half of the requests (two upstreams), times the start capacity of 0.3";
  EXPECT_GE(toSlowStart, 5);
}

TEST(SlowStart, ARestartClearsTheHistory) {
  BalancerFixture fixture;
  fixture.start(2);
  for (RequestId id = 1; id <= 60; ++id) {
    const EndpointId to = fixture.sendRequest(id, kUnsafe);
    fixture.outcome(id, to, to == 0 ? Outcome::Error : Outcome::Ok);
  }
  EXPECT_FALSE(fixture.balancer.ready(0, fixture.now));
  fixture.updateList(Kind::Changes, {serving(0, 1, fixture.now - 60 * kSecond)});
  EXPECT_TRUE(fixture.balancer.ready(0, fixture.now));
}

// ---- Concurrency limits, backoff and outlier detection --------------------------------------------------

TEST(Limits, ARejectingUpstreamDoesNotAttractTraffic) {
  BalancerFixture fixture;
  fixture.start(4);
  int rejected = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    EndpointId to = fixture.sendRequest(id);
    std::uint32_t attempt = 0;
    fixture.now += 10 * kMs;
    while (to == 0) {
      ++rejected;
      fixture.outcome(id, 0, Outcome::Full, attempt++);
      if (fixture.count<Send>() == 0) break;
      to = fixture.first<Send>().upstream;
    }
    if (to != 0) fixture.outcome(id, to, Outcome::Ok, attempt);
  }
  EXPECT_LE(rejected, 60) << "in 4 s; uniform draws would go there 100 times";
  EXPECT_GE(rejected, 2) << "it is tried again at intervals";
}

// Sends requests until upstream 0 is not ready or `most` are sent, answers them all after `answer`, and
// returns how many were sent.
std::size_t fillAndAnswer(BalancerFixture& fixture, RequestId& id, Micros answer, std::size_t most = 100) {
  const RequestId first = id;
  const std::size_t fit = fixture.fillUpstream0(id, most);
  fixture.now += answer;
  for (RequestId done = first; done < id; ++done) fixture.outcome(done, 0, Outcome::Ok);
  return fit;
}

// Guards against retries to an upstream that has just rejected a request: its queue is still full a
// millisecond later.
TEST(Limits, ARejectionBacksOffForAboutAServiceTime) {
  BalancerFixture fixture;
  fixture.start(1);
  RequestId id = 1;
  for (int round = 0; round < 60; ++round) fillAndAnswer(fixture, id, 20 * kMs);  // raises the limit
  fixture.outcome(id, fixture.sendRequest(id), Outcome::Full);
  EXPECT_FALSE(fixture.balancer.ready(0, fixture.now + 5 * kMs));
  EXPECT_TRUE(fixture.balancer.ready(0, fixture.now + kSecond));
}

TEST(Limits, SlowAnswersLowerTheLimitAndFurtherRequestsAreHeld) {
  BalancerFixture fixture;
  fixture.start(1);
  for (RequestId id = 1; id <= 4; ++id) {
    fixture.sendRequest(id);
    fixture.now += (id == 1 ? 10 : 350) * kMs;  // the first sets the minimum latency
    fixture.outcome(id, 0, Outcome::Ok);
    fixture.advance(kSecond);
  }
  fixture.sendRequest(100);
  fixture.request(101);
  EXPECT_EQ(fixture.count<Send>(), 0u);
  fixture.outcome(100, 0, Outcome::Ok);
  EXPECT_EQ(fixture.count<Send>(), 1u);
  EXPECT_EQ(fixture.first<Send>().request, 101u);
}

// Runs `rounds` rounds of at most `inUse` requests each to upstream 0, answered after `answer`; returns how
// many attempts the limit then allows.
std::size_t attemptsThatFitAfter(BalancerFixture& fixture, int rounds, std::size_t inUse,
                                 Micros answer = 20 * kMs, Micros pause = kSecond) {
  RequestId id = 1'000'000;
  for (int round = 0; round < rounds; ++round) {
    fillAndAnswer(fixture, id, answer, inUse);
    fixture.advance(pause);
  }
  return fixture.fillUpstream0(id);
}

// All slow answers of one round trip are one sign of overload: the limit is cut once.
TEST(Limits, IsCutOnceARoundTrip) {
  BalancerFixture fixture;
  fixture.start(1);
  RequestId id = 1;
  for (int round = 0; round < 60; ++round) fillAndAnswer(fixture, id, 20 * kMs);
  const auto before = static_cast<double>(fillAndAnswer(fixture, id, 300 * kMs));
  ASSERT_GE(before, 10);
  EXPECT_NEAR(static_cast<double>(fixture.fillUpstream0(id)), 0.7 * before, 1.5);
}

// Guards against limits cut for slow answers of small upstreams, which take longer even when they are not
// overloaded.
TEST(Limits, SmallUpstreamsMayTakeLonger) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, {serving(0, 1), serving(1, 3)});
  for (RequestId id = 1; id <= 100; ++id) {
    const EndpointId to = fixture.sendRequest(id);
    fixture.now += (to == 0 && id > 20 ? 100 : 10) * kMs;
    fixture.outcome(id, to, Outcome::Ok);
    fixture.advance(kSecond);
  }
  std::size_t fit = 0;
  for (RequestId id = 1000; fixture.balancer.ready(0, fixture.now) && id < 1200; ++id)
    fit += fixture.sendRequest(id) == 0;
  EXPECT_GE(fit, 2u);
}

// Guards against start limits that, added up over many sidecars, overload an upstream.
TEST(Limits, LimitsOfManySidecarsStartBelowOne) {
  Settings s = plainSettings();
  s.sidecars = 16;
  BalancerFixture fixture(s);
  fixture.start(2);
  const EndpointId first =
      fixture.sendRequest(1);  // until its first answer the sidecar lacks load information
  fixture.now += 10 * kMs;
  fixture.outcome(1, first, Outcome::Ok);
  const EndpointId other = 1 - first;
  EndpointId to = first;
  for (RequestId id = 2; to == first; ++id) {
    to = fixture.sendRequest(id);
    fixture.now += 10 * kMs;
    fixture.outcome(id, to, Outcome::Ok);
  }
  EXPECT_FALSE(fixture.balancer.ready(other, fixture.now))
      << "a limit below one is kept by backoff between attempts";
  EXPECT_TRUE(fixture.balancer.ready(other, fixture.now + 100 * kMs));
}

TEST(Limits, TimelyAnswersRaiseTheLimit) {
  BalancerFixture fixture;
  fixture.start(1);
  EXPECT_GE(attemptsThatFitAfter(fixture, 60, 100, 20 * kMs, 0), 10u);
}

// Guards against a start limit of two: four sidecars with two attempts each at every upstream would make
// small upstreams slow from the first second on.
TEST(Limits, StartLowUntilTheFirstTimelyAnswer) {
  BalancerFixture fixture;
  fixture.start(1);
  fixture.sendRequest(1);
  EXPECT_FALSE(fixture.balancer.ready(0, fixture.now));
  fixture.now += 10 * kMs;
  fixture.outcome(1, 0, Outcome::Ok);
  fixture.sendRequest(2);
  EXPECT_TRUE(fixture.balancer.ready(0, fixture.now));
  fixture.sendRequest(3);
  EXPECT_FALSE(fixture.balancer.ready(0, fixture.now));
}

// Guards against limits with a lower bound of one: ten sidecars with one attempt each already overload an
// upstream.
TEST(Limits, MayFallBelowOneAndThenBackOffBetweenAttempts) {
  BalancerFixture fixture;
  fixture.start(1);
  RequestId id = 1;
  for (int n = 0; n < 30; ++n, ++id) {
    fixture.sendRequest(id);
    fixture.now += (id == 1 ? 10 : 350) * kMs;
    fixture.outcome(id, 0, Outcome::Ok);
    fixture.advance(2 * kSecond);
  }
  fixture.sendRequest(id);
  fixture.now += 350 * kMs;
  fixture.outcome(id, 0, Outcome::Ok);
  EXPECT_EQ(fixture.balancer.inFlight(0), 0u);
  EXPECT_FALSE(fixture.balancer.ready(0, fixture.now)) << "it is in backoff though no attempt is in flight";
  EXPECT_TRUE(fixture.balancer.ready(0, fixture.now + kSecond)) << "the backoff is under a second";
}

// Guards against network latency that counts as slowness: answers of an idle upstream in a distant zone can
// take a fifth of the latency objective.
TEST(Limits, NetworkLatencyDoesNotMakeAnAnswerSlow) {
  BalancerFixture fixture;
  fixture.start(1);
  EXPECT_GE(attemptsThatFitAfter(fixture, 40, 100, 150 * kMs, 0), 4u);
}

// Guards against limits that grow while they are not reached: the next burst then overloads every upstream.
TEST(Limits, OnlyABindingLimitGrows) {
  BalancerFixture quiet;
  quiet.start(1);
  EXPECT_LE(attemptsThatFitAfter(quiet, 60, 1), 2u);
  BalancerFixture busy;
  busy.start(1);
  EXPECT_GE(attemptsThatFitAfter(busy, 60, 100), 10u);
}

// Guards against limits of many sidecars that grow fast: the limits add up at the upstream.
TEST(Limits, ManySidecarsGrowTheirLimitsSlowly) {
  Settings s = plainSettings();
  s.sidecars = 16;
  BalancerFixture many(s);
  many.start(1);
  BalancerFixture few;
  few.start(1);
  const std::size_t manyFit = attemptsThatFitAfter(many, 60, 100),
                    fewFit = attemptsThatFitAfter(few, 60, 100);
  EXPECT_GE(manyFit, 1u);
  EXPECT_LE(2 * manyFit, fewFit);
}

// Guards against limits cut for slow answers of upstreams that report idle CPU and so are not overloaded.
TEST(Limits, ReportedIdleCpuKeepsTheLimit) {
  const auto slowAnswers = [](double cpu) {
    BalancerFixture fixture;
    fixture.start(1);
    for (RequestId id = 1; id <= 4; ++id) {
      fixture.sendRequest(id);
      fixture.now += (id == 1 ? 10 : 350) * kMs;
      AttemptOutcome ok{id, 0, 0, Outcome::Ok, 0, true, LoadReport{}};
      ok.report->cpuShare = cpu;
      fixture.feed(ok);
      fixture.advance(kSecond);
    }
    RequestId next = 100;
    return fixture.fillUpstream0(next);
  };
  EXPECT_GE(slowAnswers(0.3), 2u);
  EXPECT_LE(slowAnswers(0.95), 1u);
}

// If objectiveStretch lets the latency objective grow with a request's work, the request is held longer, and
// the latency from which its answer counts as slow is higher.
TEST(Admission, ALatencyObjectiveThatGrowsWithTheWorkLengthensTheHold) {
  const auto heldFor = [](double objectiveStretch) {
    Settings s = plainSettings();
    s.classes[kSafe].objectiveStretch = objectiveStretch;
    BalancerFixture fixture(s);
    fixture.updateList(Kind::Saved, {});
    fixture.feed(NewRequest{1, kSafe, 0, {}, kSecond, 100 * kMs, false});
    Micros waited = 0;
    while (fixture.count<Reject>() == 0 && waited < 2 * kSecond) {
      fixture.advance(10 * kMs);
      waited += 10 * kMs;
    }
    return waited;
  };
  EXPECT_EQ(heldFor(0), 400 * kMs);
  EXPECT_EQ(heldFor(2), 600 * kMs);
  EXPECT_EQ(heldFor(1e9), kSecond) << "at most until the deadline";
}

// Guards against limits that heavy requests cut at upstreams that are not overloaded: in a class whose
// requests differ widely in work, a heavy one takes longer in any case.
TEST(Limits, AHeavyRequestMayTakeLonger) {
  const auto fitAfterLongAnswers = [](Micros work, Micros lag = 110 * kMs) {
    BalancerFixture fixture;
    fixture.start(1);
    for (RequestId id = 1; id <= 24; ++id) {
      const bool longOne = id > 20;
      NewRequest r{id, kSafe, 0, {}, kSecond, longOne ? work : 50 * kMs, false};
      fixture.feed(r);
      fixture.now += longOne ? lag : 10 * kMs;
      fixture.outcome(id, 0, Outcome::Ok);
      fixture.advance(kSecond);
    }
    RequestId next = 100;
    return fixture.fillUpstream0(next);
  };
  EXPECT_EQ(fitAfterLongAnswers(200 * kMs), 2u);
  EXPECT_EQ(fitAfterLongAnswers(50 * kMs), 1u);
  EXPECT_EQ(fitAfterLongAnswers(100 * kSecond, 200 * kMs), 1u)
      << "the allowance for heavy requests is bounded";
  EXPECT_EQ(fitAfterLongAnswers(1), 1u);  // the effect of a tiny hint is bounded, too
}

// Guards against one tenant's burst that fills the queue of held requests, so that other tenants' requests
// are rejected with it.
TEST(Admission, ATenantWithinItsShareGoesBeforeOneAboveIt) {
  Settings s = plainSettings();
  s.overShareWeight = 0.1;
  BalancerFixture fixture(s);
  fixture.start(1);
  const auto ask = [&](RequestId id, std::uint32_t tenant) {
    NewRequest r;
    r.request = id;
    r.requestClass = kUnsafe;
    r.tenant = tenant;
    r.expiresIn = kSecond;
    fixture.feed(r);
  };
  fixture.sendRequest(1000);
  fixture.outcome(1000, 0, Outcome::Ok);  // raises the limit to two
  RequestId id = 1;
  std::vector<RequestId> out;
  while (fixture.balancer.ready(0, fixture.now)) {  // tenant 0 uses up the limit
    ask(id, 0);
    out.push_back(id++);
  }
  const RequestId quiet = id++;
  ask(quiet, 1);
  for (int n = 0; n < 20; ++n) ask(id++, 0);
  fixture.outcome(out[0], 0, Outcome::Ok);
  ASSERT_EQ(fixture.count<Send>(), 1u);
  EXPECT_EQ(fixture.first<Send>().request, quiet);
}

// A tenant's usage expires: a burst of a minute ago does not lower its priority.
TEST(Admission, UsageOfATenantExpires) {
  const auto first = [](Micros since) {
    Settings s = plainSettings();
    s.overShareWeight = 0.1;
    BalancerFixture fixture(s);
    fixture.start(1);
    const auto ask = [&](RequestId id, std::uint32_t tenant) {
      fixture.feed(NewRequest{id, kUnsafe, tenant, {}, kSecond, {}, false});
    };
    for (RequestId id = 1; id <= 50; ++id) {
      ask(id, 0);
      fixture.outcome(id, 0, Outcome::Ok);
    }
    fixture.advance(since);
    for (RequestId id = 51; id <= 60; ++id) {
      ask(id, 1);
      fixture.outcome(id, 0, Outcome::Ok);
    }
    RequestId id = 100;
    for (; fixture.balancer.ready(0, fixture.now); ++id) ask(id, 1);
    ask(500, 1);
    ask(501, 0);
    ask(502, 1);
    fixture.outcome(100, 0, Outcome::Ok);
    EXPECT_GE(fixture.count<Send>(), 1u);
    return fixture.first<Send>().request;
  };
  EXPECT_EQ(first(0), 502u) << "tenant 0 is far above its share";
  EXPECT_EQ(first(60 * kSecond), 501u) << "now tenant 1 is above its share";
}

TEST(Admission, HeldRequestsStayBoundedWhileNoUpstreamIsReady) {
  BalancerFixture fixture;
  fixture.updateList(Kind::Saved, {});
  for (RequestId id = 1; id <= 500; ++id) {
    fixture.request(id);
    fixture.advance(20 * kMs);
    EXPECT_LE(fixture.balancer.heldRequests(), 25u);
  }
}

TEST(Admission, TheClassOfHigherValueGoesFirstThenTheNewest) {
  Settings s = plainSettings();
  s.classes[kUnsafe].weight = 5;
  s.weightByWork = true;
  BalancerFixture fixture(s);
  fixture.start(1);
  fixture.sendRequest(1000);
  fixture.outcome(1000, 0, Outcome::Ok);  // raises the limit to two
  RequestId id = 1;
  std::vector<RequestId> out;
  while (fixture.balancer.ready(0, fixture.now)) {
    fixture.request(id, kSafe);
    out.push_back(id++);
  }
  fixture.request(100, kSafe);
  fixture.request(101, kUnsafe);
  fixture.request(102, kSafe);
  std::vector<RequestId> order;
  std::vector<RequestId> done = {out[0]};
  while (!done.empty()) {
    fixture.outcome(done.back(), 0, Outcome::Ok);
    done.clear();
    if (fixture.count<Send>() == 1) {
      order.push_back(fixture.first<Send>().request);
      done = {order.back()};
    }
  }
  EXPECT_EQ(order, (std::vector<RequestId>{101, 102, 100}));
}

// Guards against serving clients' retries, which have already used half of their latency objective, before
// fresh requests.
TEST(Admission, AFreshRequestGoesBeforeANewerRepeat) {
  BalancerFixture fixture;
  fixture.start(1);
  fixture.sendRequest(1);
  NewRequest fresh{10, kSafe, 0, {}, kSecond, {}, false};
  NewRequest repeat{11, kSafe, 0, {}, kSecond, {}, true};
  fixture.feed(fresh);
  fixture.feed(repeat);
  EXPECT_EQ(fixture.count<Send>(), 0u);
  fixture.outcome(1, 0, Outcome::Ok);
  ASSERT_GE(fixture.count<Send>(), 1u);
  EXPECT_EQ(fixture.first<Send>().request, 10u);
}

// Guards against unmarked retries that are served before fresh requests under overload: a request with much
// less time than its class usually has is a retry, and the time that its client has already waited counts
// towards its latency objective.
TEST(Admission, ARequestShortenedByItsDeadlineCountsAsLate) {
  BalancerFixture fixture;
  fixture.start(1);
  fixture.sendRequest(1);
  fixture.request(9, kUnsafe, 500 * kMs);
  fixture.request(10, kUnsafe, 500 * kMs);
  // The client has waited 700 ms of its 1 s, and the latency objective is 400 ms.
  fixture.request(11, kUnsafe, 300 * kMs);
  fixture.request(12, kUnsafe, 470 * kMs);  // within a tenth of the usual 500 ms: not taken for a retry
  std::vector<RequestId> order = {1};
  for (std::size_t n = 0; n < order.size(); ++n) {
    fixture.outcome(order[n], 0, Outcome::Ok);
    for (const Send& send : fixture.all<Send>()) order.push_back(send.request);
  }
  EXPECT_EQ(order, (std::vector<RequestId>{1, 12, 10, 9, 11}));
}

// A request is held only while an answer can still arrive in time.
TEST(Admission, ARequestTooLateOnArrivalIsRejectedAtOnce) {
  BalancerFixture fixture;
  fixture.start(1);
  for (RequestId id = 1; id <= 100; ++id) {
    fixture.sendRequest(id);
    fixture.now += 50 * kMs;
    fixture.outcome(id, 0, Outcome::Ok);
  }
  fixture.updateList(Kind::Full, {});
  fixture.request(500, kSafe, 30 * kMs);
  EXPECT_EQ(fixture.count<Reject>(), 1u);
  fixture.request(501, kSafe, 300 * kMs);
  EXPECT_EQ(fixture.count<Reject>(), 0u);
}

// A held request is rejected before its latency objective ends, while its client can still retry in time.
TEST(Admission, ARequestThatCannotBeServedInTimeIsRejectedEarly) {
  BalancerFixture fixture;
  fixture.start(1);
  RequestId id = 1;
  for (; id <= 40; ++id) {
    fixture.sendRequest(id, kUnsafe);
    fixture.now += 50 * kMs;
    fixture.outcome(id, 0, Outcome::Ok);
  }
  while (fixture.balancer.ready(0, fixture.now)) fixture.sendRequest(id++, kUnsafe);
  fixture.request(500, kUnsafe);
  Micros waited = 0;
  while (fixture.count<Reject>() == 0 && waited < kSecond) {
    fixture.advance(10 * kMs);
    waited += 10 * kMs;
  }
  EXPECT_GE(waited, 200 * kMs);
  EXPECT_LT(waited, 400 * kMs) << "its latency objective is 400 ms";
}

// Guards against a hung upstream that gets requests until its first attempts time out.
TEST(Health, ASilentUpstreamIsNotReadyUntilItAnswers) {
  BalancerFixture fixture;
  fixture.start(4);
  RequestId id = 1;
  for (; id <= 200; ++id) {
    const EndpointId to = fixture.sendRequest(id, kUnsafe);
    fixture.now += 20 * kMs;
    fixture.outcome(id, to, Outcome::Ok);
  }
  const EndpointId hung = fixture.sendRequest(1000, kUnsafe);
  for (; id <= 260; ++id) {
    const EndpointId to = fixture.sendRequest(id, kUnsafe);
    fixture.now += 20 * kMs;
    if (to != hung) fixture.outcome(id, to, Outcome::Ok);
  }
  EXPECT_FALSE(fixture.balancer.ready(hung, fixture.now));
  EXPECT_LE(fixture.balancer.inFlight(hung), 2u);
  fixture.outcome(1000, hung, Outcome::Ok);
  EXPECT_TRUE(fixture.balancer.ready(hung, fixture.now));
}

TEST(Health, AFailingUpstreamIsEjectedTriedAndReadmitted) {
  BalancerFixture fixture;
  fixture.start(4);
  RequestId id = 1;
  const auto run = [&](int requests, bool broken) {
    int got = 0;
    for (int n = 0; n < requests; ++n, ++id) {
      const EndpointId to = fixture.sendRequest(id, kUnsafe);
      got += to == 0;
      fixture.outcome(id, to, to == 0 && broken ? Outcome::Error : Outcome::Ok);
      fixture.now += 10 * kMs;
    }
    return got;
  };
  EXPECT_LE(run(1000, true), 12) << "in 10 s; uniform draws would send 250";
  fixture.now += 15 * kSecond;
  EXPECT_GE(run(400, false), 60) << "it is readmitted";
}

TEST(Health, AtMostHalfOfTheUpstreamsAreEjected) {
  BalancerFixture fixture;
  fixture.start(4);
  for (RequestId id = 1; id <= 200; ++id) {
    fixture.request(id, kUnsafe);
    if (fixture.count<Send>() == 1) fixture.outcome(id, fixture.first<Send>().upstream, Outcome::Error);
    fixture.now += 10 * kMs;
  }
  int ready = 0;
  for (EndpointId u = 0; u < 4; ++u) ready += fixture.balancer.ready(u, fixture.now);
  EXPECT_GE(ready, 2);
}

// Guards against a failing upstream that stays in service because of the cap on ejections: it fails fast, so
// its in-flight count is the lowest and it draws most requests. Without a backoff, with nine of 18 upstreams
// failing and eight ejected, the ninth would get a third of all requests, and two thirds of all requests
// would be answered with an error.
TEST(Health, AFailingUpstreamBeyondTheCapOnEjectionsIsBackedOff) {
  constexpr EndpointId kBroken = 5;
  BalancerFixture fixture;
  fixture.start(8);
  struct Out {
    RequestId id;
    EndpointId to;
    Micros until;
  };
  std::deque<Out> out;
  std::array<int, 8> got{};
  for (RequestId id = 1; id <= 2000; ++id) {
    const EndpointId to = fixture.sendRequest(id, kUnsafe);
    if (id > 1000) ++got.at(to);
    out.push_back({id, to, fixture.now + (to < kBroken ? 5 : 30) * kMs});
    fixture.now += 5 * kMs;
    for (const Out& one : std::exchange(out, {})) {
      if (one.until > fixture.now) {
        out.push_back(one);
      } else {
        fixture.outcome(one.id, one.to, one.to < kBroken ? Outcome::Error : Outcome::Ok);
      }
    }
  }
  int failed = 0;
  for (EndpointId broken = 0; broken < kBroken; ++broken) failed += got.at(broken);
  EXPECT_LE(failed, 60) << "of 1000 in 5 s; the fair share of each upstream is 125";
  EXPECT_GE(failed, 5) << "it is tried again at intervals";
}

// A request that would otherwise be rejected is sent to an ejected upstream as a trial, if that upstream
// still answers (with errors); not to one that resets, times out or refuses connections.
TEST(Health, ARequestToBeRejectedIsATrialOfAnEjectedUpstreamThatAnswers) {
  struct Row {
    Outcome failure;
    std::uint32_t cls;
    bool tried;
  };
  for (const Row& row : {Row{Outcome::Error, kUnsafe, true},
                         {Outcome::Error, kKeyed, true},
                         {Outcome::Error, kSafe, true},
                         {Outcome::Reset, kUnsafe, false},
                         {Outcome::Timeout, kUnsafe, false},
                         {Outcome::ConnectFailed, kUnsafe, false}}) {
    SCOPED_TRACE(static_cast<int>(row.failure));
    Settings s = plainSettings();
    s.maxAttempts = 1;
    BalancerFixture fixture(s);
    fixture.start(2);
    RequestId id = 1;
    for (; fixture.balancer.ready(0, fixture.now) && id < 200; ++id) {
      fixture.request(id, kUnsafe);
      if (fixture.count<Send>() == 0) continue;
      const EndpointId to = fixture.first<Send>().upstream;
      fixture.outcome(id, to, to == 0 ? row.failure : Outcome::Ok);
      fixture.now += 20 * kMs;
    }
    ASSERT_FALSE(fixture.balancer.ready(0, fixture.now));
    // The other upstream is filled to its limit.
    while (fixture.balancer.ready(1, fixture.now)) ASSERT_EQ(fixture.sendRequest(++id, kUnsafe), 1u);
    const RequestId last = ++id;
    fixture.request(last, row.cls);
    EXPECT_EQ(fixture.count<Send>() + fixture.count<Reject>(), 0u)
        << "it waits for the other upstream while there is time";
    std::size_t sent = 0, rejected = 0;
    for (int n = 0; n < 80 && sent + rejected == 0; ++n) {
      fixture.advance(5 * kMs);
      sent = fixture.count<Send>();
      rejected = fixture.count<Reject>();
    }
    EXPECT_EQ(sent, row.tried ? 1u : 0u);
    EXPECT_EQ(rejected, row.tried ? 0u : 1u);
    if (!row.tried) continue;
    EXPECT_EQ(fixture.first<Send>().upstream, 0u);
    EXPECT_EQ(fixture.balancer.heldRequests(), 0u)
        << "a request on trial is no longer held, so it is not sent twice";
    // One trial at a time.
    fixture.request(++id, row.cls);
    std::size_t more = 0;
    for (int n = 0; n < 80; ++n) {
      fixture.advance(5 * kMs);
      more += fixture.count<Send>();
    }
    EXPECT_EQ(more, 0u);
  }
}

// Successful trials readmit an ejected upstream before its ejection ends.
TEST(Health, TrialsByRequestsToBeRejectedReadmitAnEjectedUpstream) {
  BalancerFixture fixture;
  fixture.start(2);
  RequestId id = 1;
  for (; fixture.balancer.ready(0, fixture.now) && id < 200; ++id) {
    const EndpointId to = fixture.sendRequest(id, kUnsafe);
    fixture.now += 20 * kMs;
    fixture.outcome(id, to, to == 0 ? Outcome::Error : Outcome::Ok);
  }
  ASSERT_FALSE(fixture.balancer.ready(0, fixture.now));
  while (fixture.balancer.ready(1, fixture.now)) fixture.sendRequest(++id, kUnsafe);
  const Micros from = fixture.now;
  for (int trials = 0; trials < 5 && !fixture.balancer.ready(0, fixture.now); ++trials) {
    const RequestId trial = ++id;
    fixture.request(trial, kUnsafe, 40 * kMs);  // is held for about half of these 40 ms
    for (int n = 0; n < 8 && fixture.count<Send>() == 0; ++n) fixture.advance(5 * kMs);
    if (fixture.count<Send>() == 1) fixture.outcome(trial, 0, Outcome::Ok);
  }
  EXPECT_TRUE(fixture.balancer.ready(0, fixture.now));
  EXPECT_LT(fixture.now - from, 400 * kMs) << "an ejection lasts 750 ms or more";
}

TEST(Health, UpstreamsThatFailOneAfterAnotherAreNotAllEjected) {
  BalancerFixture fixture;
  fixture.start(6);
  RequestId id = 1;
  for (EndpointId broken = 1; broken <= 5; ++broken) {
    for (int n = 0; n < 300; ++n, ++id) {
      fixture.request(id, kUnsafe);
      fixture.now += 10 * kMs;
      if (fixture.count<Send>() == 0) continue;
      const EndpointId to = fixture.first<Send>().upstream;
      fixture.outcome(id, to, to < broken ? Outcome::Reset : Outcome::Ok);
    }
  }
  int ready = 0;
  // The failing upstream that the cap keeps in service is in backoff for a few service times at most.
  for (EndpointId u = 0; u < 6; ++u) ready += fixture.balancer.ready(u, fixture.now + 120 * kMs);
  EXPECT_GE(ready, 3);
}

TEST(Health, AnUpstreamOnTrialGetsOneAttemptAtATime) {
  BalancerFixture fixture;
  fixture.start(3);
  RequestId id = 1;
  for (; fixture.balancer.ready(0, fixture.now) && id < 500; ++id) {
    const EndpointId to = fixture.sendRequest(id, kUnsafe);
    fixture.now += 10 * kMs;
    fixture.outcome(id, to, to == 0 ? Outcome::Error : Outcome::Ok);
  }
  ASSERT_FALSE(fixture.balancer.ready(0, fixture.now));
  fixture.now += 20 * kSecond;
  EXPECT_TRUE(fixture.balancer.ready(0, fixture.now));
  for (int n = 0; n < 6; ++n) fixture.request(id++, kUnsafe);
  EXPECT_EQ(fixture.balancer.inFlight(0), 1u);
}

TEST(Health, OneFailureAmongManyAnswersEjectsNoUpstream) {
  BalancerFixture fixture;
  fixture.start(4);
  for (RequestId id = 1; id <= 400; ++id) {
    const EndpointId to = fixture.sendRequest(id, kUnsafe);
    fixture.outcome(id, to, id % 40 == 0 ? Outcome::Error : Outcome::Ok);
    EXPECT_TRUE(fixture.balancer.ready(to, fixture.now));
    fixture.now += 10 * kMs;
  }
}

// ---- Deadlines and answers ------------------------------------------------------------------------------

TEST(Answers, ATimeoutAtTheDeadlineStillGivesAFinalAnswer) {
  BalancerFixture fixture;
  fixture.start(2);
  const EndpointId at = fixture.sendRequest(1, kUnsafe);
  fixture.now += kSecond + 2 * kMs;
  fixture.outcome(1, at, Outcome::Timeout);
  EXPECT_EQ(fixture.count<Fail>(), 1u);
  fixture.advance(kSecond);
  EXPECT_EQ(fixture.count<Fail>() + fixture.count<Reject>() + fixture.count<Send>(), 0u);
}

TEST(Answers, TheTimerAnswersWhenNothingElseDoes) {
  BalancerFixture fixture;
  fixture.start(2);
  fixture.sendRequest(1, kUnsafe);
  fixture.advance(kSecond);
  EXPECT_EQ(fixture.count<Fail>(), 1u);
  EXPECT_EQ(fixture.count<Cancel>(), 1u) << "an attempt whose request is answered is cancelled";
}

TEST(Answers, ARequestWithoutTimeLeftIsRejectedAtOnce) {
  for (const Micros expiresIn : {Micros{0}, Micros{-5}}) {
    BalancerFixture fixture;
    fixture.start(2);
    fixture.request(1, kSafe, expiresIn);
    EXPECT_EQ(fixture.count<Reject>(), 1u);
    EXPECT_EQ(fixture.count<Send>(), 0u);
  }
}

TEST(Answers, ARejectionHasARetryAfterWhereSettingsAllowIt) {
  const auto retryAfterOf = [](Settings s, RequestId held, std::uint64_t seed) {
    BalancerFixture fixture(s, seed);
    fixture.start(1);
    RequestId id = 1;
    for (; id <= 50; ++id) {
      fixture.sendRequest(id);
      fixture.now += 20 * kMs;
      fixture.outcome(id, 0, Outcome::Ok);
    }
    while (fixture.balancer.ready(0, fixture.now)) fixture.sendRequest(++id);  // the limit is used up
    for (RequestId n = 0; n < held; ++n) fixture.request(++id);
    fixture.request(++id, kSafe, 0);
    EXPECT_EQ(fixture.count<Reject>(), 1u);
    return fixture.first<Reject>().retryAfter;
  };
  Settings s = plainSettings();
  Micros shortestWait = kSecond, longestWait = 0, sumWithNoneHeld = 0, sumWithManyHeld = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const Micros wait = retryAfterOf(s, 0, seed);
    shortestWait = std::min(shortestWait, wait);
    longestWait = std::max(longestWait, wait);
    sumWithNoneHeld += wait;
    sumWithManyHeld += retryAfterOf(s, 30, seed);
    EXPECT_LE(retryAfterOf(s, 1000, seed), s.maxRetryAfter);
  }
  EXPECT_GE(shortestWait, 10 * kMs) << "at least half a service time";
  EXPECT_GT(longestWait, 2 * shortestWait) << "jittered, so that clients do not return together";
  EXPECT_GT(sumWithManyHeld, 2 * sumWithNoneHeld) << "grows with the number of held requests";
  s.retryAfter = false;
  EXPECT_EQ(retryAfterOf(s, 30, 1), 0);
}

TEST(Answers, WithdrawnRequestsAreLeftAlone) {
  BalancerFixture fixture;
  fixture.start(2);
  const EndpointId at = fixture.sendRequest(1);
  fixture.feed(Withdrawn{1});
  EXPECT_EQ(fixture.count<Cancel>(), 1u);
  fixture.feed(Withdrawn{1});
  EXPECT_TRUE(fixture.actions.empty());
  fixture.outcome(1, at, Outcome::Cancelled);
  EXPECT_EQ(fixture.count<Send>() + fixture.count<Fail>() + fixture.count<Reject>(), 0u);
  EXPECT_EQ(fixture.balancer.inFlight(at), 0u);
  fixture.feed(Withdrawn{99});
  EXPECT_EQ(fixture.balancer.openRequests(), 0u);
}

TEST(Answers, NoCancelWhereTheSettingsForbidIt) {
  Settings s = plainSettings();
  s.mayCancel = false;
  BalancerFixture fixture(s);
  fixture.start(2);
  fixture.sendRequest(1);
  fixture.feed(Withdrawn{1});
  EXPECT_EQ(fixture.count<Cancel>(), 0u);
}

TEST(Answers, AStartedStreamHasNoDeadline) {
  Settings s = plainSettings();
  s.classes[kSafe].stream = true;
  BalancerFixture fixture(s);
  fixture.start(2);
  const EndpointId at = fixture.sendRequest(1);
  fixture.feed(AttemptStarted{1, 0});
  fixture.advance(5 * kSecond);
  EXPECT_EQ(fixture.count<Fail>() + fixture.count<Reject>() + fixture.count<Cancel>(), 0u);
  fixture.feed(AttemptOutcome{1, 0, at, Outcome::Reset, 0, true, std::nullopt});
  EXPECT_EQ(fixture.count<Fail>() + fixture.count<Reject>() + fixture.count<Send>(), 0u);
  EXPECT_EQ(fixture.balancer.openRequests(), 0u);
}

// Once a stream has started, the client's rate determines its duration, which says nothing about the
// upstream's load. So the attempt leaves the in-flight count when the stream starts.
TEST(Answers, AStartedStreamLeavesTheInFlightCountOnce) {
  BalancerFixture fixture;
  fixture.start(1);
  const EndpointId at = fixture.sendRequest(1);
  EXPECT_EQ(fixture.balancer.inFlight(at), 1u);
  fixture.feed(AttemptStarted{1, 0});
  EXPECT_EQ(fixture.balancer.inFlight(at), 0u);
  fixture.feed(AttemptStarted{1, 0});
  fixture.sendRequest(2);
  EXPECT_EQ(fixture.balancer.inFlight(at), 1u);
  fixture.advance(5 * kSecond);
  AttemptOutcome end{1, 0, at, Outcome::Ok, 5 * kSecond, true, std::nullopt};
  end.clientLimitedTime = 5 * kSecond;
  fixture.feed(end);
  EXPECT_EQ(fixture.balancer.inFlight(at), 1u) << "the end of the stream must not be counted again";
}

TEST(Answers, AStreamOfAnAttemptThatWasNeverSentIsMisuse) {
  BalancerFixture fixture;
  fixture.start(1);
  fixture.sendRequest(1);
  EXPECT_THROW(fixture.feed(AttemptStarted{1, 1}), std::invalid_argument);
  EXPECT_EQ(fixture.balancer.inFlight(0), 1u);
}

// A request whose body is no longer buffered is not retried: it is rejected if the client may safely retry
// it, and fails otherwise.
TEST(Answers, ARequestWithoutItsBodyIsNotRetried) {
  struct Case {
    std::uint32_t cls;
    Outcome outcome;
    bool rejected;
  };
  for (const Case& one : {Case{kSafe, Outcome::ConnectFailed, true}, Case{kUnsafe, Outcome::Full, true},
                          Case{kSafe, Outcome::Reset, true}, Case{kUnsafe, Outcome::Reset, false}}) {
    BalancerFixture fixture;
    fixture.start(3);
    const EndpointId at = fixture.sendRequest(1, one.cls);
    AttemptOutcome end{1, 0, at, one.outcome, 0, false, std::nullopt};
    end.isBodyConsumed = true;
    fixture.feed(end);
    EXPECT_EQ(fixture.count<Send>(), 0u);
    EXPECT_EQ(fixture.count<Reject>(), one.rejected ? 1u : 0u);
    EXPECT_EQ(fixture.count<Fail>(), one.rejected ? 0u : 1u);
  }
}

// The time that a client takes to send its body or to read its answer does not count as the upstream's
// latency.
TEST(Answers, TransferTimeIsNotUpstreamLatency) {
  const auto servedOf = [](int requests, Micros transfer) {
    BalancerFixture fixture;
    fixture.start(1);
    RequestId id = 1;
    for (; id <= 20; ++id) {
      const EndpointId at = fixture.sendRequest(id);
      fixture.now += 20 * kMs;
      fixture.outcome(id, at, Outcome::Ok);
    }
    int served = 0;
    for (int n = 0; n < requests; ++n, ++id) {
      fixture.request(id, kSafe, 10 * kSecond);
      if (fixture.count<Send>() == 0) break;
      fixture.now += 900 * kMs;
      AttemptOutcome end{id, 0, 0, Outcome::Ok, 900 * kMs, true, std::nullopt};
      end.clientLimitedTime = transfer;
      fixture.feed(end);
      ++served;
    }
    return served;
  };
  EXPECT_EQ(servedOf(8, 880 * kMs), 8);
  EXPECT_LT(servedOf(8, 0), 8);
}

TEST(Answers, AnyOutcomeEndsTheAttemptInFlight) {
  for (const Outcome outcome : {Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Timeout,
                                Outcome::ConnectFailed, Outcome::Reset, Outcome::Cancelled, Outcome::Moot}) {
    Settings s = plainSettings();
    s.maxAttempts = 1;
    BalancerFixture fixture(s);
    fixture.start(3);
    const EndpointId at = fixture.sendRequest(1);
    fixture.outcome(1, at, outcome);
    EXPECT_EQ(fixture.balancer.inFlight(at), 0u);
    EXPECT_EQ(fixture.balancer.openRequests(), 0u);
  }
}

// ---- Misuse and settings --------------------------------------------------------------------------------

TEST(Misuse, IsDetectedAndChangesNothing) {
  BalancerFixture fixture;
  EXPECT_THROW(fixture.request(1), std::invalid_argument) << "before the first list";
  fixture.start(2);
  EXPECT_THROW(fixture.request(1, 17), std::invalid_argument);
  fixture.sendRequest(1);
  EXPECT_THROW(fixture.request(1), std::invalid_argument);
  EXPECT_THROW(fixture.outcome(1, 0, Outcome::Ok, 5), std::invalid_argument);
  NewRequest bad;
  bad.request = 2;
  bad.tenant = 9;
  EXPECT_THROW(fixture.feed(bad), std::invalid_argument);
  EndpointEntry entry = serving(0);
  entry.zone = 7;
  EXPECT_THROW(fixture.updateList(Kind::Full, {entry}), std::invalid_argument);
  entry = serving(0);
  entry.size = std::numeric_limits<double>::quiet_NaN();
  EXPECT_THROW(fixture.updateList(Kind::Full, {entry}), std::invalid_argument);
  EXPECT_EQ(fixture.balancer.openRequests(), 1u);
}

TEST(Misuse, SettingsWithoutClassesAreRejected) {
  EXPECT_THROW(Balancer(Settings{}, 1, 0), std::invalid_argument);
  Settings s = plainSettings();
  s.zone = 2;
  EXPECT_THROW(Balancer(s, 1, 0), std::invalid_argument);
}

TEST(Misuse, AClockThatGoesBackwardsIsIgnored) {
  BalancerFixture fixture;
  fixture.start(2);
  fixture.sendRequest(1);
  fixture.now -= 500 * kSecond;
  fixture.advance(0);
  EXPECT_EQ(fixture.count<Fail>() + fixture.count<Reject>(), 0u);
}

TEST(Determinism, SameSeedAndEventsGiveTheSameActions) {
  const auto run = [](std::uint64_t seed) {
    BalancerFixture fixture(plainSettings(), seed);
    fixture.start(9);
    std::vector<EndpointId> picks;
    for (RequestId id = 1; id <= 200; ++id) {
      picks.push_back(fixture.sendRequest(id));
      fixture.outcome(id, picks.back(), Outcome::Ok);
    }
    return picks;
  };
  EXPECT_EQ(run(5), run(5));
  EXPECT_NE(run(5), run(6));
}

}  // namespace
}  // namespace ivypost::balancer
