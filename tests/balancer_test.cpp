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

TEST(Pick, FirstDrawFillsTheEmptySlot) {
  Rig rig;
  rig.start(4);
  EXPECT_FALSE(rig.balancer.remembered().has_value());
  const EndpointId to = rig.sent(1);
  EXPECT_EQ(rig.balancer.remembered(), to);
  EXPECT_EQ(rig.balancer.inFlight(to), 1u);
}

// Checks the selection rule (a weighted random draw, compared with the remembered upstream) by its effects: a
// request goes to the remembered upstream only if that has fewer attempts in flight than the drawn one, and
// the drawn one is remembered from then on only if it has fewer.
TEST(Pick, FollowsTheRuleOnEveryRequest) {
  Rig rig;
  rig.start(6);
  std::vector<std::pair<RequestId, EndpointId>> out;
  int ties = 0, toSlot = 0, moves = 0;
  for (RequestId id = 1; id <= 2000; ++id) {
    std::array<std::uint32_t, 6> before{};
    for (EndpointId u = 0; u < 6; ++u) before[u] = rig.balancer.inFlight(u);
    const auto slot = rig.balancer.remembered();
    const bool slotReady = slot && rig.balancer.ready(*slot, rig.now);
    rig.request(id);
    if (rig.count<Send>() == 0) {  // no upstream is ready
      rig.feed(Withdrawn{id});
      continue;
    }
    const EndpointId to = rig.first<Send>().upstream;
    out.emplace_back(id, to);
    if (slotReady) {
      const auto after = rig.balancer.remembered();
      ASSERT_LE(before[to], before[*slot])
          << "the drawn upstream was used though the remembered one had fewer attempts in flight";
      if (to != *slot) {
        ASSERT_EQ(after, before[to] < before[*slot] ? to : *slot);
        ties += before[to] == before[*slot];
        moves += before[to] < before[*slot];
      } else {
        ASSERT_EQ(after, slot);
        ++toSlot;
      }
    }
    rig.now += 5 * kMs;
    if (id % 7 != 0 && out.size() > 5) {
      const auto [done, at] = out[id % out.size()];
      rig.outcome(done, at, Outcome::Ok);
      out.erase(out.begin() + static_cast<std::ptrdiff_t>(id % out.size()));
    }
    while (out.size() > 8) {
      rig.outcome(out.front().first, out.front().second, Outcome::Ok);
      out.erase(out.begin());
    }
  }
  EXPECT_GT(ties, 50);
  EXPECT_GT(toSlot, 50);
  EXPECT_GT(moves, 50);
}

TEST(Pick, DrawFollowsRegisteredSizeAtZeroCounts) {
  Rig rig;
  rig.list(Kind::Saved, {serving(0, 1), serving(1, 2), serving(2, 5)});
  std::array<int, 3> got{};
  for (RequestId id = 1; id <= 8000; ++id) {
    const EndpointId to = rig.sent(id);
    ++got[to];
    rig.outcome(id, to, Outcome::Ok);
  }
  EXPECT_NEAR(got[0], 1000, 120);
  EXPECT_NEAR(got[1], 2000, 160);
  EXPECT_NEAR(got[2], 5000, 200);
}

TEST(Pick, BiasOfTheDrawIsBounded) {
  Rig rig;
  rig.list(Kind::Saved, {serving(0, 1e-9), serving(1, 1e9), serving(2, 1)});
  std::array<int, 3> got{};
  for (RequestId id = 1; id <= 3000; ++id) {
    const EndpointId to = rig.sent(id);
    ++got[to];
    rig.outcome(id, to, Outcome::Ok);
  }
  EXPECT_GT(got[0], 20);
  EXPECT_GT(got[2], 20);
}

// Keys are not assigned to fixed upstreams: that gained nothing, unlike weights from recent service times.

// Learned slowness expires, so that an upstream that was slow is used again; and the time that a heavy
// request takes (by its work hint) does not count as slowness.
TEST(Pick, LearnedSlownessIsForgottenAndGoesByTheHint) {
  // Upstream 0 serves requests of work `first` in lag0, upstream 1 those of work `second` in lag1. Returns
  // how many of 1000 requests after `pause` go to upstream 0.
  const auto drawnAfter = [](Micros first, Micros second, Micros lag0, Micros lag1, Micros pause) {
    Rig rig;
    rig.start(2);
    RequestId id = 1;
    for (int round = 0; round < 60; ++round) {
      const EndpointId to = round % 2;
      rig.list(Kind::Full, {serving(to)});
      rig.feed(NewRequest{id, kSafe, 0, {}, kSecond, to == 0 ? first : second, false});
      rig.now += to == 0 ? lag0 : lag1;
      rig.outcome(id++, to, Outcome::Ok);
      rig.wait(kSecond / 10);
    }
    rig.list(Kind::Full, {serving(0), serving(1)});
    rig.wait(pause);
    int to0 = 0;
    for (int n = 0; n < 1000; ++n, ++id) {
      const EndpointId to = rig.sent(id);
      to0 += to == 0;
      rig.feed(AttemptOutcome{id, 0, to, Outcome::Cancelled, 0, true, std::nullopt});
    }
    return to0;
  };
  EXPECT_LE(drawnAfter(50 * kMs, 50 * kMs, 50 * kMs, 12 * kMs, 0), 420);
  EXPECT_NEAR(drawnAfter(50 * kMs, 50 * kMs, 50 * kMs, 12 * kMs, 60 * kSecond), 500, 50);
  EXPECT_NEAR(drawnAfter(200 * kMs, 50 * kMs, 50 * kMs, 12 * kMs, 0), 500, 50);
}

// Guards against heavy requests that go to small upstreams and miss their latency objective there: at low
// load they made up most of the value that came late.
TEST(Pick, HeavyRequestsBendTheDrawFurtherThanLightOnes) {
  Rig rig;
  rig.list(Kind::Saved, {serving(0, 1), serving(2, 3)});
  int heavy = 0, light = 0;
  for (RequestId id = 1; id <= 4000; ++id) {
    NewRequest r{id, kSafe, 0, {}, kSecond, (id % 2 == 0 ? 190 : 10) * kMs, false};
    rig.feed(r);
    ASSERT_EQ(rig.count<Send>(), 1u);
    const EndpointId to = rig.first<Send>().upstream;
    (id % 2 == 0 ? heavy : light) += to == 2;
    rig.outcome(id, to, Outcome::Ok);
  }
  // Relative work is 1.9 and, clamped, 0.25. The odds are the size ratio 3 to the power of its root: 1.38 and
  // 0.5.
  EXPECT_NEAR(heavy, 2000 * 0.820, 100);
  EXPECT_NEAR(light, 2000 * 0.634, 100);
}

// Guards against draws that, with no attempt in flight anywhere, pick slow upstreams as often as fast ones.
TEST(Pick, LearnedSlownessBendsTheDrawWithinBounds) {
  Rig rig;
  rig.start(2);
  std::array<int, 2> got{};
  for (RequestId id = 1; id <= 2000; ++id) {
    const EndpointId to = rig.sent(id);
    if (id > 500) ++got[to];
    rig.now += to == 0 ? 40 * kMs : 5 * kMs;
    rig.outcome(id, to, Outcome::Ok);
    rig.wait(kSecond / 10);
  }
  EXPECT_LT(got[0], got[1] * 3 / 4);
  EXPECT_GT(got[0], 150) << "a slow upstream still gets some requests";
}

TEST(Pick, OwnZoneIsPreferredOnlyWhereCrossingHasAPrice) {
  for (const double price : {0.0, 0.03}) {
    Settings s = plainSettings();
    s.crossZoneCost = price;
    s.zone = 0;
    Rig rig(s);
    rig.start(4);
    int own = 0;
    for (RequestId id = 1; id <= 2000; ++id) {
      const EndpointId to = rig.sent(id);
      own += to % 2 == 0;
      rig.outcome(id, to, Outcome::Ok);
    }
    EXPECT_NEAR(own, price > 0 ? 1600 : 1000, 100);
  }
}

