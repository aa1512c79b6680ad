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

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
constexpr Incarnation kIncarnation{7, WallTime(1'790'000'000'000ms)};
constexpr std::size_t kRoom = 138;

const auto everyone = [](PeerId) { return true; };
const auto everyIncarnation = [](const Incarnation&) { return true; };

HealthReport reportBy(PeerId reporter, std::uint64_t version, HealthStatus status, Duration age = 0s,
                      Incarnation incarnation = kIncarnation) {
  return {incarnation, reporter, version,
          status,      4,        static_cast<std::uint16_t>(status == HealthStatus::Healthy ? 0 : 4),
          age};
}

// The valid reports, without their remaining transmissions.
using State = std::set<std::tuple<Incarnation, PeerId, std::uint64_t, HealthStatus, Duration>>;
State stateOf(const HealthReportTable& one, TimePoint now) {
  State state;
  for (const HealthReport& report : one.reports(now))
    state.emplace(report.incarnation, report.reporter, report.version, report.status, report.age);
  return state;
}

TEST(HealthReportTable, ReportsCountWhereTheirReporterIsReachable) {
  HealthReportTable from(1, 100), to(2, 100);
  for (int n = 0; n < 3; ++n)
    from.recordAttempt(kIncarnation, AttemptHistory::Outcome::Unanswered, 500us, kStart);
  ASSERT_EQ(to.receive(from.encodeNext(kRoom, kStart), 250ms, kStart + 1s), ReceiveResult::Changed);
  auto summary = to.summarize(kIncarnation, everyone, kStart + 1s);
  EXPECT_EQ(summary.unhealthy, 1u);
  EXPECT_EQ(summary.failures,
            1u);  // as in the first report; the second and third failures come too soon to renew it
  EXPECT_EQ(summary.age, 250ms) << "the delay is added to the age";
  EXPECT_EQ(to.summarize(
                  kIncarnation, [](PeerId id) { return id != 1; }, kStart + 1s)
                .unhealthy,
            0u)
      << "the reporter is no longer reachable";
  EXPECT_EQ(to.summarize({7, kIncarnation.startedAt + 1ms}, everyone, kStart).unhealthy, 0u)
      << "another incarnation";
  EXPECT_EQ(from.summarize(kIncarnation, everyone, kStart).unhealthy, 0u)
      << "own reports are not part of the summary";
}

// After a restart with the wall clock set back by an hour, a reporter's earlier reports have higher versions
// than its new ones. Once it receives an earlier report from another table, it gives its new reports still
// higher versions. Otherwise other tables would keep the earlier reports until these expire.
TEST(HealthReportTable, ExceedsVersionsFromBeforeARestartWithALaterClock) {
  constexpr std::uint64_t kNow = 1'790'000'000'000'000, kHour = 3'600'000'000;
  HealthReportTable other(2, kNow);
  HealthReportTable earlier(1, kNow);
  earlier.recordAttempt(kIncarnation, AttemptHistory::Outcome::Unanswered, 500us, kStart);
  other.receive(earlier.encodeNext(kRoom, kStart), 0s, kStart);
  ASSERT_EQ(other.summarize(kIncarnation, everyone, kStart).unhealthy, 1u);
  HealthReportTable one(1, kNow - kHour);
  // The restarted table receives the other table's reports, including its own earlier report, and then finds
  // the endpoint healthy.
  one.merge(reportBy(3, 1, HealthStatus::Failing), 0s, kStart + 1s);
  one.receive(other.encodeNext(kRoom, kStart + 1s), 0s, kStart + 1s);
  for (int n = 0; n < 3; ++n)
    one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500us, kStart + 1s);
  other.receive(one.encodeNext(kRoom, kStart + 1s), 0s, kStart + 1s);
  const auto state = stateOf(other, kStart + 1s);
  EXPECT_TRUE(std::any_of(state.begin(), state.end(), [](const auto& report) {
    return std::get<1>(report) == 1 && std::get<HealthStatus>(report) == HealthStatus::Healthy;
  }));
}

