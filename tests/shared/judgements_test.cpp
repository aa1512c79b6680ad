// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "shared/judgements.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <tuple>

namespace ivypost::shared {
namespace {

constexpr Micros kSecond = 1'000'000, kStart = 1000 * kSecond;
constexpr Life kLife{7, 1'790'000'000'000};
constexpr std::size_t kRoom = 138;

const auto everybody = [](PeerId) { return true; };
const auto everyLife = [](const Life&) { return true; };

Judgement said(PeerId witness, std::uint64_t version, Finding finding, Micros age = 0, Life life = kLife) {
  return {life, witness, version, finding, 4, static_cast<std::uint16_t>(finding == Finding::Well ? 0 : 4),
          age};
}

// What counts, without the tellings that are owed.
using State = std::set<std::tuple<Life, PeerId, std::uint64_t, Finding, Micros>>;
State stateOf(const Judgements& one, Micros now) {
  State state;
  for (const Judgement& held : one.all(now))
    state.emplace(held.life, held.witness, held.version, held.finding, held.age);
  return state;
}

TEST(Evidence, TakesAFewFailuresInARowAndMoreThanHalf) {
  using enum Evidence::Outcome;
  const struct {
    std::vector<Evidence::Outcome> outcomes;
    Finding finding;
  } rows[] = {{{Served}, Finding::Well},
              {{Failed}, Finding::Well},
              {{Failed, Failed}, Finding::Failing},
              {{Silent}, Finding::Silent},
              {{Served, Silent}, Finding::Silent},
              {{Silent, Served}, Finding::Well},
              {{Silent, Silent}, Finding::Silent},
              {{Silent, Failed}, Finding::Failing},
              {{Failed, Failed, Served}, Finding::Failing},
              {{Failed, Failed, Failed, Failed, Served, Served, Served}, Finding::Well},
              {{Served, Served, Served, Failed, Failed}, Finding::Well},
              {{Served, Failed, Failed}, Finding::Failing}};
  for (const auto& row : rows) {
    Evidence evidence;
    Micros now = kStart;
    for (const auto outcome : row.outcomes) evidence.take(outcome, 500, now += 1000);
    EXPECT_EQ(evidence.judge(now).finding, row.finding) << &row - rows;
    EXPECT_EQ(evidence.judge(now).attempts, row.outcomes.size());
    EXPECT_EQ(evidence.judge(now + Evidence::kWindow + 1000).attempts, 0) << "too old";
  }
  Evidence evidence;
  for (std::size_t n = 0; n < 3 * Evidence::kMost; ++n) evidence.take(Failed, 500, kStart);
  EXPECT_EQ(evidence.judge(kStart).attempts, Evidence::kMost);
}

// An upstream that served something after the attempt was sent is not silent: that one was slow.
TEST(Evidence, AnAnswerSinceTheAttemptWasSentSpeaksForIt) {
  for (const Micros lag : {900'000, 1'100'000}) {
    Evidence evidence;
    evidence.take(Evidence::Outcome::Served, 500, kStart);
    evidence.take(Evidence::Outcome::Silent, lag, kStart + kSecond);
    EXPECT_EQ(evidence.judge(kStart + kSecond).finding, lag < kSecond ? Finding::Silent : Finding::Well);
  }
}

TEST(Judgements, TravelAndCountWhereTheWitnessIsHeard) {
  Judgements from(1, 100), to(2, 100);
  for (int n = 0; n < 3; ++n) from.attempted(kLife, Evidence::Outcome::Silent, 500, kStart);
  ASSERT_TRUE(to.take(from.tell(kRoom, kStart), 250'000, kStart + kSecond));
  auto hearsay = to.ask(kLife, everybody, kStart + kSecond);
  EXPECT_EQ(hearsay.bad, 1u);
  EXPECT_EQ(hearsay.failures, 1u);  // what was behind it when it was told first
  EXPECT_EQ(hearsay.age, 250'000) << "the time on the way makes it older";
  EXPECT_EQ(to.ask(
                  kLife, [](PeerId id) { return id != 1; }, kStart + kSecond)
                .bad,
            0u)
      << "not heard any more";
  EXPECT_EQ(to.ask({7, kLife.startedAtMs + 1}, everybody, kStart).bad, 0u) << "another life";
  EXPECT_EQ(from.ask(kLife, everybody, kStart).bad, 0u) << "one's own is no hearsay";
}

// A restart with the wall clock set back by an hour: what the earlier life has said is outbid once it is
// heard of, and does not count until it lapses.
TEST(Judgements, OfAnEarlierLifeWithALaterClockAreOutbid) {
  constexpr std::uint64_t kNow = 1'790'000'000'000'000, kHour = 3'600'000'000;
  Judgements other(2, kNow);
  Judgements earlier(1, kNow);
  earlier.attempted(kLife, Evidence::Outcome::Silent, 500, kStart);
  other.take(earlier.tell(kRoom, kStart), 0, kStart);
  ASSERT_EQ(other.ask(kLife, everybody, kStart).bad, 1u);
  Judgements one(1, kNow - kHour);
  // It hears what the other one holds, its own earlier word too, and finds the upstream well.
  one.take(said(3, 1, Finding::Failing), 0, kStart + kSecond);
  one.take(other.tell(kRoom, kStart + kSecond), 0, kStart + kSecond);
  for (int n = 0; n < 3; ++n) one.attempted(kLife, Evidence::Outcome::Served, 500, kStart + kSecond);
  other.take(one.tell(kRoom, kStart + kSecond), 0, kStart + kSecond);
  const auto state = stateOf(other, kStart + kSecond);
  EXPECT_TRUE(std::any_of(state.begin(), state.end(), [](const auto& judgement) {
    return std::get<1>(judgement) == 1 && std::get<Finding>(judgement) == Finding::Well;
  }));
}

// So is one that was told before that was heard.
TEST(Judgements, ToldBeforeTheEarlierOneWasHeardOfAreToldAnew) {
  Judgements other(2, 100), one(1, 100);
  other.take(said(1, 5000, Finding::Failing), 0, kStart);
  one.take(said(3, 1, Finding::Failing), 0, kStart);
  one.attempted(kLife, Evidence::Outcome::Served, 500, kStart);
  other.take(one.tell(kRoom, kStart), 0, kStart);
  one.take(other.tell(kRoom, kStart), 0, kStart);
  other.take(one.tell(kRoom, kStart), 0, kStart);
  const auto state = stateOf(other, kStart);
  EXPECT_TRUE(std::any_of(state.begin(), state.end(), [](const auto& judgement) {
    return std::get<1>(judgement) == 1 && std::get<Finding>(judgement) == Finding::Well;
  }));
}

// A version that is no time is not followed: the own one would overflow.
TEST(Judgements, AVersionThatIsNoTimeIsNotOutbid) {
  Judgements liar(2, 100), one(1, 100), other(4, 100);
  liar.take(said(1, ~std::uint64_t{0}, Finding::Failing), 0, kStart);
  one.take(liar.tell(kRoom, kStart), 0, kStart);
  one.take(said(3, 1, Finding::Failing), 0, kStart);
  one.attempted(kLife, Evidence::Outcome::Served, 500, kStart);
  other.take(one.tell(kRoom, kStart), 0, kStart);
  for (const Judgement& held : other.all(kStart)) {
    if (held.witness != 1) continue;
    EXPECT_EQ(held.version, 101u);
  }
}

TEST(Judgements, WellCountsOnlyAgainstEarlierEvidence) {
  Judgements one(9, 1);
  one.take(said(1, 1, Finding::Failing, 2 * kSecond), 0, kStart);
  one.take(said(2, 1, Finding::Well, 3 * kSecond), 0, kStart);
  EXPECT_EQ(one.ask(kLife, everybody, kStart).well, 0u);
  one.take(said(3, 1, Finding::Well, kSecond), 0, kStart);
  EXPECT_EQ(one.ask(kLife, everybody, kStart).well, 1u);
}

TEST(Judgements, WellIsNoNewsWhereNobodyFoundOtherwise) {
  Judgements one(9, 1);
  one.attempted(kLife, Evidence::Outcome::Served, 500, kStart);
  EXPECT_EQ(one.size(), 0u);
  one.take(said(1, 1, Finding::Failing), 0, kStart);
  one.attempted(kLife, Evidence::Outcome::Served, 500, kStart);
  EXPECT_EQ(one.size(), 2u);
}

// Any order, doubling and loss, and then everybody tells everybody of all: one state everywhere.
RC_GTEST_PROP(Judgements, MergeToOneStateWhateverTheOrder, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  std::vector<Judgement> told;
  for (int n = 0; n < 30; ++n) {
    // A version of one witness says one thing.
    const std::uint64_t version = 1 + random() % 4;
    const PeerId witness = 10 + random() % 5;
    const Life life{random() % 3, 5};
    const auto finding = static_cast<Finding>((version + witness + life.upstream) % kFindings);
    told.push_back(said(witness, version, finding, random() % 10 * kSecond, life));
  }
  Judgements first(1, 1), second(2, 1);
  for (const Judgement& one : told) first.take(one, 0, kStart);
  for (int round = 0; round < 2; ++round) {
    std::shuffle(told.begin(), told.end(), random);
    for (const Judgement& one : told) second.take(one, 0, kStart);
  }
  RC_ASSERT(stateOf(first, kStart) == stateOf(second, kStart));
  // And by messages of which half are lost.
  Judgements third(3, 1);
  for (int n = 0; n < 400; ++n) {
    const auto facts = first.tell(kRoom, kStart);
    if (random() % 2 == 0) RC_ASSERT(third.take(facts, 0, kStart));
  }
  RC_ASSERT(stateOf(first, kStart) == stateOf(third, kStart));
}

// Passed on from one to the next for ever, each time as slowly as it may be: it does not outlive its time.
TEST(Judgements, NoneOutlivesItsTimeHoweverOftenItIsPassedOn) {
  Judgements one(1, 1), two(2, 1);
  one.take(said(9, 1, Finding::Failing), 0, kStart);
  Micros now = kStart;
  Judgements* from = &one;
  Judgements* to = &two;
  for (; now < kStart + 2 * kLives; now += 300'000) {
    const auto facts = from->tell(kRoom, now);
    to->take(facts, 200'000, now + 200'000);
    std::swap(from, to);
    const bool alive = from->ask(kLife, everybody, now + 200'000).bad > 0;
    EXPECT_FALSE(alive && now + 200'000 - kStart >= kLives) << now - kStart;
  }
  two.forget(everyLife, everybody, now);
  EXPECT_EQ(two.size(), 0u);
}

TEST(Judgements, OneWitnessCannotFillTheTable) {
  Judgements one(1, 1);
  for (std::uint64_t n = 0; n < 10'000; ++n) one.take(said(5, n, Finding::Failing, 0, {n, 0}), 0, kStart);
  EXPECT_EQ(one.size(), kMaxOfWitness);
  one.take(said(6, 1, Finding::Failing), 0, kStart);
  EXPECT_EQ(one.ask(kLife, everybody, kStart).bad, 1u);
  for (PeerId witness = 10; witness < 100; ++witness) one.take(said(witness, 1, Finding::Failing), 0, kStart);
  EXPECT_EQ(one.ask(kLife, everybody, kStart).bad, kMaxWitnesses);
  // Many that lie together, at its bound: what this sidecar has found itself still has room.
  for (PeerId witness = 100; witness < 300; ++witness)
    for (std::uint64_t n = 0; n < kMaxOfWitness; ++n)
      one.take(said(witness, 1, Finding::Failing, 0, {witness * 1000 + n, 0}), 0, kStart);
  EXPECT_EQ(one.size(), kMaxLives * kMaxWitnesses);
  const Life own{999'999'999, 0};
  for (int n = 0; n < 2; ++n) one.attempted(own, Evidence::Outcome::Failed, 500, kStart);
  EXPECT_EQ(one.judged().back(), own);
}

TEST(Judgements, OwnEvidenceOfManyUpstreamsIsBounded) {
  Judgements one(1, 1);
  for (std::uint64_t n = 0; n < 3 * kMaxLives; ++n)
    for (int failures = 0; failures < 2; ++failures)
      one.attempted({n, 0}, Evidence::Outcome::Failed, 500, kStart + static_cast<Micros>(n));
  one.forget(everyLife, everybody, kStart + 2 * kLives);
  EXPECT_EQ(one.size(), 0u);
}

// Lengths of 0 to 1,500 and random bytes: what is no judgement is refused, and nothing else happens.
RC_GTEST_PROP(Judgements, AnyBytesAreRefusedWithoutHarm, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  Judgements one(1, 1);
  std::vector<std::uint8_t> bytes(random() % 1501);
  for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
  const bool whole = one.take(bytes, 0, kStart).has_value();
  RC_ASSERT(!whole || bytes.size() % kJudgementBytes == 0);
  RC_ASSERT(one.size() <= bytes.size() / kJudgementBytes);
}

}  // namespace
}  // namespace ivypost::shared
