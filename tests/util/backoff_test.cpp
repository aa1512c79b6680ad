// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "util/backoff.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace ivypost::util {
namespace {

TEST(DecorrelatedJitterTest, StaysBetweenItsBaseAndThreeTimesTheLastAndItsLongest) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  DecorrelatedJitter jitter;
  double last = 0;
  bool longestMet = false;
  for (int n = 0; n < 1000; ++n) {
    const double wait = jitter.next(2, 50, uniform(random));
    EXPECT_GE(wait, 2);
    EXPECT_LE(wait, std::min(50.0, 3 * std::max(2.0, last)));
    longestMet |= wait == 50;
    last = wait;
  }
  EXPECT_TRUE(longestMet);
}

TEST(DecorrelatedJitterTest, BeginsAnewAfterAReset) {
  DecorrelatedJitter jitter;
  EXPECT_FALSE(jitter.waits());
  for (int n = 0; n < 5; ++n) jitter.next(2, 50, 0.999);
  EXPECT_TRUE(jitter.waits());
  jitter.reset();
  EXPECT_FALSE(jitter.waits());
  EXPECT_LE(jitter.next(2, 50, 0.999), 6);
}

// Clients that failed at the same moment must not retry at the same moments.
TEST(DecorrelatedJitterTest, SpreadsRetriesThatFailedTogether) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  constexpr int kMany = 200;
  std::vector<int> perSecond(100);
  for (int n = 0; n < kMany; ++n) {
    DecorrelatedJitter jitter;
    double at = 0;
    for (int tries = 0; tries < 8; ++tries) {
      at += jitter.next(1, 20, uniform(random));
      if (at < 100) ++perSecond[static_cast<std::size_t>(at)];
    }
  }
  EXPECT_LE(*std::max_element(perSecond.begin(), perSecond.end()), kMany * 3 / 4);
  EXPECT_LE(*std::max_element(perSecond.begin() + 5, perSecond.end()), kMany / 3) << "after five seconds";
}

}  // namespace
}  // namespace ivypost::util
