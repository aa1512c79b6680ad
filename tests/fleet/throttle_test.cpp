// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fleet/throttle.h"

#include <gtest/gtest.h>

namespace ivypost::fleet {
namespace {

// A process that uses all that it may, looked at each 2 ms: it gets its part of a core in the long run,
// whatever it overdraws in between.
TEST(Throttle, GivesAProcessItsPart) {
  for (const double cores : {0.05, 0.1, 0.5}) {
    Throttle throttle(cores, 0);
    Micros used = 0;
    for (Micros now = 0; now < 10'000'000; now += 2000) {
      if (throttle.mayRun(used, now)) used += 2000;
    }
    EXPECT_NEAR(static_cast<double>(used), cores * 1e7, 0.01 * 1e7) << cores;
  }
}

TEST(Throttle, AWholeCoreNeverWaitsAndIdleTimeIsNotSaved) {
  Throttle whole(1, 0);
  Throttle tenth(0.1, 0);
  for (Micros now = 0; now < 1'000'000; now += 2000) EXPECT_TRUE(whole.mayRun(now, now));
  // Idle for ten periods: only one period's part is there.
  EXPECT_TRUE(tenth.mayRun(0, 1'000'000));
  EXPECT_TRUE(tenth.mayRun(9'999, 1'010'000));
  EXPECT_FALSE(tenth.mayRun(10'000, 1'010'000));
  EXPECT_TRUE(tenth.mayRun(10'000, 1'100'000));
}

}  // namespace
}  // namespace ivypost::fleet
