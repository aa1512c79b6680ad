// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/body_buffering.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>

namespace ivypost::streaming {
namespace {

constexpr std::size_t kFree = 1000;
constexpr std::size_t kStep = BodyBuffering::kBudgetStep;
constexpr std::size_t kMost = BodyBuffering::kMaxBuffered;

TEST(BodyBuffering, BuffersASmallBodyWithoutBudget) {
  const ByteBudget budget(0);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kFree, std::nullopt), kFree);
  EXPECT_EQ(budget.inUse(), 0U);
}

// Also one with a long way to go: whether it is streamed is decided when the free bytes are exceeded.
TEST(BodyBuffering, BuffersTheFreeBytesOfALongBody) {
  const ByteBudget budget(0);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kFree, kMost + 1), kFree);
  EXPECT_EQ(buffering.capacityFor(kFree + 1, kMost + 1), std::nullopt);
}

TEST(BodyBuffering, TakesAStatedLengthAtOnceInSteps) {
  const ByteBudget budget(kMost);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kFree + 1, kStep + 1), kStep + 1);
  EXPECT_EQ(budget.inUse(), 2 * kStep);
  EXPECT_EQ(buffering.capacityFor(kStep, kStep + 1), kStep + 1);
  EXPECT_EQ(budget.inUse(), 2 * kStep);
}

TEST(BodyBuffering, GrowsWithAChunkedBodyUpToTheLimit) {
  const ByteBudget budget(2 * kMost);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kStep, std::nullopt), kStep);
  EXPECT_EQ(budget.inUse(), kStep);
  EXPECT_EQ(buffering.capacityFor(kMost, std::nullopt), kMost);
  EXPECT_EQ(budget.inUse(), kMost);
  EXPECT_EQ(buffering.capacityFor(kMost + 1, std::nullopt), std::nullopt);
}

TEST(BodyBuffering, StreamsWhereTheBudgetIsSpent) {
  const ByteBudget budget(kStep);
  BodyBuffering first(budget, kFree);
  BodyBuffering second(budget, kFree);
  EXPECT_EQ(first.capacityFor(kFree + 1, std::nullopt), kFree + 1);
  EXPECT_EQ(second.capacityFor(kFree + 1, std::nullopt), std::nullopt);
  first.release();
  EXPECT_EQ(budget.inUse(), 0U);
  EXPECT_EQ(second.capacityFor(kFree + 1, std::nullopt), kFree + 1);
}

TEST(BodyBuffering, AllowsTwiceTheExpectedTimeAndAConstantMore) {
  StallTimer rate(0);
  rate.received(100'000, 1'000'000);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, 200'000), 2 * 2'000'000 + 3'000'000);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, 0), 3'000'000);
}

TEST(BodyBuffering, ExpectsTheMostThatIsBufferedOfABodyOfUnknownLength) {
  StallTimer rate(0);
  rate.received(1'048'576, 1'000'000);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, std::nullopt), 2 * 2'000'000 + 3'000'000);
}

}  // namespace
}  // namespace ivypost::streaming