TEST(Pick, SlotIsEmptiedWhenItsUpstreamDrainsOrLeaves) {
  for (const bool drains : {true, false}) {
    Rig rig;
    rig.start(3);
    const EndpointId slot = rig.sent(1);
    if (drains) {
      rig.list(Kind::Changes, {leaving(slot, EndpointState::Draining)});
    } else {
      rig.list(Kind::Full, {serving((slot + 1) % 3), serving((slot + 2) % 3)});
    }
    EXPECT_FALSE(rig.balancer.remembered().has_value());
  }
}

struct RepeatCase {
  std::uint32_t cls;
  RetryGroup group;
  Outcome outcome;
};

TEST(Pick, SlotIsEmptiedWhenItsUpstreamIsMissingFromAFullList) {
  Rig rig;
  rig.start(2);
  rig.outcome(1, rig.sent(1), Outcome::Ok);
  ASSERT_TRUE(rig.balancer.remembered().has_value());
  const EndpointId gone = *rig.balancer.remembered();
  rig.list(Kind::Full, {serving(1 - gone)});
  EXPECT_FALSE(rig.balancer.remembered().has_value());
  EXPECT_FALSE(rig.balancer.ready(gone, rig.now));
}

// ---- Retries --------------------------------------------------------------------------------------------

// For every semantics, group and outcome: whether the request is retried, where, and its final answer if not.
TEST(Repeats, TableOverSemanticsGroupAndOutcome) {
  for (const std::uint32_t cls : {kSafe, kKeyed, kUnsafe}) {
    for (const RetryGroup group : {RetryGroup::All, RetryGroup::Zone, RetryGroup::Cell}) {
      for (const Outcome outcome : {Outcome::Error, Outcome::Full, Outcome::Timeout, Outcome::ConnectFailed,
                                    Outcome::Reset, Outcome::Cancelled, Outcome::Moot}) {
        for (const Micros after : {10 * kMs, 650 * kMs}) {
          Settings s = plainSettings();
          s.classes[cls].group = group;
          Rig rig(s, 7);
          rig.start(8);
          const EndpointId at = rig.sent(1, cls);
          rig.now += after;
          rig.outcome(1, at, outcome);
          const bool neverRan =
              outcome == Outcome::Full || outcome == Outcome::ConnectFailed || outcome == Outcome::Moot;
          const bool late = after > s.classes[kKeyed].retryWindow;
          const bool maySend = cls == kSafe || neverRan || (cls == kKeyed && !late);
          SCOPED_TRACE(testing::Message() << "class " << cls << " group " << static_cast<int>(group)
                                          << " outcome " << static_cast<int>(outcome) << " after " << after);
          ASSERT_EQ(rig.count<Send>(), maySend ? 1u : 0u);
          if (maySend) {
            const EndpointId to = rig.first<Send>().upstream;
            EXPECT_NE(to, at);
            if (cls == kKeyed && !neverRan && group == RetryGroup::Zone) {
              EXPECT_EQ(to % 2, at % 2);
            }
            if (cls == kKeyed && !neverRan && group == RetryGroup::Cell) {
              EXPECT_EQ(to / 2, at / 2);
            }
          } else {
            // A rejection invites the client to retry, so a request that may have run gets a failure.
            EXPECT_EQ(rig.count<Fail>(), 1u);
            EXPECT_EQ(rig.count<Reject>(), 0u);
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
    Rig rig;
    rig.start(4);
    const EndpointId to = rig.sent(1, kKeyed);
    rig.now += after;
    rig.outcome(1, to, Outcome::Error);
    return rig.count<Send>() == 1;
  };
  const Micros window = plainSettings().classes[kKeyed].retryWindow, step = plainSettings().resolution;
  EXPECT_TRUE(repeated(window - 2 * step));
  EXPECT_FALSE(repeated(window - step));
}

TEST(Repeats, KeyedRefusalNeedsTheWidestGroup) {
  for (const RetryGroup group : {RetryGroup::All, RetryGroup::Zone, RetryGroup::Cell}) {
    Settings s = plainSettings();
    s.classes[kKeyed].group = group;
    s.maxAttempts = 1;
    Rig rig(s);
    rig.start(4);
    const EndpointId at = rig.sent(1, kKeyed);
    rig.now += 10 * kMs;
    rig.outcome(1, at, Outcome::Error);
    EXPECT_EQ(rig.count<Reject>(), group == RetryGroup::All ? 1u : 0u);
    EXPECT_EQ(rig.count<Fail>(), group == RetryGroup::All ? 0u : 1u);
  }
}

TEST(Repeats, AnUpstreamWithoutACellRepeatsOnlyToItself) {
  Rig rig;
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 0; id < 4; ++id) {
    entries.push_back(serving(id));
    entries.back().cell.reset();
  }
  rig.list(Kind::Saved, entries);
  const EndpointId at = rig.sent(1, kKeyed);
  rig.now += 10 * kMs;
  rig.outcome(1, at, Outcome::Error);
  for (const Send& send : rig.all<Send>()) EXPECT_EQ(send.upstream, at);
}

TEST(Repeats, StopAtMaxAttempts) {
  Rig rig;
  rig.start(8);
  EndpointId at = rig.sent(1);
  std::size_t sends = 1;
  for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {
    rig.outcome(1, at, Outcome::ConnectFailed, attempt);
    if (rig.count<Send>() == 0) break;
    at = rig.first<Send>().upstream;
    ++sends;
  }
  EXPECT_EQ(sends, 3u);
  EXPECT_EQ(rig.count<Reject>(), 1u);
}

TEST(Repeats, BudgetBoundsRepeatsOfWhatMayHaveRun) {
  Settings s = plainSettings();
  s.maxAttempts = 100;
  Rig rig(s);
  rig.start(12);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    rig.request(id);
    sends += rig.count<Send>();
    rig.now += 100 * kMs;
    // Fails every attempt of this request until it gets its final answer.
    std::uint32_t attempt = 0;
    while (rig.count<Send>() > 0) {
      const EndpointId at = rig.first<Send>().upstream;
      rig.outcome(id, at, Outcome::Error, attempt++);
      sends += rig.count<Send>();
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
std::size_t furtherOf(Rig& rig, RequestId id, Outcome how) {
  std::size_t sends = 0;
  rig.request(id);
  while (rig.count<Send>() > 0) {
    const EndpointId at = rig.first<Send>().upstream;
    rig.outcome(id, at, how, static_cast<std::uint32_t>(sends++));
  }
  return sends > 0 ? sends - 1 : 0;
}

// Guards against a retry budget that leaves out retries after a rejection or a failed connect.
TEST(Repeats, AStatedBudgetCountsEveryFurtherAttempt) {
  for (const Outcome how : {Outcome::Error, Outcome::Full, Outcome::ConnectFailed}) {
    Rig rig(budgetSettings());
    rig.start(40);
    std::size_t further = 0;
    for (RequestId id = 1; id <= 10; ++id) further += furtherOf(rig, id, how);
    EXPECT_EQ(further, 3u) << "the floor of 2 and a tenth of 10 requests";
  }
}

TEST(Repeats, AStatedBudgetLooksBackExactly) {
  Rig rig(budgetSettings());
  rig.start(40);
  EXPECT_EQ(furtherOf(rig, 1, Outcome::Full), 2u);
  rig.now += 2 * kSecond;
  EXPECT_EQ(furtherOf(rig, 2, Outcome::Full), 0u) << "a retry exactly one window old still counts";
  rig.now += 1;
  EXPECT_EQ(furtherOf(rig, 3, Outcome::Full), 2u);
}

TEST(Repeats, WithTheBudgetSpentTheAnswerGoesByWhatMayHaveRun) {
  Settings s = budgetSettings();
  s.retryBudgetFloor = 0;
  for (const Outcome how : {Outcome::Error, Outcome::Full}) {
    for (const std::uint32_t cls : {kSafe, kKeyed, kUnsafe}) {
      Rig rig(s);
      rig.start(10);
      rig.outcome(1, rig.sent(1, cls), how);
      const bool refused = how == Outcome::Full || cls == kSafe;
      EXPECT_EQ(rig.count<Reject>(), refused ? 1u : 0u) << cls;
      EXPECT_EQ(rig.count<Fail>(), refused ? 0u : 1u) << cls;
    }
  }
}

// ---- Membership and drains ------------------------------------------------------------------------------

TEST(Membership, NothingGoesToADrainingGoneOrUnlistedUpstream) {
  for (const int how : {0, 1, 2}) {
    Rig rig;
    rig.start(2);
    if (how == 0) rig.list(Kind::Changes, {leaving(0, EndpointState::Draining)});
    if (how == 1) rig.list(Kind::Changes, {leaving(0, EndpointState::Gone)});
    if (how == 2) rig.list(Kind::Full, {serving(1)});
    for (RequestId id = 1; id <= 50; ++id) {
      const EndpointId to = rig.sent(id);
      EXPECT_EQ(to, 1u);
      rig.outcome(id, to, Outcome::Ok);
    }
  }
}

// Guards against idle connections that stay open to draining upstreams.
TEST(Membership, IdleConnectionsAreClosedOnDrains) {
  Settings s = plainSettings();
  s.closeDrainingWithin = 800 * kMs;
  for (const int how : {0, 1, 2}) {
    Rig rig(s);
    rig.start(2);
    const EndpointId to = rig.sent(1);
    const EndpointId other = 1 - to;
    if (how == 0) rig.list(MembershipUpdate::Kind::Changes, {leaving(to, EndpointState::Draining)});
    if (how == 1) rig.list(MembershipUpdate::Kind::Changes, {leaving(to, EndpointState::Gone)});
    if (how == 2) rig.list(MembershipUpdate::Kind::Full, {serving(other)});
    ASSERT_EQ(rig.count<CloseIdle>(), 1u) << "when the list takes the upstream out of service";
    EXPECT_EQ(rig.first<CloseIdle>().upstream, to);
    rig.now += 300 * kMs;
    rig.outcome(1, to, Outcome::Ok);
    ASSERT_EQ(rig.count<CloseIdle>(), 1u) << "when an attempt at the upstream ends";
    rig.wait(799 * kMs);
    EXPECT_GE(rig.count<CloseIdle>(), 1u) << "once more before closeDrainingWithin ends";
    rig.wait(5 * kSecond);
    EXPECT_EQ(rig.count<CloseIdle>(), 0u);
  }
}

TEST(Membership, AnUpstreamBackInServiceKeepsItsConnections) {
  Settings s = plainSettings();
  s.closeDrainingWithin = 800 * kMs;
  Rig rig(s);
  rig.start(2);
  rig.list(MembershipUpdate::Kind::Changes, {leaving(0, EndpointState::Draining)});
  EXPECT_EQ(rig.count<CloseIdle>(), 1u);
  rig.list(MembershipUpdate::Kind::Changes, {serving(0)});
  EXPECT_EQ(rig.count<CloseIdle>(), 0u);
  rig.wait(800 * kMs);
  EXPECT_EQ(rig.count<CloseIdle>(), 0u);
}

TEST(Membership, RetriesAndHeldRequestsSeeTheDrainToo) {
  Rig rig;
  rig.start(2);
  const EndpointId at = rig.sent(1);
  rig.list(Kind::Changes, {leaving(1 - at, EndpointState::Draining)});
  rig.outcome(1, at, Outcome::Reset);
  for (const Send& send : rig.all<Send>()) EXPECT_EQ(send.upstream, at);
}

TEST(Membership, SubscribesAtStartAndAgainAfterFailures) {
  Rig rig;
  rig.start(2);
  EXPECT_EQ(rig.count<Subscribe>(), 1u);
  for (int n = 0; n < 20; ++n) {
    rig.list(Kind::Failed);
    EXPECT_EQ(rig.count<Subscribe>(), 0u) << "a failed call must not be repeated at once";
    Micros waited = 0;
    do {
      waited += 50 * kMs;
      rig.wait(50 * kMs);
    } while (rig.count<Subscribe>() == 0 && waited < 20 * kSecond);
    EXPECT_LE(waited, plainSettings().pollWithin / 3);
  }
}

TEST(Membership, KeepsDecidingOnTheOldListWhileDiscoveryIsDown) {
  Rig rig;
  rig.start(2);
  rig.list(Kind::Failed);
  rig.sent(1);
}

TEST(Membership, PushSitesFetchOnceForAStaleSavedList) {
  Settings s = plainSettings();
  s.mustSubscribe = false;
  Rig rig(s);
  rig.start(2);
  EXPECT_EQ(rig.count<Fetch>(), 1u);
  EXPECT_EQ(rig.count<Subscribe>(), 0u);
}

TEST(Membership, EmptyListHoldsThenRefuses) {
  Rig rig;
  rig.start(0);
  rig.request(1);
  EXPECT_EQ(rig.count<Reject>() + rig.count<Send>() + rig.count<Fail>(), 0u);
  rig.wait(kSecond);
  EXPECT_EQ(rig.count<Reject>(), 1u);
  rig.request(2);
  rig.list(Kind::Full, {serving(0)});
  EXPECT_EQ(rig.count<Send>(), 1u) << "a held request is sent as soon as an upstream is listed";
}

// ---- Slow start -----------------------------------------------------------------------------------------

TEST(SlowStart, AColdUpstreamGetsItsShareTimesItsWarmthAtMost) {
  Rig rig;
  rig.list(Kind::Saved, {serving(0), serving(1), serving(2), serving(3)});
  rig.list(Kind::Changes, {serving(3, 1, rig.now)});
  std::array<int, 4> got{};
  for (RequestId id = 1; id <= 100; ++id) {  // the first second of slow start: capacity 0.3 to 0.39
    const EndpointId to = rig.sent(id);
    ++got[to];
    rig.outcome(id, to, Outcome::Ok);
    rig.now += 10 * kMs;
  }
  EXPECT_LE(got[3], 100 * 0.39 / 4 + 1);
  EXPECT_GE(got[3], 3);
}

TEST(SlowStart, AHeavyRequestSpendsMoreCredit) {
  const auto coldSends = [](bool heavy) {
    Rig rig;
    rig.list(MembershipUpdate::Kind::Saved, {serving(0), serving(1, 1, rig.now)});
    int sends = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      NewRequest r;
      r.request = id;
      r.expiresIn = kSecond;
      r.work = heavy && rig.balancer.ready(1, rig.now) ? 80 * kMs : 10 * kMs;
      rig.feed(r);
      if (rig.count<Send>() == 0) continue;
      const EndpointId to = rig.first<Send>().upstream;
      sends += to == 1;
      rig.outcome(id, to, Outcome::Ok);
      rig.now += kMs;
    }
    return sends;
  };
  EXPECT_GT(coldSends(false), 30);
  EXPECT_LT(coldSends(true), coldSends(false) * 3 / 4);
}

TEST(SlowStart, NoBurstAfterAQuietTime) {
  Rig rig;
  rig.list(Kind::Saved, {serving(0), serving(1)});
  rig.list(Kind::Changes, {serving(1, 1, rig.now)});
  for (RequestId id = 1; id <= 40; ++id) {  // earn credit, whether upstream 1 is picked or not
    const EndpointId to = rig.sent(id);
    rig.outcome(id, to, Outcome::Ok);
  }
  int burst = 0;
  for (RequestId id = 100; id < 104; ++id) {
    rig.request(id);
    burst += rig.count<Send>() == 1 && rig.first<Send>().upstream == 1;
  }
  EXPECT_LE(burst, 2);
}

TEST(SlowStart, AFleetThatIsAllColdIsSentOnlyItsWarmth) {
  Rig rig;
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 0; id < 4; ++id) entries.push_back(serving(id, 1, rig.now));
  rig.list(Kind::Saved, entries);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    rig.request(id);
    const std::vector<Send> todo = rig.all<Send>();
    sends += todo.size();
    for (const Send& send : todo) rig.outcome(send.request, send.upstream, Outcome::Ok);
    rig.now += kMs;
  }
  EXPECT_GE(sends, 15u) << "slow start must not block all requests";
  EXPECT_LE(sends, 60u);
}

// Sidecars that get the list with a new upstream at the same time must not all send to it at once.
TEST(SlowStart, ManySidecarsThatHearOfAStartTogetherDoNotAllSend) {
  int toCold = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Rig rig(plainSettings(), seed);
    rig.list(Kind::Saved, {serving(0), serving(1, 1, rig.now)});
    toCold += rig.sent(1) == 1;
  }
  EXPECT_LE(toCold, 200 * 0.3 / 2 + 12)
      << "half of the requests (two upstreams), times the start capacity of 0.3";
  EXPECT_GE(toCold, 5);
}

TEST(SlowStart, ARestartClearsTheHistory) {
  Rig rig;
  rig.start(2);
  for (RequestId id = 1; id <= 60; ++id) {
    const EndpointId to = rig.sent(id, kUnsafe);
    rig.outcome(id, to, to == 0 ? Outcome::Error : Outcome::Ok);
  }
  EXPECT_FALSE(rig.balancer.ready(0, rig.now));
  rig.list(Kind::Changes, {serving(0, 1, rig.now - 60 * kSecond)});
  EXPECT_TRUE(rig.balancer.ready(0, rig.now));
}

// ---- Concurrency limits, backoff and outlier detection --------------------------------------------------

TEST(Limits, ARefusingUpstreamDoesNotSoakUpTraffic) {
  Rig rig;
  rig.start(4);
  int refused = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    EndpointId to = rig.sent(id);
    std::uint32_t attempt = 0;
    rig.now += 10 * kMs;
    while (to == 0) {
      ++refused;
      rig.outcome(id, 0, Outcome::Full, attempt++);
      if (rig.count<Send>() == 0) break;
      to = rig.first<Send>().upstream;
    }
    if (to != 0) rig.outcome(id, to, Outcome::Ok, attempt);
  }
  EXPECT_LE(refused, 60) << "in 4 s; uniform draws would go there 100 times";
  EXPECT_GE(refused, 2) << "it is tried again at intervals";
}

