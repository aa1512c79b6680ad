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

// Compares the restrictions of each level with the list in docs/operators/reduced-service.md.
TEST(Restrictions, AreTheDocumentedOnes) {
  struct Row {
    Level level;
    bool allowsHedging;
    double healthCheckFraction;
    bool admitsByPriority, rejectsBeforeBody;
    double minPriorityWeight;
  };
  for (const Row& row :
       {Row{Level::Normal, true, 1, false, false, 0}, Row{Level::Thrifty, false, 0.25, false, false, 0},
        Row{Level::Protect, false, 0.25, true, false, 0}, Row{Level::Shed, false, 0, true, true, 0},
        Row{Level::Cutoff, false, 0, true, true, 1}}) {
    SCOPED_TRACE(nameOf(row.level));
    const Restrictions restrictions = restrictionsAt(row.level);
    EXPECT_EQ(restrictions.allowsHedging, row.allowsHedging);
    EXPECT_EQ(restrictions.healthCheckFraction, row.healthCheckFraction);
    EXPECT_EQ(restrictions.admitsByPriority, row.admitsByPriority);
    EXPECT_EQ(restrictions.rejectsBeforeBody, row.rejectsBeforeBody);
    EXPECT_EQ(restrictions.minPriorityWeight, row.minPriorityWeight);
  }
}

}  // namespace
}  // namespace ivypost::degradation