// A restarted reporter that has sent a report and then receives one of its reports from before the restart,
// with a higher version, sends its new report again with a version above that.
TEST(HealthReportTable, ResendsReportsOnceItReceivesVersionsFromBeforeARestart) {
  HealthReportTable other(2, 100), one(1, 100);
  other.merge(reportBy(1, 5000, HealthStatus::Failing), 0s, kStart);
  one.merge(reportBy(3, 1, HealthStatus::Failing), 0s, kStart);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500us, kStart);
  other.receive(one.encodeNext(kRoom, kStart), 0s, kStart);
  one.receive(other.encodeNext(kRoom, kStart), 0s, kStart);
  other.receive(one.encodeNext(kRoom, kStart), 0s, kStart);
  const auto state = stateOf(other, kStart);
  EXPECT_TRUE(std::any_of(state.begin(), state.end(), [](const auto& report) {
    return std::get<1>(report) == 1 && std::get<HealthStatus>(report) == HealthStatus::Healthy;
  }));
}

// A reporter ignores a received version of its own reports that is too high to be a time: if it chose a still
// higher version, that version would overflow.
TEST(HealthReportTable, DoesNotExceedAnImplausibleVersion) {
  HealthReportTable liar(2, 100), one(1, 100), other(4, 100);
  liar.merge(reportBy(1, ~std::uint64_t{0}, HealthStatus::Failing), 0s, kStart);
  one.receive(liar.encodeNext(kRoom, kStart), 0s, kStart);
  one.merge(reportBy(3, 1, HealthStatus::Failing), 0s, kStart);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500us, kStart);
  other.receive(one.encodeNext(kRoom, kStart), 0s, kStart);
  for (const HealthReport& report : other.reports(kStart)) {
    if (report.reporter != 1) continue;
    EXPECT_EQ(report.version, 101u);
  }
}

TEST(HealthReportTable, HealthyCountsOnlyAgainstEarlierEvidence) {
  HealthReportTable one(9, 1);
  one.merge(reportBy(1, 1, HealthStatus::Failing, 2s), 0s, kStart);
  one.merge(reportBy(2, 1, HealthStatus::Healthy, 3s), 0s, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everyone, kStart).healthy, 0u);
  one.merge(reportBy(3, 1, HealthStatus::Healthy, 1s), 0s, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everyone, kStart).healthy, 1u);
}

TEST(HealthReportTable, HealthyIsNotReportedWhereNobodyReportedAFault) {
  HealthReportTable one(9, 1);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500us, kStart);
  EXPECT_EQ(one.size(), 0u);
  one.merge(reportBy(1, 1, HealthStatus::Failing), 0s, kStart);
  one.recordAttempt(kIncarnation, AttemptHistory::Outcome::Succeeded, 500us, kStart);
  EXPECT_EQ(one.size(), 2u);
}

// Merging in any order and with repetitions, and by messages of which half are lost, produces the same state.
RC_GTEST_PROP(HealthReportTable, MergesToOneStateWhateverTheOrder, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  std::vector<HealthReport> received;
  for (int n = 0; n < 30; ++n) {
    // A reporter uses each version for one status only.
    const std::uint64_t version = 1 + random() % 4;
    const PeerId reporter = 10 + random() % 5;
    const Incarnation incarnation{random() % 3, WallTime(5ms)};
    const auto status = static_cast<HealthStatus>((version + reporter + incarnation.endpoint) % kStatusCount);
    received.push_back(reportBy(reporter, version, status, random() % 10 * 1s, incarnation));
  }
  HealthReportTable first(1, 1), second(2, 1);
  for (const HealthReport& one : received) first.merge(one, 0s, kStart);
  for (int round = 0; round < 2; ++round) {
    std::shuffle(received.begin(), received.end(), random);
    for (const HealthReport& one : received) second.merge(one, 0s, kStart);
  }
  RC_ASSERT(stateOf(first, kStart) == stateOf(second, kStart));
  // A third table receives the same reports in messages of which half are lost.
  HealthReportTable third(3, 1);
  for (int n = 0; n < 400; ++n) {
    const auto bytes = first.encodeNext(kRoom, kStart);
    if (random() % 2 == 0) RC_ASSERT(third.receive(bytes, 0s, kStart) != ReceiveResult::Malformed);
  }
  RC_ASSERT(stateOf(first, kStart) == stateOf(third, kStart));
}

