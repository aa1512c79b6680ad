// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/stall_timer.h"

#include <gtest/gtest.h>

#include <chrono>

namespace ivypost::streaming {
namespace {

using namespace std::chrono_literals;

constexpr StallTimer::TimePoint kBegin{};

TEST(StallTimerTest, AClientAt64KilobytesASecondIsNeverAbandoned) {
  StallTimer timer(kBegin);
  for (auto now = kBegin; now < kBegin + 100s; now += 250ms) {
    ASSERT_LT(now, timer.deadline());
    timer.received(16'000, now);
  }
}

TEST(StallTimerTest, AClientThatSendsNothingIsAbandonedAfterTheGracePeriod) {
  EXPECT_EQ(StallTimer(kBegin + 7us).deadline(), kBegin + 7us + StallTimer::kGracePeriod);
  EXPECT_LT(StallTimer::kGracePeriod, 3s);
}

// Guards against clients that keep a connection open by sending single bytes, below the minimum rate.
TEST(StallTimerTest, AClientBelowTheMinimumRateIsAbandoned) {
  StallTimer timer(kBegin);
  auto now = kBegin;
  for (; now < timer.deadline(); now += 100ms) timer.received(1, now);
  EXPECT_LT(now, kBegin + StallTimer::kGracePeriod + 1s);
}

TEST(StallTimerTest, AHighInitialRateDoesNotExtendTheStallTimeout) {
  StallTimer timer(kBegin);
  timer.received(30'000'000, kBegin + 1s);
  EXPECT_EQ(timer.deadline(), kBegin + 1s + StallTimer::kStallTimeout);
  EXPECT_LT(StallTimer::kStallTimeout, 3s);
}

TEST(StallTimerTest, ExcludesTheTimeInWhichTheBodyWasNotRead) {
  StallTimer timer(kBegin);
  timer.received(1000, kBegin + 1s);
  const auto before = timer.deadline();
  timer.extendBy(5s);
  EXPECT_GE(timer.deadline(), before + StallTimer::kStallTimeout - 1s);
}

TEST(StallTimerTest, ExpectsTheRestAtTheRateSoFar) {
  StallTimer timer(kBegin);
  EXPECT_EQ(timer.expectedTime(32'000), 1s) << "without received bytes the minimum rate is assumed";
  timer.received(1'000'000, kBegin + 1s);
  EXPECT_EQ(timer.expectedTime(2'000'000), 2s);
}

}  // namespace
}  // namespace ivypost::streaming
