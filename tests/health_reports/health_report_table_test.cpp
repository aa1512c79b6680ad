// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "health_reports/health_report_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <tuple>

namespace ivypost::health_reports {
namespace {

constexpr Micros kSecond = 1'000'000, kStart = 1000 * kSecond;
constexpr Incarnation kIncarnation{7, 1'790'000'000'000};
constexpr std::size_t kRoom = 138;

const auto everybody = [](PeerId) { return true; };
const auto everyIncarnation = [](const Incarnation&) { return true; };

HealthReport reportBy(PeerId reporter, std::uint64_t version, HealthStatus status, Micros age = 0,
                      Incarnation incarnation = kIncarnation) {
  return {incarnation, reporter, version,
          status,      4,        static_cast<std::uint16_t>(status == HealthStatus::Healthy ? 0 : 4),
          age};
}

// What counts, without the transmissions that are left.
using State = std::set<std::tuple<Incarnation, PeerId, std::uint64_t, HealthStatus, Micros>>;
State stateOf(const HealthReportTable& one, Micros now) {
  State state;
  for (const HealthReport& held : one.reports(now))
    state.emplace(held.incarnation, held.reporter, held.version, held.status, held.age);
  return state;
}

TEST(AttemptHistory, NeedsSeveralFailuresAndMoreThanHalf) {
  using enum AttemptHistory::Outcome;
  const struct {
    std::vector<AttemptHistory::Outcome> outcomes;
    HealthStatus status;
  } rows[] = {{{Succeeded}, HealthStatus::Healthy},
              {{Failed}, HealthStatus::Healthy},
              {{Failed, Failed}, HealthStatus::Failing},
              {{Unanswered}, HealthStatus::Unresponsive},
              {{Succeeded, Unanswered}, HealthStatus::Unresponsive},
              {{Unanswered, Succeeded}, HealthStatus::Healthy},
              {{Unanswered, Unanswered}, HealthStatus::Unresponsive},
              {{Unanswered, Failed}, HealthStatus::Failing},
              {{Failed, Failed, Succeeded}, HealthStatus::Failing},
              {{Failed, Failed, Failed, Failed, Succeeded, Succeeded, Succeeded}, HealthStatus::Healthy},
              {{Succeeded, Succeeded, Succeeded, Failed, Failed}, HealthStatus::Healthy},
              {{Succeeded, Failed, Failed}, HealthStatus::Failing}};
  for (const auto& row : rows) {
    AttemptHistory evidence;
    Micros now = kStart;
    for (const auto outcome : row.outcomes) evidence.record(outcome, 500, now += 1000);
    EXPECT_EQ(evidence.assess(now).status, row.status) << &row - rows;
    EXPECT_EQ(evidence.assess(now).attempts, row.outcomes.size());
    EXPECT_EQ(evidence.assess(now + AttemptHistory::kWindow + 1000).attempts, 0) << "too old";
  }
  AttemptHistory evidence;
  for (std::size_t n = 0; n < 3 * AttemptHistory::kCapacity; ++n) evidence.record(Failed, 500, kStart);
  EXPECT_EQ(evidence.assess(kStart).attempts, AttemptHistory::kCapacity);
}

// An upstream that served something after the attempt was sent is not silent: that one was slow.
TEST(AttemptHistory, IsNotUnresponsiveAfterASuccessSinceTheAttemptWasSent) {
  for (const Micros lag : {900'000, 1'100'000}) {
    AttemptHistory evidence;
    evidence.record(AttemptHistory::Outcome::Succeeded, 500, kStart);
    evidence.record(AttemptHistory::Outcome::Unanswered, lag, kStart + kSecond);
    EXPECT_EQ(evidence.assess(kStart + kSecond).status,
              lag < kSecond ? HealthStatus::Unresponsive : HealthStatus::Healthy);
  }
}

TEST(HealthReportTable, ReportsCountWhereTheirReporterIsReachable) {
  HealthReportTable from(1, 100), to(2, 100);
  for (int n = 0; n < 3; ++n)
    from.recordAttempt(kIncarnation, AttemptHistory::Outcome::Unanswered, 500, kStart);
  ASSERT_TRUE(to.take(from.encodeNext(kRoom, kStart), 250'000, kStart + kSecond));
  auto summary = to.summarize(kIncarnation, everybody, kStart + kSecond);
  EXPECT_EQ(summary.unhealthy, 1u);
  EXPECT_EQ(summary.failures, 1u);  // what was behind it when it was told first
  EXPECT_EQ(summary.age, 250'000) << "the time on the way makes it older";
  EXPECT_EQ(to.summarize(
                  kIncarnation, [](PeerId id) { return id != 1; }, kStart + kSecond)
                .unhealthy,
            0u)
      << "not heard any more";
  EXPECT_EQ(to.summarize({7, kIncarnation.startedAtMs + 1}, everybody, kStart).unhealthy, 0u)
      << "another incarnation";
  EXPECT_EQ(from.summarize(kIncarnation, everybody, kStart).unhealthy, 0u) << "one's own is no summary";
}

// A restart with the wall clock set back by an hour: what the earlier incarnation has said is outbid once it
// is heard of, and does not count until it lapses.
TEST(HealthReportTable, OutbidsReportsOfItsEarlierIncarnationWithALaterClock) {
  constexpr std::uint64_t kNow = 1'790'000'000'000'000, kHour = 3'600'000'000;
  HealthReportTable other(2, kNow);
  HealthReportTable earlier(1, kNow);
  earlier.recordAttempt(kIncarnation, AttemptHistory::Outcome::Unanswered, 500, kStart);
  other.take(earlier.encodeNext(kRoom, kStart), 0, kStart);
  ASSERT_EQ(other.summarize(kIncarnation, everybody, kStart).unhealthy, 1u);
  HealthReportTable one(1, kNow - kHour);
  // It hears what the other one holds, its own earlier word too, and finds the upstream well.
  one.take(reportBy(3, 1, HealthStatus::Failing), 0, kStart + kSecond);
  one.take(other.encodeNext(kRoom, kStart + kSecond), 0, kStart + kSecond);
  for (int n = 0; n < 3; ++n)
    one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500, kStart + kSecond);
  other.take(one.encodeNext(kRoom, kStart + kSecond), 0, kStart + kSecond);
  const auto state = stateOf(other, kStart + kSecond);
  EXPECT_TRUE(std::any_of(state.begin(), state.end(), [](const auto& report) {
    return std::get<1>(report) == 1 && std::get<HealthStatus>(report) == HealthStatus::Healthy;
  }));
}

// So is one that was told before that was heard.
TEST(HealthReportTable, SendsAgainWhatItSentBeforeItKnewOfTheEarlierIncarnation) {
  HealthReportTable other(2, 100), one(1, 100);
  other.take(reportBy(1, 5000, HealthStatus::Failing), 0, kStart);
  one.take(reportBy(3, 1, HealthStatus::Failing), 0, kStart);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500, kStart);
  other.take(one.encodeNext(kRoom, kStart), 0, kStart);
  one.take(other.encodeNext(kRoom, kStart), 0, kStart);
  other.take(one.encodeNext(kRoom, kStart), 0, kStart);
  const auto state = stateOf(other, kStart);
  EXPECT_TRUE(std::any_of(state.begin(), state.end(), [](const auto& report) {
    return std::get<1>(report) == 1 && std::get<HealthStatus>(report) == HealthStatus::Healthy;
  }));
}

// A version that is no time is not followed: the own one would overflow.
TEST(HealthReportTable, DoesNotFollowAVersionThatIsNoTime) {
  HealthReportTable liar(2, 100), one(1, 100), other(4, 100);
  liar.take(reportBy(1, ~std::uint64_t{0}, HealthStatus::Failing), 0, kStart);
  one.take(liar.encodeNext(kRoom, kStart), 0, kStart);
  one.take(reportBy(3, 1, HealthStatus::Failing), 0, kStart);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500, kStart);
  other.take(one.encodeNext(kRoom, kStart), 0, kStart);
  for (const HealthReport& held : other.reports(kStart)) {
    if (held.reporter != 1) continue;
    EXPECT_EQ(held.version, 101u);
  }
}

TEST(HealthReportTable, HealthyCountsOnlyAgainstEarlierEvidence) {
  HealthReportTable one(9, 1);
  one.take(reportBy(1, 1, HealthStatus::Failing, 2 * kSecond), 0, kStart);
  one.take(reportBy(2, 1, HealthStatus::Healthy, 3 * kSecond), 0, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everybody, kStart).healthy, 0u);
  one.take(reportBy(3, 1, HealthStatus::Healthy, kSecond), 0, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everybody, kStart).healthy, 1u);
}

TEST(HealthReportTable, HealthyIsNotReportedWhereNobodyReportedAFault) {
  HealthReportTable one(9, 1);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500, kStart);
  EXPECT_EQ(one.size(), 0u);
  one.take(reportBy(1, 1, HealthStatus::Failing), 0, kStart);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500, kStart);
  EXPECT_EQ(one.size(), 2u);
}

