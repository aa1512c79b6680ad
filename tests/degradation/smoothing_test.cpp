// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <chrono>
#include <cmath>

#include "degradation/decaying_fraction.h"
#include "degradation/moving_average.h"
#include "simulated_time.h"

namespace ivypost::degradation {
namespace {

using namespace std::chrono_literals;

TEST(MovingAverage, IsSetByTheFirstSample) {
  MovingAverage average;
  EXPECT_EQ(average.value(), 0);
  average.add(3, 1s, at(5s));
  EXPECT_EQ(average.value(), 3);
}

TEST(MovingAverage, ReducesADifferenceTo1OverEInItsTimeConstant) {
  MovingAverage average;
  average.add(1, 2s, at(0s));
  average.add(0, 2s, at(2s));
  EXPECT_DOUBLE_EQ(average.value(), std::exp(-1));
}

TEST(MovingAverage, TakesEachSampleWhenItsTimeConstantIsZero) {
  MovingAverage average;
  average.add(1, 0s, at(0s));
  average.add(7, 0s, at(0s));
  EXPECT_EQ(average.value(), 7);
}

class DecayingFractionTest : public testing::Test {
 protected:
  void add(int matching, int total, Duration now) {
    for (int n = 0; n < total; ++n) fraction.add(n < matching, at(now));
  }

  DecayingFraction fraction;
};

TEST_F(DecayingFractionTest, IsZeroBelowTheMinimumNumberOfEvents) {
  add(9, 9, 1s);
  EXPECT_EQ(fraction.value(at(1s)), 0);
  add(1, 1, 1s);
  EXPECT_EQ(fraction.value(at(1s)), 1);
}

TEST_F(DecayingFractionTest, DecaysEventsByTheirAge) {
  add(100, 100, 1s);
  add(0, 100, 2s);
  EXPECT_NEAR(fraction.value(at(2s)), std::exp(-1) / (1 + std::exp(-1)), 1e-12);
  EXPECT_EQ(fraction.value(at(30s)), 0);
}

TEST_F(DecayingFractionTest, StandsStillWhenTheClockGoesBack) {
  add(50, 100, 10s);
  add(0, 100, 1s);
  EXPECT_EQ(fraction.value(at(1s)), 0.25);
}

}  // namespace
}  // namespace ivypost::degradation
