// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/start_time_estimator.h"

#include <gtest/gtest.h>

#include <string>

namespace ivypost {
namespace {

using Micros = StartTimeEstimator::Micros;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kHour = 3600 * kSecond;
constexpr Micros kDelay = StartTimeEstimator::kNoticeDelay;
constexpr Micros kUnix = 1'790'000'000 * kSecond;  // true Unix time at the start of the process
constexpr Micros kBoot = 50'000 * kSecond;         // monotonic time at the start of the process

// The first list that states the start of an upstream arrives. Times are relative to its arrival.
struct Case {
  std::string name;
  Micros clockError;                  // error of this process's wall clock when the process starts
  std::optional<Micros> previousAgo;  // when the previous list was last current; empty: no previous list
  Micros startedAgo;                  // true start of the upstream
  Micros listedError;                 // error of the clock from which the stated start was taken
  Micros expectedAgo;                 // the estimated start
};
std::ostream& operator<<(std::ostream& out, const Case& one) {
  return out << one.name;
}

class StartTimeTest : public testing::TestWithParam<Case> {};

TEST_P(StartTimeTest, IsTheStatedOneUnlessTheMonotonicClockContradictsIt) {
  const Case& one = GetParam();
  StartTimeEstimator starts(kUnix + one.clockError, kBoot);
  const Micros listed = 600 * kSecond;  // arrival of the list, since the process started
  const auto previous =
      one.previousAgo ? std::optional(kBoot + listed - *one.previousAgo) : std::optional<Micros>();
  starts.beginList(previous, kBoot + listed);
  const std::int64_t startedAtMs = (kUnix + listed - one.startedAgo + one.listedError) / 1000;
  EXPECT_EQ(kBoot + listed - starts.startOf(7, startedAtMs), one.expectedAgo);
}

INSTANTIATE_TEST_SUITE_P(
    Clocks, StartTimeTest,
    testing::Values(
        // The wall clock is right: the stated start is used, even if the list arrives late.
        Case{"right", 0, 0, 50'000, 0, 50'000}, Case{"right, listed at once", 0, 0, 0, 0, 0},
        Case{"right, listed 2 s late", 0, 0, 2 * kSecond, 0, 2 * kSecond},
        Case{"right, after an outage", 0, 30 * kSecond, 20 * kSecond, 0, 20 * kSecond},
        Case{"right, as late as may be", 0, 0, kDelay, 0, kDelay},
        Case{"right, first list", 0, std::nullopt, kHour, 0, kHour},
        Case{"right, first list, just started", 0, std::nullopt, kSecond, 0, kSecond},
        // The wall clock of this process is ahead: a start that this process observed is estimated as now.
        Case{"an hour ahead", kHour, 0, 50'000, 0, 0}, Case{"5 s ahead", 5 * kSecond, 0, 50'000, 0, 0},
        Case{"an hour ahead, after an outage", kHour, 30 * kSecond, 20 * kSecond, 0, 0},
        Case{"2 s ahead, indistinguishable from a late list", 2 * kSecond, 0, 50'000, 0, 2'050'000},
        Case{"an hour ahead, first list", kHour, std::nullopt, 50'000, 0, kHour + 50'000},
        // The wall clock of this process is behind: no start is later than now.
        Case{"an hour behind", -kHour, 0, 50'000, 0, 0}, Case{"3 s behind", -3 * kSecond, 0, kSecond, 0, 0},
        Case{"an hour behind, first list", -kHour, std::nullopt, kSecond, 0, 0},
        Case{"an hour behind, first list, started long ago", -kHour, std::nullopt, 3 * kHour, 0, 2 * kHour},
        Case{"before 1970", -kUnix - kHour, 0, 50'000, 0, 0},
        Case{"before 1970, first list", -kUnix - kHour, std::nullopt, 9 * kHour, 0, 0},
        // The clock of the process that makes the lists is stepped while this process runs.
        Case{"lists step an hour back", 0, 0, 50'000, -kHour, 0},
        Case{"lists step an hour ahead", 0, 0, 50'000, kHour, 0},
        Case{"lists step 5 s back", 0, 0, 50'000, -5 * kSecond, 0}));

// An endpoint with the same stated start keeps its estimate.
TEST(StartTime, IsNotChangedByLaterLists) {
  for (const Micros error : {Micros{0}, kHour, -kHour, 5 * kSecond}) {
    StartTimeEstimator starts(kUnix + error, kBoot);
    starts.beginList(std::nullopt, kBoot);
    const std::int64_t first = (kUnix - 100 * kSecond) / 1000;
    const Micros known = starts.startOf(1, first);
    starts.beginList(kBoot + 10 * kSecond, kBoot + 10 * kSecond);
    const std::int64_t second = (kUnix + 10 * kSecond) / 1000;
    const Micros seen = starts.startOf(2, second);
    EXPECT_EQ(kBoot + 10 * kSecond - seen, 0) << error;
    for (Micros at = 20 * kSecond; at < 2 * kHour; at += 100 * kSecond) {
      starts.beginList(kBoot + at - kSecond, kBoot + at);
      EXPECT_EQ(starts.startOf(1, first), known);
      EXPECT_EQ(starts.startOf(2, second), seen);
    }
  }
}

// An endpoint that lists omit for a while and then name again with the same start does not count as new.
TEST(StartTime, IsKeptForAnEndpointThatIsListedAgain) {
  StartTimeEstimator starts(kUnix, kBoot);
  starts.beginList(std::nullopt, kBoot);
  const std::int64_t startedAtMs = (kUnix - kHour) / 1000;
  const Micros before = starts.startOf(1, startedAtMs);
  starts.beginList(kBoot, kBoot + 60 * kSecond);  // a list without the endpoint
  starts.beginList(kBoot + 70 * kSecond, kBoot + 70 * kSecond);
  EXPECT_EQ(starts.startOf(1, startedAtMs), before);
  // An endpoint for which the list states another start counts as started now.
  EXPECT_EQ(starts.startOf(1, startedAtMs + 1), kBoot + 70 * kSecond);
}

TEST(StartTime, IsZeroForAnUnknownStart) {
  StartTimeEstimator starts(kUnix, kBoot);
  starts.beginList(kBoot, kBoot);
  EXPECT_EQ(starts.startOf(1, 0), 0);
  EXPECT_EQ(starts.remembered(), 0u);
}

// Lists state a start before the machine's boot, and the latest start that a list may state.
TEST(StartTime, IsInRangeForAnyStatedTime) {
  for (const Micros clock : {kUnix, Micros{-kUnix}, Micros{0}}) {
    StartTimeEstimator starts(clock, 5);
    starts.beginList(std::nullopt, 10);
    EXPECT_GE(starts.startOf(1, 1), 1);
    EXPECT_LE(starts.startOf(2, (std::int64_t{1} << 53) / 1000), 10);
  }
}

TEST(StartTime, RemembersABoundedNumberOfTheNewestStarts) {
  StartTimeEstimator starts(kUnix, kBoot);
  starts.beginList(std::nullopt, kBoot);
  for (std::size_t n = 0; n < 2 * StartTimeEstimator::kMaxStarts; ++n)
    starts.startOf(n, kUnix / 1000 - static_cast<std::int64_t>(n));
  EXPECT_EQ(starts.remembered(), StartTimeEstimator::kMaxStarts);
  const std::size_t last = 2 * StartTimeEstimator::kMaxStarts - 1;
  const Micros before = kBoot - static_cast<Micros>(last) * 1000;
  starts.beginList(kBoot + kHour, kBoot + kHour);
  EXPECT_EQ(starts.startOf(last, kUnix / 1000 - static_cast<std::int64_t>(last)), before);
}

}  // namespace
}  // namespace ivypost
