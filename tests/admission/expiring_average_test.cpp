// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/expiring_average.h"

#include <gtest/gtest.h>

namespace ivypost::admission {
namespace {

constexpr Micros kMillisecond = 1000;

// Guards against permanent rejection: while a high average makes the sidecar reject all requests, no new
// measurement can correct the average, so it must expire.
TEST(ExpiringAverage, IsUnknownWhenNothingWasMeasuredLately) {
  ExpiringAverage average;
  EXPECT_EQ(average.value(0), 0);
  average.add(1000 * kMillisecond, 0);
  average.add(200 * kMillisecond, kMillisecond);
  EXPECT_EQ(average.value(kMillisecond), 950 * kMillisecond);
  EXPECT_EQ(average.value(kMillisecond + ExpiringAverage::kTimeToLive), 950 * kMillisecond);
  EXPECT_EQ(average.value(kMillisecond + ExpiringAverage::kTimeToLive + 1), 0);
  average.add(10 * kMillisecond, 1000 * kMillisecond);
  EXPECT_EQ(average.value(1000 * kMillisecond), 10 * kMillisecond);
}

}  // namespace
}  // namespace ivypost::admission