// Sends requests until upstream 0 is not ready or `most` are sent, answers them all after `answer`, and
// returns how many were sent.
std::size_t fillAndAnswer(Rig& rig, RequestId& id, Micros answer, std::size_t most = 100) {
  const RequestId first = id;
  const std::size_t fit = rig.fill(id, most);
  rig.now += answer;
  for (RequestId done = first; done < id; ++done) rig.outcome(done, 0, Outcome::Ok);
  return fit;
}

// Guards against retries to an upstream whose queue was full a millisecond ago: it is still full.
TEST(Limits, ARefusalRestsTheUpstreamForAboutAnAnswerTime) {
  Rig rig;
  rig.start(1);
  RequestId id = 1;
  for (int round = 0; round < 60; ++round) fillAndAnswer(rig, id, 20 * kMs);  // raises the limit
  rig.outcome(id, rig.sent(id), Outcome::Full);
  EXPECT_FALSE(rig.balancer.ready(0, rig.now + 5 * kMs));
  EXPECT_TRUE(rig.balancer.ready(0, rig.now + kSecond));
}

TEST(Limits, SlowAnswersLowerTheLimitAndTheRestIsHeld) {
  Rig rig;
  rig.start(1);
  for (RequestId id = 1; id <= 4; ++id) {
    rig.sent(id);
    rig.now += (id == 1 ? 10 : 350) * kMs;  // the first sets the minimum latency
    rig.outcome(id, 0, Outcome::Ok);
    rig.wait(kSecond);
  }
  rig.sent(100);
  rig.request(101);
  EXPECT_EQ(rig.count<Send>(), 0u);
  rig.outcome(100, 0, Outcome::Ok);
  EXPECT_EQ(rig.count<Send>(), 1u);
  EXPECT_EQ(rig.first<Send>().request, 101u);
}

