// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/stall_timer.h"

#include <gtest/gtest.h>

namespace ivypost::streaming {
namespace {

constexpr Micros kSecond = 1'000'000;

TEST(StallTimer, AClientAt64KilobytesASecondIsNeverGivenUp) {
  StallTimer timer(0);
  for (Micros now = 0; now < 100 * kSecond; now += 250'000) {
    ASSERT_LT(now, timer.deadline());
    timer.received(16'000, now);
  }
}

TEST(StallTimer, OneThatSendsNothingIsGivenUpSoon) {
  EXPECT_EQ(StallTimer(7).deadline(), 7 + StallTimer::kGracePeriod);
  EXPECT_LT(StallTimer::kGracePeriod, 3 * kSecond);
}

// A byte now and then is no body.
TEST(StallTimer, OneThatTricklesIsGivenUp) {
  StallTimer timer(0);
  Micros now = 0;
  for (; now < timer.deadline(); now += 100'000) timer.received(1, now);
  EXPECT_LT(now, StallTimer::kGracePeriod + kSecond);
}

TEST(StallTimer, AFastBeginningDoesNotEarnAPauseWithoutEnd) {
  StallTimer timer(0);
  timer.received(30'000'000, kSecond);
  EXPECT_EQ(timer.deadline(), kSecond + StallTimer::kStallTimeout);
  EXPECT_LT(StallTimer::kStallTimeout, 3 * kSecond);
}

TEST(StallTimer, TimeHeldBackByUsDoesNotCount) {
  StallTimer timer(0);
  timer.received(1000, kSecond);
  const Micros before = timer.deadline();
  timer.extendBy(5 * kSecond);
  EXPECT_GE(timer.deadline(), before + StallTimer::kStallTimeout - kSecond);
}

TEST(StallTimer, ExpectsTheRestAtThePaceSoFar) {
  StallTimer timer(0);
  EXPECT_EQ(timer.expectedTime(32'000), kSecond) << "nothing is known: the slowest that is waited for";
  timer.received(1'000'000, kSecond);
  EXPECT_EQ(timer.expectedTime(2'000'000), 2 * kSecond);
}

}  // namespace
}  // namespace ivypost::streaming