// A report that two tables forward to each other repeatedly, with delays, does not outlive its time to live.
TEST(HealthReportTable, NoReportOutlivesItsTimeHoweverOftenItIsForwarded) {
  HealthReportTable one(1, 1), two(2, 1);
  one.merge(reportBy(9, 1, HealthStatus::Failing), 0s, kStart);
  TimePoint now = kStart;
  HealthReportTable* from = &one;
  HealthReportTable* to = &two;
  for (; now < kStart + 2 * kTimeToLive; now += 300ms) {
    const auto bytes = from->encodeNext(kRoom, now);
    to->receive(bytes, 200ms, now + 200ms);
    std::swap(from, to);
    const bool alive = from->summarize(kIncarnation, everyone, now + 200ms).unhealthy > 0;
    EXPECT_FALSE(alive && now + 200ms - kStart >= kTimeToLive) << (now - kStart).count();
  }
  two.removeStale(everyIncarnation, everyone, now);
  EXPECT_EQ(two.size(), 0u);
}

TEST(HealthReportTable, OneReporterCannotFillTheTable) {
  HealthReportTable one(1, 1);
  for (std::uint64_t n = 0; n < 10'000; ++n)
    one.merge(reportBy(5, n, HealthStatus::Failing, 0s, {n, {}}), 0s, kStart);
  EXPECT_EQ(one.size(), kMaxReportsPerReporter);
  one.merge(reportBy(6, 1, HealthStatus::Failing), 0s, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everyone, kStart).unhealthy, 1u);
  for (PeerId reporter = 10; reporter < 100; ++reporter)
    one.merge(reportBy(reporter, 1, HealthStatus::Failing), 0s, kStart);
  EXPECT_EQ(one.summarize(kIncarnation, everyone, kStart).unhealthy, kMaxReportersPerIncarnation);
  // A table that other reporters have filled to its bound still accepts reports from this sidecar's own
  // attempts.
  for (PeerId reporter = 100; reporter < 300; ++reporter)
    for (std::uint64_t n = 0; n < kMaxReportsPerReporter; ++n)
      one.merge(reportBy(reporter, 1, HealthStatus::Failing, 0s, {reporter * 1000 + n, {}}), 0s, kStart);
  EXPECT_EQ(one.size(), kMaxReports);
  const Incarnation own{999'999'999, {}};
  for (int n = 0; n < 2; ++n) one.recordAttempt(own, AttemptHistory::Outcome::Failed, 500us, kStart);
  EXPECT_EQ(one.incarnations().back(), own);
}

TEST(HealthReportTable, HistoriesOfManyEndpointsAreBounded) {
  HealthReportTable one(1, 1);
  for (std::uint64_t n = 0; n < 3 * kMaxIncarnations; ++n)
    for (int failures = 0; failures < 2; ++failures)
      one.recordAttempt({n, {}}, AttemptHistory::Outcome::Failed, 500us, kStart + Duration(n));
  one.removeStale(everyIncarnation, everyone, kStart + 2 * kTimeToLive);
  EXPECT_EQ(one.size(), 0u);
}

// Random bytes of lengths from 0 to 1,500 are rejected unless they consist of reports, and add only the
// reports that they consist of.
RC_GTEST_PROP(HealthReportTable, RejectsAnyBytesWithoutHarm, (std::uint32_t seed)) {
  std::mt19937 random(seed);
  HealthReportTable one(1, 1);
  std::vector<std::uint8_t> bytes(random() % 1501);
  for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
  const bool isComplete = one.receive(bytes, 0s, kStart) != ReceiveResult::Malformed;
  RC_ASSERT(!isComplete || bytes.size() % kReportBytes == 0);
  RC_ASSERT(one.size() <= bytes.size() / kReportBytes);
}

}  // namespace
}  // namespace ivypost::health_reports