// Runs `rounds` of at most `inUse` requests to upstream 0, answered after `answer`; returns how many attempts
// the limit then allows.
std::size_t fitAfter(Rig& rig, int rounds, std::size_t inUse, Micros answer = 20 * kMs,
                     Micros pause = kSecond) {
  RequestId id = 1'000'000;
  for (int round = 0; round < rounds; ++round) {
    fillAndAnswer(rig, id, answer, inUse);
    rig.wait(pause);
  }
  return rig.fill(id);
}

// All slow answers of one round trip are one sign of overload: the limit is cut once.
TEST(Limits, IsCutOnceARoundTrip) {
  Rig rig;
  rig.start(1);
  RequestId id = 1;
  for (int round = 0; round < 60; ++round) fillAndAnswer(rig, id, 20 * kMs);
  const auto before = static_cast<double>(fillAndAnswer(rig, id, 300 * kMs));
  ASSERT_GE(before, 10);
  EXPECT_NEAR(static_cast<double>(rig.fill(id)), 0.7 * before, 1.5);
}

// Guards against limits cut for slow answers of small upstreams, which take longer without any overload.
TEST(Limits, SmallUpstreamsMayTakeLonger) {
  Rig rig;
  rig.list(Kind::Saved, {serving(0, 1), serving(1, 3)});
  for (RequestId id = 1; id <= 100; ++id) {
    const EndpointId to = rig.sent(id);
    rig.now += (to == 0 && id > 20 ? 100 : 10) * kMs;
    rig.outcome(id, to, Outcome::Ok);
    rig.wait(kSecond);
  }
  std::size_t fit = 0;
  for (RequestId id = 1000; rig.balancer.ready(0, rig.now) && id < 1200; ++id) fit += rig.sent(id) == 0;
  EXPECT_GE(fit, 2u);
}

// Guards against start limits of many sidecars that overload an upstream together.
TEST(Limits, ManySidecarsStartUnderOne) {
  Settings s = plainSettings();
  s.sidecars = 16;
  Rig rig(s);
  rig.start(2);
  const EndpointId first = rig.sent(1);  // until the first answer the sidecar is without load information
  rig.now += 10 * kMs;
  rig.outcome(1, first, Outcome::Ok);
  const EndpointId other = 1 - first;
  EndpointId to = first;
  for (RequestId id = 2; to == first; ++id) {
    to = rig.sent(id);
    rig.now += 10 * kMs;
    rig.outcome(id, to, Outcome::Ok);
  }
  EXPECT_FALSE(rig.balancer.ready(other, rig.now)) << "a limit below one is kept by backoff between attempts";
  EXPECT_TRUE(rig.balancer.ready(other, rig.now + 100 * kMs));
}

TEST(Limits, TimelyAnswersRaiseTheLimit) {
  Rig rig;
  rig.start(1);
  EXPECT_GE(fitAfter(rig, 60, 100, 20 * kMs, 0), 10u);
}

// Guards against a start limit of two: four sidecars with two attempts each at every upstream made small
// upstreams slow from the first second on.
TEST(Limits, StartLowUntilTheFirstTimelyAnswer) {
  Rig rig;
  rig.start(1);
  rig.sent(1);
  EXPECT_FALSE(rig.balancer.ready(0, rig.now));
  rig.now += 10 * kMs;
  rig.outcome(1, 0, Outcome::Ok);
  rig.sent(2);
  EXPECT_TRUE(rig.balancer.ready(0, rig.now));
  rig.sent(3);
  EXPECT_FALSE(rig.balancer.ready(0, rig.now));
}

