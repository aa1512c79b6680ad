// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The judge: finds each breach that a bad sidecar could commit, and none in what a good one does.
#include "standins/ledger.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace ivypost::standins {
namespace {

constexpr Micros kMs = 1000;

class LedgerTest : public testing::Test {
 protected:
  // The only breach's rule and line; "" if there was none.
  std::string breach() const {
    if (ledger.breaches().empty()) return "";
    EXPECT_EQ(ledger.breaches().size(), 1u);
    return "R" + std::to_string(ledger.breaches()[0].rule) + " " + ledger.breaches()[0].what;
  }
  void sent(Effect effect) { ledger.sent("a", effect, 1000 * kMs, 0); }
  std::uint64_t arrived(Micros at, const std::string& node = "n1", const std::string& group = "g1") {
    return ledger.arrived("a", node, group, 1000, at);
  }
  Ledger ledger;
};

TEST_F(LedgerTest, ACleanRequestIsNoBreach) {
  sent(Effect::Unsafe);
  const auto one = arrived(kMs);
  ledger.made(one, "hecho", 2 * kMs);
  ledger.answered("a", 200, "hecho", 3 * kMs);
  ledger.settle(10'000 * kMs);
  EXPECT_EQ(breach(), "");
  EXPECT_EQ(ledger.tally().served, 1u);
  EXPECT_EQ(ledger.tally().latencies, std::vector<Micros>{3 * kMs});
  EXPECT_EQ(ledger.openStories(), 0u);
}

TEST_F(LedgerTest, NoAnswerIsALoss) {
  sent(Effect::Safe);
  ledger.settle(1050 * kMs);
  EXPECT_EQ(breach(), "");
  ledger.settle(1051 * kMs);
  EXPECT_EQ(breach(), "R1 lost: no answer before the client's time ran out");
}

TEST_F(LedgerTest, ALateAnswerIsALoss) {
  sent(Effect::Safe);
  ledger.answered("a", 502, "", 1051 * kMs);
  EXPECT_EQ(breach(), "R1 the answer came after the client's time");
}

TEST_F(LedgerTest, ACutConnectionIsALoss) {
  sent(Effect::Safe);
  arrived(kMs);
  ledger.cut("a", true, 2 * kMs);
  EXPECT_EQ(breach(), "R1 lost: its connection ended with no whole answer");
  ledger.settle(10'000 * kMs);  // told once
  EXPECT_EQ(ledger.tally().breaches[1], 1u);
}

// A connection that the sidecar closed between requests crossed this one: the client sends it again.
TEST_F(LedgerTest, ACrossingCloseIsNoLoss) {
  sent(Effect::Unsafe);
  ledger.cut("a", true, kMs);
  EXPECT_EQ(breach(), "");
}

TEST_F(LedgerTest, TwoAnswersAndSurplus) {
  sent(Effect::Safe);
  ledger.answered("a", 502, "", kMs);
  ledger.answered("a", 502, "", 2 * kMs);
  EXPECT_EQ(breach(), "R1 a second final answer");
}

TEST_F(LedgerTest, BytesBehindTheAnswer) {
  sent(Effect::Safe);
  ledger.answered("a", 502, "", kMs);
  ledger.surplus("a", 2 * kMs);
  EXPECT_EQ(breach(), "R1 more than its answer was sent");
}

TEST_F(LedgerTest, AnAnswerThatNoUpstreamMade) {
  sent(Effect::Safe);
  ledger.made(arrived(kMs), "for a", 2 * kMs);
  ledger.answered("a", 200, "for b", 3 * kMs);
  EXPECT_EQ(breach(), "R1 served with what no upstream made for it");
}

TEST_F(LedgerTest, AnUnsafeRequestTwice) {
  sent(Effect::Unsafe);
  arrived(kMs, "n1");
  arrived(2 * kMs, "n2");
  EXPECT_EQ(breach(), "R2 an unsafe request arrived again, and may have run before");
  EXPECT_EQ(ledger.breaches()[0].story,
            (std::vector<std::string>{"+0.0 ms sent, unsafe, answer wanted by +1000.0 ms",
                                      "+1.0 ms arrived at n1", "+2.0 ms arrived at n2"}));
}

TEST_F(LedgerTest, AnUnsafeRequestAgainWhenItNeverRan) {
  sent(Effect::Unsafe);
  ledger.turnedAway(arrived(kMs, "n1"), 2 * kMs);
  ledger.made(arrived(3 * kMs, "n2"), "x", 4 * kMs);
  ledger.answered("a", 200, "x", 5 * kMs);
  EXPECT_EQ(breach(), "");
  EXPECT_EQ(ledger.tally().repeats, 1u);
}

TEST_F(LedgerTest, ARefusalOfWhatMayHaveRun) {
  sent(Effect::Unsafe);
  ledger.noted(arrived(kMs), "answered 500", 2 * kMs);
  ledger.answered("a", 503, "", 3 * kMs);
  EXPECT_EQ(breach(),
            "R2 refused with 503, which promises that trying again is harmless, though it may have run");
}

TEST_F(LedgerTest, ARefusalOfWhatNeverRan) {
  sent(Effect::Unsafe);
  ledger.turnedAway(arrived(kMs), 2 * kMs);
  ledger.answered("a", 429, "", 3 * kMs);
  EXPECT_EQ(breach(), "");
  EXPECT_EQ(ledger.tally().refused, 1u);
}

TEST_F(LedgerTest, AKeyedRequestWithinItsWindow) {
  sent(Effect::Keyed);
  arrived(kMs, "n1", "g1");
  arrived(601 * kMs, "n2", "g1");
  EXPECT_EQ(breach(), "");
}

TEST_F(LedgerTest, AKeyedRequestAfterItsWindow) {
  sent(Effect::Keyed);
  arrived(kMs, "n1", "g1");
  arrived(602 * kMs, "n2", "g1");
  EXPECT_EQ(breach(), "R2 a keyed request arrived again 601.0 ms after one that may have run");
}

TEST(LedgerSlackTest, AKeyedRequestAtTheEndOfItsWindowsSlackAndBehindIt) {
  Rules rules;
  rules.keyWindowSlack = 150 * kMs;
  Ledger ledger(rules);
  ledger.sent("a", Effect::Keyed, 1000 * kMs, 0);
  ledger.arrived("a", "n1", "g1", 1000, kMs);
  ledger.arrived("a", "n2", "g1", 1000, 751 * kMs);
  EXPECT_EQ(ledger.tally().breaches.at(2), 0u);
  ledger.arrived("a", "n3", "g1", 1000, 751 * kMs + 1);
  EXPECT_EQ(ledger.tally().breaches.at(2), 1u);
}

TEST_F(LedgerTest, AKeyedRequestOutsideItsGroup) {
  sent(Effect::Keyed);
  arrived(kMs, "n1", "g1");
  arrived(2 * kMs, "n2", "g2");
  EXPECT_EQ(breach(), "R2 a keyed request arrived again outside the group that drops its repeats");
}

TEST_F(LedgerTest, AnUnsafeRequestAfterItsAnswer) {
  sent(Effect::Unsafe);
  ledger.answered("a", 503, "", kMs);
  arrived(100 * kMs);
  EXPECT_EQ(breach(), "R2 sent on after its final answer");
}

TEST_F(LedgerTest, ARequestThatNobodySent) {
  arrived(kMs);
  EXPECT_EQ(breach(), "R2 n1 got a request that nobody sent, or that was over long ago");
}

TEST_F(LedgerTest, DrainsEachSidecarByItself) {
  ledger.told("s1", "n1", false, 0);
  ledger.told("s1", "n1", false, 1000 * kMs);  // told again: the first time counts
  sent(Effect::Safe);
  ledger.touched("a", "n1", "s1", 2050 * kMs);
  ledger.touched("a", "n1", "s2", 9000 * kMs);
  EXPECT_EQ(breach(), "");
  ledger.touched("a", "n1", "s1", 2051 * kMs);
  EXPECT_EQ(breach(), "R3 sent to n1 2051.0 ms after s1 was told that it drains or is gone");
}

TEST_F(LedgerTest, AnUpAgainNodeMayBeSentTo) {
  ledger.told("s1", "n1", false, 0);
  ledger.told("s1", "n1", true, 10 * kMs);
  ledger.touched("a", "n1", "s1", 9000 * kMs);
  EXPECT_EQ(breach(), "");
}

// 2 cores at half their capacity for 10 s: 2.5 x 1 core x 1 s are 2.5 s of work at the start.
TEST_F(LedgerTest, AColdNodeIsPushedOver) {
  ledger.started("n1", 2, 0.5, 10'000 * kMs, 0);
  for (int n = 0; n < 25; ++n) {
    ledger.sent("q" + std::to_string(n), Effect::Safe, 9000 * kMs, 0);
    ledger.arrived("q" + std::to_string(n), "n1", "g", 100 * kMs, 0);
  }
  EXPECT_EQ(breach(), "");
  ledger.sent("q", Effect::Safe, 9000 * kMs, 1);
  ledger.arrived("q", "n1", "g", 100 * kMs, 1);
  EXPECT_EQ(breach(),
            "R4 n1 got 2600.0 ms of work within 1000.0 ms, 0.0 ms after its start; 2500.0 ms are allowed");
}

TEST_F(LedgerTest, AColdNodesWindowSlidesAndItWarmsUp) {
  ledger.started("n1", 2, 0.5, 10'000 * kMs, 0);
  for (int n = 0; n < 40; ++n) {
    const Micros now = n * 500 * kMs;  // 2 s of work a second, warm after 10 s
    const std::string id = "q" + std::to_string(n);
    ledger.sent(id, Effect::Safe, now + 60'000 * kMs, now);
    ledger.arrived(id, "n1", "g", (now < 10'000 * kMs ? 1000 : 100'000) * kMs, now);
  }
  EXPECT_EQ(breach(), "");
}

TEST_F(LedgerTest, KeepsAtMostItsBoundOfBreaches) {
  for (std::size_t n = 0; n < 2 * Ledger::kMaxBreaches; ++n)
    ledger.answered("x" + std::to_string(n), 200, "", 0);
  EXPECT_EQ(ledger.breaches().size(), Ledger::kMaxBreaches);
  EXPECT_EQ(ledger.tally().breaches[1], 2 * Ledger::kMaxBreaches);
}

// A sidecar that is made up: 100,000 requests by the rules, and the same with one breach of each rule sown
// in. Guards against a judge that is silent, and one that cries wolf.
class MadeUpSidecar {
 public:
  explicit MadeUpSidecar(std::uint64_t seed) : random_(seed) {}

  // Breaks this rule at this request; 0: none.
  std::vector<Breach> play(int requests, int badRule, int badRequest) {
    Ledger ledger;
    Micros now = 0;
    ledger.started("n3", 2, 0.4, 3'000'000, 0);
    ledger.told("s1", "n9", false, 0);
    for (int n = 0; n < requests; ++n) {
      now += 1000;
      one(ledger, std::to_string(n), now, n == badRequest ? badRule : 0);
      if (n % 1000 == 0) {
        ledger.settle(now);
        EXPECT_LT(ledger.openStories(), 20'000u);
      }
    }
    ledger.settle(now + 60'000'000);
    EXPECT_EQ(ledger.openStories(), 0u);
    EXPECT_EQ(ledger.tally().sent, static_cast<std::uint64_t>(requests));
    return ledger.breaches();
  }

 private:
  void one(Ledger& ledger, const std::string& id, Micros now, int bad) {
    const auto pick = bad == 0 ? random_() % 100 : 50;
    const Effect effect = bad == 2 ? Effect::Unsafe : static_cast<Effect>(random_() % 3);
    ledger.sent(id, effect, now + 500'000, now);
    if (bad == 1) return;  // never answered
    if (bad == 3) ledger.touched(id, "n9", "s1", now + 2'100'000);
    if (bad == 4) {
      ledger.started("n4", 1, 0.3, 5'000'000, now);
      ledger.made(ledger.arrived(id, "n4", "g", 900'000, now), "x", now + 100);
      return ledger.answered(id, 200, "x", now + 200);
    }
    if (pick < 5) return ledger.answered(id, 503, "", now + 100);
    if (pick < 8) return ledger.left(id, now + 200'000);
    auto arrival = ledger.arrived(id, "n1", "g", 20'000, now + 200);
    if (bad == 2) ledger.arrived(id, "n2", "g", 20'000, now + 300);
    if (pick < 20) {
      ledger.turnedAway(arrival, now + 400);
      arrival = ledger.arrived(id, "n2", "g", 20'000, now + 600);
    } else if (pick < 25 && effect != Effect::Unsafe) {
      arrival = ledger.arrived(id, "n2", "g", 20'000, now + 300'000);
    }
    if (pick < 30) {
      ledger.noted(arrival, "answered 500", now + 310'000);
      return ledger.answered(id, 502, "", now + 310'100);
    }
    ledger.made(arrival, "body " + id, now + 320'000);
    ledger.answered(id, 200, "body " + id, now + 320'100);
  }

  std::mt19937_64 random_;
};

TEST(MadeUpSidecarTest, NothingIsReportedOverAHundredThousandRequests) {
  EXPECT_TRUE(MadeUpSidecar(7).play(100'000, 0, -1).empty());
}

TEST(MadeUpSidecarTest, ASownBreachOfEachRuleIsFound) {
  for (int rule = 1; rule <= 4; ++rule) {
    for (const int at : {100, 1234, 4999}) {
      const auto found = MadeUpSidecar(static_cast<std::uint64_t>(at)).play(5000, rule, at);
      ASSERT_FALSE(found.empty()) << "rule " << rule << " at " << at;
      EXPECT_EQ(found[0].rule, rule);
      for (const auto& breach : found) EXPECT_EQ(breach.rule, rule) << breach.what;
    }
  }
}

}  // namespace
}  // namespace ivypost::standins
