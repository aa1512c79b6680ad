// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "relay/pace.h"

#include <gtest/gtest.h>

namespace ivypost::relay {
namespace {

constexpr Micros kSecond = 1'000'000;

TEST(Pace, AClientAt64KilobytesASecondIsNeverGivenUp) {
  Pace pace(0);
  for (Micros now = 0; now < 100 * kSecond; now += 250'000) {
    ASSERT_LT(now, pace.due());
    pace.came(16'000, now);
  }
}

TEST(Pace, OneThatSendsNothingIsGivenUpSoon) {
  EXPECT_EQ(Pace(7).due(), 7 + Pace::kGrace);
  EXPECT_LT(Pace::kGrace, 3 * kSecond);
}

// A byte now and then is no body.
TEST(Pace, OneThatTricklesIsGivenUp) {
  Pace pace(0);
  Micros now = 0;
  for (; now < pace.due(); now += 100'000) pace.came(1, now);
  EXPECT_LT(now, Pace::kGrace + kSecond);
}

TEST(Pace, AFastBeginningDoesNotEarnAPauseWithoutEnd) {
  Pace pace(0);
  pace.came(30'000'000, kSecond);
  EXPECT_EQ(pace.due(), kSecond + Pace::kStall);
  EXPECT_LT(Pace::kStall, 3 * kSecond);
}

TEST(Pace, TimeHeldBackByUsDoesNotCount) {
  Pace pace(0);
  pace.came(1000, kSecond);
  const Micros before = pace.due();
  pace.heldBack(5 * kSecond);
  EXPECT_GE(pace.due(), before + Pace::kStall - kSecond);
}

TEST(Pace, ExpectsTheRestAtThePaceSoFar) {
  Pace pace(0);
  EXPECT_EQ(pace.expected(32'000), kSecond) << "nothing is known: the slowest that is waited for";
  pace.came(1'000'000, kSecond);
  EXPECT_EQ(pace.expected(2'000'000), 2 * kSecond);
}

}  // namespace
}  // namespace ivypost::relay