// Guards against a lower bound of one: ten sidecars with one attempt each already overload an upstream.
TEST(Limits, MayFallUnderOneAndThenRestBetweenAttempts) {
  Rig rig;
  rig.start(1);
  RequestId id = 1;
  for (int n = 0; n < 30; ++n, ++id) {
    rig.sent(id);
    rig.now += (id == 1 ? 10 : 350) * kMs;
    rig.outcome(id, 0, Outcome::Ok);
    rig.wait(2 * kSecond);
  }
  rig.sent(id);
  rig.now += 350 * kMs;
  rig.outcome(id, 0, Outcome::Ok);
  EXPECT_EQ(rig.balancer.inFlight(0), 0u);
  EXPECT_FALSE(rig.balancer.ready(0, rig.now)) << "it is in backoff though no attempt is in flight";
  EXPECT_TRUE(rig.balancer.ready(0, rig.now + kSecond)) << "the backoff is under a second";
}

// Guards against network latency counted as slowness: answers of an idle upstream in a distant zone took a
// fifth of the latency objective.
TEST(Limits, TheNetworksPartDoesNotMakeAnAnswerSlow) {
  Rig rig;
  rig.start(1);
  EXPECT_GE(fitAfter(rig, 40, 100, 150 * kMs, 0), 4u);
}

// Guards against limits that grow while they are not reached: the next burst then overloads every upstream.
TEST(Limits, OnlyABindingLimitGrows) {
  Rig quiet;
  quiet.start(1);
  EXPECT_LE(fitAfter(quiet, 60, 1), 2u);
  Rig busy;
  busy.start(1);
  EXPECT_GE(fitAfter(busy, 60, 100), 10u);
}

// Guards against fast growth of the limits of many sidecars, which add up at the upstream.
TEST(Limits, ManySidecarsGrowTheirLimitsSlowly) {
  Settings s = plainSettings();
  s.sidecars = 16;
  Rig many(s);
  many.start(1);
  Rig few;
  few.start(1);
  const std::size_t manyFit = fitAfter(many, 60, 100), fewFit = fitAfter(few, 60, 100);
  EXPECT_GE(manyFit, 1u);
  EXPECT_LE(2 * manyFit, fewFit);
}

// Guards against limits cut for slow answers of upstreams that report idle CPU and so are not overloaded.
TEST(Limits, ReportedSpareCpuSparesTheLimit) {
  const auto slowAnswers = [](double cpu) {
    Rig rig;
    rig.start(1);
    for (RequestId id = 1; id <= 4; ++id) {
      rig.sent(id);
      rig.now += (id == 1 ? 10 : 350) * kMs;
      AttemptOutcome ok{id, 0, 0, Outcome::Ok, 0, true, LoadReport{}};
      ok.report->cpuShare = cpu;
      rig.feed(ok);
      rig.wait(kSecond);
    }
    RequestId next = 100;
    return rig.fill(next);
  };
  EXPECT_GE(slowAnswers(0.3), 2u);
  EXPECT_LE(slowAnswers(0.95), 1u);
}

// Where objectiveStretch lets the latency objective grow with a request's work, the request is held longer,
// and the latency from which its answer counts as slow is higher.
TEST(Admission, AnAimThatGrowsWithTheWorkLengthensTheHold) {
  const auto heldFor = [](double objectiveStretch) {
    Settings s = plainSettings();
    s.classes[kSafe].objectiveStretch = objectiveStretch;
    Rig rig(s);
    rig.list(Kind::Saved, {});
    rig.feed(NewRequest{1, kSafe, 0, {}, kSecond, 100 * kMs, false});
    Micros waited = 0;
    while (rig.count<Reject>() == 0 && waited < 2 * kSecond) {
      rig.wait(10 * kMs);
      waited += 10 * kMs;
    }
    return waited;
  };
  EXPECT_EQ(heldFor(0), 400 * kMs);
  EXPECT_EQ(heldFor(2), 600 * kMs);
  EXPECT_EQ(heldFor(1e9), kSecond) << "at most until the deadline";
}

// Guards against limits cut by heavy requests alone, at upstreams that are not overloaded, where the work
// within a class differs widely.
TEST(Limits, AHeavyRequestMayTakeLonger) {
  const auto fitAfterLongAnswers = [](Micros work, Micros lag = 110 * kMs) {
    Rig rig;
    rig.start(1);
    for (RequestId id = 1; id <= 24; ++id) {
      const bool longOne = id > 20;
      NewRequest r{id, kSafe, 0, {}, kSecond, longOne ? work : 50 * kMs, false};
      rig.feed(r);
      rig.now += longOne ? lag : 10 * kMs;
      rig.outcome(id, 0, Outcome::Ok);
      rig.wait(kSecond);
    }
    RequestId next = 100;
    return rig.fill(next);
  };
  EXPECT_EQ(fitAfterLongAnswers(200 * kMs), 2u);
  EXPECT_EQ(fitAfterLongAnswers(50 * kMs), 1u);
  EXPECT_EQ(fitAfterLongAnswers(100 * kSecond, 200 * kMs), 1u)
      << "the allowance for heavy requests is bounded";
  EXPECT_EQ(fitAfterLongAnswers(1), 1u);  // the effect of a tiny hint is bounded, too
}

// Guards against one tenant's burst that fills the queue of held requests, so that other tenants' requests
// are rejected with it.
TEST(Admission, ATenantWithinItsShareGoesBeforeOneBeyondIt) {
  Settings s = plainSettings();
  s.overShareWeight = 0.1;
  Rig rig(s);
  rig.start(1);
  const auto ask = [&](RequestId id, std::uint32_t tenant) {
    NewRequest r;
    r.request = id;
    r.requestClass = kUnsafe;
    r.tenant = tenant;
    r.expiresIn = kSecond;
    rig.feed(r);
  };
  rig.sent(1000);
  rig.outcome(1000, 0, Outcome::Ok);  // raises the limit to two
  RequestId id = 1;
  std::vector<RequestId> out;
  while (rig.balancer.ready(0, rig.now)) {  // tenant 0 uses up the limit
    ask(id, 0);
    out.push_back(id++);
  }
  const RequestId quiet = id++;
  ask(quiet, 1);
  for (int n = 0; n < 20; ++n) ask(id++, 0);
  rig.outcome(out[0], 0, Outcome::Ok);
  ASSERT_EQ(rig.count<Send>(), 1u);
  EXPECT_EQ(rig.first<Send>().request, quiet);
}

// A tenant's usage expires: a burst of a minute ago does not lower its priority.
TEST(Admission, WhatATenantSentIsForgotten) {
  const auto first = [](Micros since) {
    Settings s = plainSettings();
    s.overShareWeight = 0.1;
    Rig rig(s);
    rig.start(1);
    const auto ask = [&](RequestId id, std::uint32_t tenant) {
      rig.feed(NewRequest{id, kUnsafe, tenant, {}, kSecond, {}, false});
    };
    for (RequestId id = 1; id <= 50; ++id) {
      ask(id, 0);
      rig.outcome(id, 0, Outcome::Ok);
    }
    rig.wait(since);
    for (RequestId id = 51; id <= 60; ++id) {
      ask(id, 1);
      rig.outcome(id, 0, Outcome::Ok);
    }
    RequestId id = 100;
    for (; rig.balancer.ready(0, rig.now); ++id) ask(id, 1);
    ask(500, 1);
    ask(501, 0);
    ask(502, 1);
    rig.outcome(100, 0, Outcome::Ok);
    EXPECT_GE(rig.count<Send>(), 1u);
    return rig.first<Send>().request;
  };
  EXPECT_EQ(first(0), 502u) << "tenant 0 is far above its share";
  EXPECT_EQ(first(60 * kSecond), 501u) << "now tenant 1 is above its share";
}

TEST(Admission, TheHoldDoesNotGrowWhileNobodyIsReady) {
  Rig rig;
  rig.list(Kind::Saved, {});
  for (RequestId id = 1; id <= 500; ++id) {
    rig.request(id);
    rig.wait(20 * kMs);
    EXPECT_LE(rig.balancer.heldRequests(), 25u);
  }
}

