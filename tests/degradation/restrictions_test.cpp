// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/restrictions.h"

#include <gtest/gtest.h>

namespace ivypost::degradation {
namespace {

TEST(Restrictions, OnlyGrowStricterFromLevelToLevel) {
  for (std::size_t n = 1; n < kLevelCount; ++n) {
    const Restrictions milder = restrictionsAt(kLevels.at(n - 1));
    const Restrictions stricter = restrictionsAt(kLevels.at(n));
    EXPECT_LE(stricter.allowsHedging, milder.allowsHedging);
    EXPECT_LE(stricter.healthCheckFraction, milder.healthCheckFraction);
    EXPECT_GE(stricter.admitsByPriority, milder.admitsByPriority);
    EXPECT_GE(stricter.rejectsBeforeBody, milder.rejectsBeforeBody);
    EXPECT_GE(stricter.minPriorityWeight, milder.minPriorityWeight);
  }
}

TEST(Restrictions, AllowHedgingWhenNormal) {
  EXPECT_TRUE(restrictionsAt(Level::Normal).allowsHedging);
}

}  // namespace
}  // namespace ivypost::degradation
