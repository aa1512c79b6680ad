// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/byte_budget.h"

#include <gtest/gtest.h>

namespace ivypost::streaming {
namespace {

TEST(ByteBudgetTest, IsNeverExceededAndCanBeReused) {
  ByteBudget budget(100);
  {
    ByteBudget::Share a(budget), b(budget);
    EXPECT_TRUE(a.grow(60));
    EXPECT_FALSE(b.grow(41));
    EXPECT_TRUE(b.grow(40));
    EXPECT_FALSE(a.grow(1));
    a.release();
    EXPECT_EQ(budget.inUse(), 40U);
    EXPECT_TRUE(b.grow(60));
    EXPECT_EQ(b.bytes(), 100U);
  }
  EXPECT_EQ(budget.inUse(), 0U);
}

}  // namespace
}  // namespace ivypost::streaming