TEST(Admission, TheWorthierClassGoesFirstThenTheNewest) {
  Settings s = plainSettings();
  s.classes[kUnsafe].weight = 5;
  s.weightByWork = true;
  Rig rig(s);
  rig.start(1);
  rig.sent(1000);
  rig.outcome(1000, 0, Outcome::Ok);  // raises the limit to two
  RequestId id = 1;
  std::vector<RequestId> out;
  while (rig.balancer.ready(0, rig.now)) {
    rig.request(id, kSafe);
    out.push_back(id++);
  }
  rig.request(100, kSafe);
  rig.request(101, kUnsafe);
  rig.request(102, kSafe);
  std::vector<RequestId> order;
  std::vector<RequestId> done = {out[0]};
  while (!done.empty()) {
    rig.outcome(done.back(), 0, Outcome::Ok);
    done.clear();
    if (rig.count<Send>() == 1) {
      order.push_back(rig.first<Send>().request);
      done = {order.back()};
    }
  }
  EXPECT_EQ(order, (std::vector<RequestId>{101, 102, 100}));
}

// Guards against clients' retries, with half of their latency objective gone, that are served before fresh
// requests.
TEST(Admission, AFreshRequestGoesBeforeANewerRepeat) {
  Rig rig;
  rig.start(1);
  rig.sent(1);
  NewRequest fresh{10, kSafe, 0, {}, kSecond, {}, false};
  NewRequest repeat{11, kSafe, 0, {}, kSecond, {}, true};
  rig.feed(fresh);
  rig.feed(repeat);
  EXPECT_EQ(rig.count<Send>(), 0u);
  rig.outcome(1, 0, Outcome::Ok);
  ASSERT_GE(rig.count<Send>(), 1u);
  EXPECT_EQ(rig.first<Send>().request, 10u);
}

// Guards against unmarked retries that go first under overload: a request with much less time than its class
// usually has is a retry, and what its client has waited counts against the latency objective.
TEST(Admission, ATryCutShortByTheDeadlineCountsAsLate) {
  Rig rig;
  rig.start(1);
  rig.sent(1);
  rig.request(9, kUnsafe, 500 * kMs);
  rig.request(10, kUnsafe, 500 * kMs);
  // The client has waited 700 ms of its 1 s, and the latency objective is 400 ms.
  rig.request(11, kUnsafe, 300 * kMs);
  rig.request(12, kUnsafe, 470 * kMs);  // within a tenth of the usual 500 ms: not taken for a retry
  std::vector<RequestId> order = {1};
  for (std::size_t n = 0; n < order.size(); ++n) {
    rig.outcome(order[n], 0, Outcome::Ok);
    for (const Send& send : rig.all<Send>()) order.push_back(send.request);
  }
  EXPECT_EQ(order, (std::vector<RequestId>{1, 12, 10, 9, 11}));
}

// A request is held only while an answer can still arrive in time.
TEST(Admission, WhatIsTooLateOnArrivalIsRefusedAtOnce) {
  Rig rig;
  rig.start(1);
  for (RequestId id = 1; id <= 100; ++id) {
    rig.sent(id);
    rig.now += 50 * kMs;
    rig.outcome(id, 0, Outcome::Ok);
  }
  rig.list(Kind::Full, {});
  rig.request(500, kSafe, 30 * kMs);
  EXPECT_EQ(rig.count<Reject>(), 1u);
  rig.request(501, kSafe, 300 * kMs);
  EXPECT_EQ(rig.count<Reject>(), 0u);
}

// A held request is rejected before its latency objective ends, while its client can still retry in time.
TEST(Admission, WhatCannotBeServedInTimeIsRefusedEarly) {
  Rig rig;
  rig.start(1);
  RequestId id = 1;
  for (; id <= 40; ++id) {
    rig.sent(id, kUnsafe);
    rig.now += 50 * kMs;
    rig.outcome(id, 0, Outcome::Ok);
  }
  while (rig.balancer.ready(0, rig.now)) rig.sent(id++, kUnsafe);
  rig.request(500, kUnsafe);
  Micros waited = 0;
  while (rig.count<Reject>() == 0 && waited < kSecond) {
    rig.wait(10 * kMs);
    waited += 10 * kMs;
  }
  EXPECT_GE(waited, 200 * kMs);
  EXPECT_LT(waited, 400 * kMs) << "its latency objective is 400 ms";
}

// Guards against a hung upstream that gets requests until its first attempts time out.
TEST(Health, ASilentUpstreamIsNotReadyUntilItAnswers) {
  Rig rig;
  rig.start(4);
  RequestId id = 1;
  for (; id <= 200; ++id) {
    const EndpointId to = rig.sent(id, kUnsafe);
    rig.now += 20 * kMs;
    rig.outcome(id, to, Outcome::Ok);
  }
  const EndpointId hung = rig.sent(1000, kUnsafe);
  for (; id <= 260; ++id) {
    const EndpointId to = rig.sent(id, kUnsafe);
    rig.now += 20 * kMs;
    if (to != hung) rig.outcome(id, to, Outcome::Ok);
  }
  EXPECT_FALSE(rig.balancer.ready(hung, rig.now));
  EXPECT_LE(rig.balancer.inFlight(hung), 2u);
  rig.outcome(1000, hung, Outcome::Ok);
  EXPECT_TRUE(rig.balancer.ready(hung, rig.now));
}

TEST(Health, AFailingUpstreamIsEjectedTriedAndReadmitted) {
  Rig rig;
  rig.start(4);
  RequestId id = 1;
  const auto run = [&](int requests, bool broken) {
    int got = 0;
    for (int n = 0; n < requests; ++n, ++id) {
      const EndpointId to = rig.sent(id, kUnsafe);
      got += to == 0;
      rig.outcome(id, to, to == 0 && broken ? Outcome::Error : Outcome::Ok);
      rig.now += 10 * kMs;
    }
    return got;
  };
  EXPECT_LE(run(1000, true), 12) << "in 10 s; uniform draws would send 250";
  rig.now += 15 * kSecond;
  EXPECT_GE(run(400, false), 60) << "it is readmitted";
}

TEST(Health, NoMoreThanHalfIsEjected) {
  Rig rig;
  rig.start(4);
  for (RequestId id = 1; id <= 200; ++id) {
    rig.request(id, kUnsafe);
    if (rig.count<Send>() == 1) rig.outcome(id, rig.first<Send>().upstream, Outcome::Error);
    rig.now += 10 * kMs;
  }
  int ready = 0;
  for (EndpointId u = 0; u < 4; ++u) ready += rig.balancer.ready(u, rig.now);
  EXPECT_GE(ready, 2);
}

