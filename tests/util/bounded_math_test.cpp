// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "util/bounded_math.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

namespace ivypost::util {
namespace {

TEST(BoundedMathTest, ClampsToTheRangeAndNanToTheLowerBound) {
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  EXPECT_EQ(within(nan, 2, 5), 2);
  EXPECT_EQ(within(-inf, 2, 5), 2);
  EXPECT_EQ(within(inf, 2, 5), 5);
  EXPECT_EQ(within(3, 2, 5), 3);
  std::int64_t span = std::numeric_limits<std::int64_t>::max();
  bound(span);
  EXPECT_EQ(span, kLongest);
  span = -1;
  bound(span);
  EXPECT_EQ(span, 0);
}

}  // namespace
}  // namespace ivypost::util
