// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "relay/body_buffering.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>

namespace ivypost::relay {
namespace {

constexpr std::size_t kFree = 1000;
constexpr std::size_t kStep = BodyBuffering::kBudgetStep;
constexpr std::size_t kMost = BodyBuffering::kMaxBuffered;

TEST(BodyBuffering, BuffersASmallBodyWithoutBudget) {
  const Budget budget(0);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kFree, std::nullopt), kFree);
  EXPECT_EQ(budget.taken(), 0U);
}

// Also one with a long way to go: whether it is streamed is decided when the free bytes are exceeded.
TEST(BodyBuffering, BuffersTheFreeBytesOfALongBody) {
  const Budget budget(0);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kFree, kMost + 1), kFree);
  EXPECT_EQ(buffering.capacityFor(kFree + 1, kMost + 1), std::nullopt);
}

TEST(BodyBuffering, TakesAStatedLengthAtOnceInSteps) {
  const Budget budget(kMost);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kFree + 1, kStep + 1), kStep + 1);
  EXPECT_EQ(budget.taken(), 2 * kStep);
  EXPECT_EQ(buffering.capacityFor(kStep, kStep + 1), kStep + 1);
  EXPECT_EQ(budget.taken(), 2 * kStep);
}

TEST(BodyBuffering, GrowsWithAChunkedBodyUpToTheLimit) {
  const Budget budget(2 * kMost);
  BodyBuffering buffering(budget, kFree);
  EXPECT_EQ(buffering.capacityFor(kStep, std::nullopt), kStep);
  EXPECT_EQ(budget.taken(), kStep);
  EXPECT_EQ(buffering.capacityFor(kMost, std::nullopt), kMost);
  EXPECT_EQ(budget.taken(), kMost);
  EXPECT_EQ(buffering.capacityFor(kMost + 1, std::nullopt), std::nullopt);
}

TEST(BodyBuffering, StreamsWhereTheBudgetIsSpent) {
  const Budget budget(kStep);
  BodyBuffering first(budget, kFree);
  BodyBuffering second(budget, kFree);
  EXPECT_EQ(first.capacityFor(kFree + 1, std::nullopt), kFree + 1);
  EXPECT_EQ(second.capacityFor(kFree + 1, std::nullopt), std::nullopt);
  first.release();
  EXPECT_EQ(budget.taken(), 0U);
  EXPECT_EQ(second.capacityFor(kFree + 1, std::nullopt), kFree + 1);
}

TEST(BodyBuffering, AllowsTwiceTheExpectedTimeAndAConstantMore) {
  Pace rate(0);
  rate.came(100'000, 1'000'000);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, 200'000), 2 * 2'000'000 + 3'000'000);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, 0), 3'000'000);
}

TEST(BodyBuffering, ExpectsTheMostThatIsBufferedOfABodyOfUnknownLength) {
  Pace rate(0);
  rate.came(1'048'576, 1'000'000);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, std::nullopt), 2 * 2'000'000 + 3'000'000);
}

}  // namespace
}  // namespace ivypost::relay