// Guards against a failing upstream that the cap on ejections keeps in service: it fails fast, so its
// in-flight count is the lowest and it draws most requests. With nine of 18 upstreams failing and eight
// ejected, the ninth got a third of all requests, and two thirds of all were answered with an error.
TEST(Health, OneThatTheCapOnEjectionsLeavesInIsRested) {
  constexpr EndpointId kBroken = 5;
  Rig rig;
  rig.start(8);
  struct Out {
    RequestId id;
    EndpointId to;
    Micros until;
  };
  std::deque<Out> out;
  std::array<int, 8> got{};
  for (RequestId id = 1; id <= 2000; ++id) {
    const EndpointId to = rig.sent(id, kUnsafe);
    if (id > 1000) ++got.at(to);
    out.push_back({id, to, rig.now + (to < kBroken ? 5 : 30) * kMs});
    rig.now += 5 * kMs;
    for (const Out& one : std::exchange(out, {})) {
      if (one.until > rig.now) {
        out.push_back(one);
      } else {
        rig.outcome(one.id, one.to, one.to < kBroken ? Outcome::Error : Outcome::Ok);
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
TEST(Health, WhatWouldBeRefusedIsTheTrialOfAnEjectedOneThatAnswers) {
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
    Rig rig(s);
    rig.start(2);
    RequestId id = 1;
    for (; rig.balancer.ready(0, rig.now) && id < 200; ++id) {
      rig.request(id, kUnsafe);
      if (rig.count<Send>() == 0) continue;
      const EndpointId to = rig.first<Send>().upstream;
      rig.outcome(id, to, to == 0 ? row.failure : Outcome::Ok);
      rig.now += 20 * kMs;
    }
    ASSERT_FALSE(rig.balancer.ready(0, rig.now));
    // The other upstream is filled to its limit.
    while (rig.balancer.ready(1, rig.now)) ASSERT_EQ(rig.sent(++id, kUnsafe), 1u);
    const RequestId last = ++id;
    rig.request(last, row.cls);
    EXPECT_EQ(rig.count<Send>() + rig.count<Reject>(), 0u)
        << "it waits for the other upstream while there is time";
    std::size_t sent = 0, refused = 0;
    for (int n = 0; n < 80 && sent + refused == 0; ++n) {
      rig.wait(5 * kMs);
      sent = rig.count<Send>();
      refused = rig.count<Reject>();
    }
    EXPECT_EQ(sent, row.tried ? 1u : 0u);
    EXPECT_EQ(refused, row.tried ? 0u : 1u);
    if (!row.tried) continue;
    EXPECT_EQ(rig.first<Send>().upstream, 0u);
    EXPECT_EQ(rig.balancer.heldRequests(), 0u)
        << "a request on trial is no longer held, so it is not sent twice";
    // One trial at a time.
    rig.request(++id, row.cls);
    std::size_t more = 0;
    for (int n = 0; n < 80; ++n) {
      rig.wait(5 * kMs);
      more += rig.count<Send>();
    }
    EXPECT_EQ(more, 0u);
  }
}

// Successful trials readmit an ejected upstream before its ejection ends.
TEST(Health, AnEjectedOneIsReadmittedByTrialsOfWhatWouldBeRefused) {
  Rig rig;
  rig.start(2);
  RequestId id = 1;
  for (; rig.balancer.ready(0, rig.now) && id < 200; ++id) {
    const EndpointId to = rig.sent(id, kUnsafe);
    rig.now += 20 * kMs;
    rig.outcome(id, to, to == 0 ? Outcome::Error : Outcome::Ok);
  }
  ASSERT_FALSE(rig.balancer.ready(0, rig.now));
  while (rig.balancer.ready(1, rig.now)) rig.sent(++id, kUnsafe);
  const Micros from = rig.now;
  for (int trials = 0; trials < 5 && !rig.balancer.ready(0, rig.now); ++trials) {
    const RequestId trial = ++id;
    rig.request(trial, kUnsafe, 40 * kMs);  // is held for about half of these 40 ms
    for (int n = 0; n < 8 && rig.count<Send>() == 0; ++n) rig.wait(5 * kMs);
    if (rig.count<Send>() == 1) rig.outcome(trial, 0, Outcome::Ok);
  }
  EXPECT_TRUE(rig.balancer.ready(0, rig.now));
  EXPECT_LT(rig.now - from, 400 * kMs) << "an ejection lasts 750 ms or more";
}

TEST(Health, UpstreamsThatFailOneAfterAnotherAreNotAllEjected) {
  Rig rig;
  rig.start(6);
  RequestId id = 1;
  for (EndpointId broken = 1; broken <= 5; ++broken) {
    for (int n = 0; n < 300; ++n, ++id) {
      rig.request(id, kUnsafe);
      rig.now += 10 * kMs;
      if (rig.count<Send>() == 0) continue;
      const EndpointId to = rig.first<Send>().upstream;
      rig.outcome(id, to, to < broken ? Outcome::Reset : Outcome::Ok);
    }
  }
  int ready = 0;
  // The failing upstream that the cap keeps in service is in backoff for a few service times at most.
  for (EndpointId u = 0; u < 6; ++u) ready += rig.balancer.ready(u, rig.now + 120 * kMs);
  EXPECT_GE(ready, 3);
}

TEST(Health, AnUpstreamOnTrialGetsOneAttemptAtATime) {
  Rig rig;
  rig.start(3);
  RequestId id = 1;
  for (; rig.balancer.ready(0, rig.now) && id < 500; ++id) {
    const EndpointId to = rig.sent(id, kUnsafe);
    rig.now += 10 * kMs;
    rig.outcome(id, to, to == 0 ? Outcome::Error : Outcome::Ok);
  }
  ASSERT_FALSE(rig.balancer.ready(0, rig.now));
  rig.now += 20 * kSecond;
  EXPECT_TRUE(rig.balancer.ready(0, rig.now));
  for (int n = 0; n < 6; ++n) rig.request(id++, kUnsafe);
  EXPECT_EQ(rig.balancer.inFlight(0), 1u);
}

TEST(Health, OneFailureAmongManyAnswersEjectsNobody) {
  Rig rig;
  rig.start(4);
  for (RequestId id = 1; id <= 400; ++id) {
    const EndpointId to = rig.sent(id, kUnsafe);
    rig.outcome(id, to, id % 40 == 0 ? Outcome::Error : Outcome::Ok);
    EXPECT_TRUE(rig.balancer.ready(to, rig.now));
    rig.now += 10 * kMs;
  }
}

// ---- Deadlines and answers ------------------------------------------------------------------------------

TEST(Answers, TimeoutAtTheDeadlineStillOwesTheAnswer) {
  Rig rig;
  rig.start(2);
  const EndpointId at = rig.sent(1, kUnsafe);
  rig.now += kSecond + 2 * kMs;
  rig.outcome(1, at, Outcome::Timeout);
  EXPECT_EQ(rig.count<Fail>(), 1u);
  rig.wait(kSecond);
  EXPECT_EQ(rig.count<Fail>() + rig.count<Reject>() + rig.count<Send>(), 0u);
}

TEST(Answers, TheTimerAnswersWhenNothingElseDoes) {
  Rig rig;
  rig.start(2);
  rig.sent(1, kUnsafe);
  rig.wait(kSecond);
  EXPECT_EQ(rig.count<Fail>(), 1u);
  EXPECT_EQ(rig.count<Cancel>(), 1u) << "an attempt whose request is answered is cancelled";
}

TEST(Answers, ARequestWithoutTimeLeftIsRefusedAtOnce) {
  for (const Micros expiresIn : {Micros{0}, Micros{-5}}) {
    Rig rig;
    rig.start(2);
    rig.request(1, kSafe, expiresIn);
    EXPECT_EQ(rig.count<Reject>(), 1u);
    EXPECT_EQ(rig.count<Send>(), 0u);
  }
}

TEST(Answers, ARefusalSaysWhenToComeBackWhereClientsListen) {
  const auto refusedAfter = [](Settings s, RequestId held, std::uint64_t seed) {
    Rig rig(s, seed);
    rig.start(1);
    RequestId id = 1;
    for (; id <= 50; ++id) {
      rig.sent(id);
      rig.now += 20 * kMs;
      rig.outcome(id, 0, Outcome::Ok);
    }
    while (rig.balancer.ready(0, rig.now)) rig.sent(++id);  // the limit is used up
    for (RequestId n = 0; n < held; ++n) rig.request(++id);
    rig.request(++id, kSafe, 0);
    EXPECT_EQ(rig.count<Reject>(), 1u);
    return rig.first<Reject>().retryAfter;
  };
  Settings s = plainSettings();
  Micros fewest = kSecond, most = 0, short_ = 0, long_ = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const Micros wait = refusedAfter(s, 0, seed);
    fewest = std::min(fewest, wait);
    most = std::max(most, wait);
    short_ += wait;
    long_ += refusedAfter(s, 30, seed);
    EXPECT_LE(refusedAfter(s, 1000, seed), s.maxRetryAfter);
  }
  EXPECT_GE(fewest, 10 * kMs) << "at least half a service time";
  EXPECT_GT(most, 2 * fewest) << "jittered, so that clients do not return together";
  EXPECT_GT(long_, 2 * short_) << "grows with the number of held requests";
  s.retryAfter = false;
  EXPECT_EQ(refusedAfter(s, 30, 1), 0);
}

TEST(Answers, WithdrawnRequestsAreLeftAlone) {
  Rig rig;
  rig.start(2);
  const EndpointId at = rig.sent(1);
  rig.feed(Withdrawn{1});
  EXPECT_EQ(rig.count<Cancel>(), 1u);
  rig.feed(Withdrawn{1});
  EXPECT_TRUE(rig.actions.empty());
  rig.outcome(1, at, Outcome::Cancelled);
  EXPECT_EQ(rig.count<Send>() + rig.count<Fail>() + rig.count<Reject>(), 0u);
  EXPECT_EQ(rig.balancer.inFlight(at), 0u);
  rig.feed(Withdrawn{99});
  EXPECT_EQ(rig.balancer.openRequests(), 0u);
}

TEST(Answers, NoCancelWhereTheSettingsForbidIt) {
  Settings s = plainSettings();
  s.mayCancel = false;
  Rig rig(s);
  rig.start(2);
  rig.sent(1);
  rig.feed(Withdrawn{1});
  EXPECT_EQ(rig.count<Cancel>(), 0u);
}

TEST(Answers, AStartedStreamHasNoDeadline) {
  Settings s = plainSettings();
  s.classes[kSafe].stream = true;
  Rig rig(s);
  rig.start(2);
  const EndpointId at = rig.sent(1);
  rig.feed(AttemptStarted{1, 0});
  rig.wait(5 * kSecond);
  EXPECT_EQ(rig.count<Fail>() + rig.count<Reject>() + rig.count<Cancel>(), 0u);
  rig.feed(AttemptOutcome{1, 0, at, Outcome::Reset, 0, true, std::nullopt});
  EXPECT_EQ(rig.count<Fail>() + rig.count<Reject>() + rig.count<Send>(), 0u);
  EXPECT_EQ(rig.balancer.openRequests(), 0u);
}

// The rest of a stream goes at the client's rate and says nothing about the upstream, so the attempt leaves
// the in-flight count when the stream starts.
TEST(Answers, AStreamThatHasBegunLeavesTheCountOnce) {
  Rig rig;
  rig.start(1);
  const EndpointId at = rig.sent(1);
  EXPECT_EQ(rig.balancer.inFlight(at), 1u);
  rig.feed(AttemptStarted{1, 0});
  EXPECT_EQ(rig.balancer.inFlight(at), 0u);
  rig.feed(AttemptStarted{1, 0});
  rig.sent(2);
  EXPECT_EQ(rig.balancer.inFlight(at), 1u);
  rig.wait(5 * kSecond);
  AttemptOutcome end{1, 0, at, Outcome::Ok, 5 * kSecond, true, std::nullopt};
  end.clientLimitedTime = 5 * kSecond;
  rig.feed(end);
  EXPECT_EQ(rig.balancer.inFlight(at), 1u) << "the end of the stream must not be counted again";
}

TEST(Answers, AStreamOfAnAttemptThatWasNeverSentIsMisuse) {
  Rig rig;
  rig.start(1);
  rig.sent(1);
  EXPECT_THROW(rig.feed(AttemptStarted{1, 1}), std::invalid_argument);
  EXPECT_EQ(rig.balancer.inFlight(0), 1u);
}

// A request whose body is no longer buffered is not retried: it is rejected where a repeat by the client is
// harmless, and fails otherwise.
TEST(Answers, ASpentBodyIsNotSentAgain) {
  struct Case {
    std::uint32_t cls;
    Outcome outcome;
    bool refused;
  };
  for (const Case& one : {Case{kSafe, Outcome::ConnectFailed, true}, Case{kUnsafe, Outcome::Full, true},
                          Case{kSafe, Outcome::Reset, true}, Case{kUnsafe, Outcome::Reset, false}}) {
    Rig rig;
    rig.start(3);
    const EndpointId at = rig.sent(1, one.cls);
    AttemptOutcome end{1, 0, at, one.outcome, 0, false, std::nullopt};
    end.isBodyConsumed = true;
    rig.feed(end);
    EXPECT_EQ(rig.count<Send>(), 0u);
    EXPECT_EQ(rig.count<Reject>(), one.refused ? 1u : 0u);
    EXPECT_EQ(rig.count<Fail>(), one.refused ? 0u : 1u);
  }
}

// The time that a client takes to send its body or to read its answer does not count as the upstream's
// latency.
TEST(Answers, TransferTimeDoesNotCountAsTheUpstreams) {
  const auto servedOf = [](int requests, Micros transfer) {
    Rig rig;
    rig.start(1);
    RequestId id = 1;
    for (; id <= 20; ++id) {
      const EndpointId at = rig.sent(id);
      rig.now += 20 * kMs;
      rig.outcome(id, at, Outcome::Ok);
    }
    int served = 0;
    for (int n = 0; n < requests; ++n, ++id) {
      rig.request(id, kSafe, 10 * kSecond);
      if (rig.count<Send>() == 0) break;
      rig.now += 900 * kMs;
      AttemptOutcome end{id, 0, 0, Outcome::Ok, 900 * kMs, true, std::nullopt};
      end.clientLimitedTime = transfer;
      rig.feed(end);
      ++served;
    }
    return served;
  };
  EXPECT_EQ(servedOf(8, 880 * kMs), 8);
  EXPECT_LT(servedOf(8, 0), 8);
}

TEST(Answers, AnyOutcomeLeavesTheCount) {
  for (const Outcome outcome : {Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Timeout,
                                Outcome::ConnectFailed, Outcome::Reset, Outcome::Cancelled, Outcome::Moot}) {
    Settings s = plainSettings();
    s.maxAttempts = 1;
    Rig rig(s);
    rig.start(3);
    const EndpointId at = rig.sent(1);
    rig.outcome(1, at, outcome);
    EXPECT_EQ(rig.balancer.inFlight(at), 0u);
    EXPECT_EQ(rig.balancer.openRequests(), 0u);
  }
}

// ---- Misuse and settings --------------------------------------------------------------------------------

TEST(Misuse, IsDetectedAndChangesNothing) {
  Rig rig;
  EXPECT_THROW(rig.request(1), std::invalid_argument) << "before the first list";
  rig.start(2);
  EXPECT_THROW(rig.request(1, 17), std::invalid_argument);
  rig.sent(1);
  EXPECT_THROW(rig.request(1), std::invalid_argument);
  EXPECT_THROW(rig.outcome(1, 0, Outcome::Ok, 5), std::invalid_argument);
  NewRequest bad;
  bad.request = 2;
  bad.tenant = 9;
  EXPECT_THROW(rig.feed(bad), std::invalid_argument);
  EndpointEntry entry = serving(0);
  entry.zone = 7;
  EXPECT_THROW(rig.list(Kind::Full, {entry}), std::invalid_argument);
  entry = serving(0);
  entry.size = std::numeric_limits<double>::quiet_NaN();
  EXPECT_THROW(rig.list(Kind::Full, {entry}), std::invalid_argument);
  EXPECT_EQ(rig.balancer.openRequests(), 1u);
}

TEST(Misuse, SettingsWithoutClassesAreRejected) {
  EXPECT_THROW(Balancer(Settings{}, 1, 0), std::invalid_argument);
  Settings s = plainSettings();
  s.zone = 2;
  EXPECT_THROW(Balancer(s, 1, 0), std::invalid_argument);
}

TEST(Misuse, AClockThatGoesBackIsHeld) {
  Rig rig;
  rig.start(2);
  rig.sent(1);
  rig.now -= 500 * kSecond;
  rig.wait(0);
  EXPECT_EQ(rig.count<Fail>() + rig.count<Reject>(), 0u);
}

TEST(Determinism, SameSeedAndEventsGiveTheSameActions) {
  const auto run = [](std::uint64_t seed) {
    Rig rig(plainSettings(), seed);
    rig.start(9);
    std::vector<EndpointId> picks;
    for (RequestId id = 1; id <= 200; ++id) {
      picks.push_back(rig.sent(id));
      rig.outcome(id, picks.back(), Outcome::Ok);
    }
    return picks;
  };
  EXPECT_EQ(run(5), run(5));
  EXPECT_NE(run(5), run(6));
}

}  // namespace
}  // namespace ivypost::balancer