// Any order, doubling and loss, and then everybody tells everybody of all: one state everywhere.
RC_GTEST_PROP(HealthReportTable, MergesToOneStateWhateverTheOrder, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  std::vector<HealthReport> told;
  for (int n = 0; n < 30; ++n) {
    // A version of one reporter says one thing.
    const std::uint64_t version = 1 + random() % 4;
    const PeerId reporter = 10 + random() % 5;
    const Incarnation incarnation{random() % 3, 5};
    const auto status = static_cast<HealthStatus>((version + reporter + incarnation.endpoint) % kStatusCount);
    told.push_back(reportBy(reporter, version, status, random() % 10 * kSecond, incarnation));
  }
  HealthReportTable first(1, 1), second(2, 1);
  for (const HealthReport& one : told) first.take(one, 0, kStart);
  for (int round = 0; round < 2; ++round) {
    std::shuffle(told.begin(), told.end(), random);
    for (const HealthReport& one : told) second.take(one, 0, kStart);
  }
  RC_ASSERT(stateOf(first, kStart) == stateOf(second, kStart));
  // And by messages of which half are lost.
  HealthReportTable third(3, 1);
  for (int n = 0; n < 400; ++n) {
    const auto facts = first.encodeNext(kRoom, kStart);
    if (random() % 2 == 0) RC_ASSERT(third.take(facts, 0, kStart));
  }
  RC_ASSERT(stateOf(first, kStart) == stateOf(third, kStart));
}

// Passed on from one to the next for ever, each time as slowly as it may be: it does not outlive its time.
TEST(HealthReportTable, NoReportOutlivesItsTimeHoweverOftenItIsForwarded) {
  HealthReportTable one(1, 1), two(2, 1);
  one.take(reportBy(9, 1, HealthStatus::Failing), 0, kStart);
  Micros now = kStart;
  HealthReportTable* from = &one;
  HealthReportTable* to = &two;
  for (; now < kStart + 2 * kTimeToLive; now += 300'000) {
    const auto facts = from->encodeNext(kRoom, now);
    to->take(facts, 200'000, now + 200'000);
    std::swap(from, to);
    const bool alive = from->summarize(kIncarnation, everybody, now + 200'000).unhealthy > 0;
    EXPECT_FALSE(alive && now + 200'000 - kStart >= kTimeToLive) << now - kStart;
  }
  two.removeStale(everyIncarnation, everybody, now);
  EXPECT_EQ(two.size(), 0u);
}

TEST(HealthReportTable, OneReporterCannotFillTheTable) {
  HealthReportTable one(1, 1);
  for (std::uint64_t n = 0; n < 10'000; ++n)
    one.take(reportBy(5, n, HealthStatus::Failing, 0, {n, 0}), 0, kStart);
  EXPECT_EQ(one.size(), kMaxReportsPerReporter);
  one.take(reportBy(6, 1, HealthStatus::Failing), 0, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everybody, kStart).unhealthy, 1u);
  for (PeerId reporter = 10; reporter < 100; ++reporter)
    one.take(reportBy(reporter, 1, HealthStatus::Failing), 0, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everybody, kStart).unhealthy, kMaxReportersPerIncarnation);
  // Many that lie together, at its bound: what this sidecar has found itself still has room.
  for (PeerId reporter = 100; reporter < 300; ++reporter)
    for (std::uint64_t n = 0; n < kMaxReportsPerReporter; ++n)
      one.take(reportBy(reporter, 1, HealthStatus::Failing, 0, {reporter * 1000 + n, 0}), 0, kStart);
  EXPECT_EQ(one.size(), kMaxIncarnations * kMaxReportersPerIncarnation);
  const Incarnation own{999'999'999, 0};
  for (int n = 0; n < 2; ++n) one.recordAttempt(own, AttemptHistory::Outcome::Failed, 500, kStart);
  EXPECT_EQ(one.incarnations().back(), own);
}

TEST(HealthReportTable, HistoriesOfManyEndpointsAreBounded) {
  HealthReportTable one(1, 1);
  for (std::uint64_t n = 0; n < 3 * kMaxIncarnations; ++n)
    for (int failures = 0; failures < 2; ++failures)
      one.recordAttempt({n, 0}, AttemptHistory::Outcome::Failed, 500, kStart + static_cast<Micros>(n));
  one.removeStale(everyIncarnation, everybody, kStart + 2 * kTimeToLive);
  EXPECT_EQ(one.size(), 0u);
}

// Lengths of 0 to 1,500 and random bytes: what is no report is refused, and nothing else happens.
RC_GTEST_PROP(HealthReportTable, RejectsAnyBytesWithoutHarm, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  HealthReportTable one(1, 1);
  std::vector<std::uint8_t> bytes(random() % 1501);
  for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
  const bool whole = one.take(bytes, 0, kStart).has_value();
  RC_ASSERT(!whole || bytes.size() % kReportBytes == 0);
  RC_ASSERT(one.size() <= bytes.size() / kReportBytes);
}

}  // namespace
}  // namespace ivypost::health_reports
