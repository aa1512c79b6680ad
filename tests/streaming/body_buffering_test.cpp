// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/body_buffering.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>

namespace ivypost::streaming {
namespace {

using namespace std::chrono_literals;

constexpr StallTimer::TimePoint kBegin{};
constexpr std::size_t kFreeBytes = 1000;
constexpr std::size_t kStep = BodyBuffering::kBudgetStep;
constexpr std::size_t kMaxBuffered = BodyBuffering::kMaxBuffered;

TEST(BodyBufferingTest, BuffersASmallBodyWithoutBudget) {
  const ByteBudget budget(0);
  BodyBuffering buffering(budget, kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes, std::nullopt), kFreeBytes);
  EXPECT_EQ(budget.inUse(), 0U);
}

// Even a body whose stated length exceeds the buffering limit is buffered up to the free bytes; whether it is
// streamed is decided only when these are exceeded.
TEST(BodyBufferingTest, BuffersTheFreeBytesOfALongBody) {
  const ByteBudget budget(0);
  BodyBuffering buffering(budget, kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes, kMaxBuffered + 1), kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes + 1, kMaxBuffered + 1), std::nullopt);
}

TEST(BodyBufferingTest, TakesAStatedLengthAtOnceInSteps) {
  const ByteBudget budget(kMaxBuffered);
  BodyBuffering buffering(budget, kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes + 1, kStep + 1), kStep + 1);
  EXPECT_EQ(budget.inUse(), 2 * kStep);
  EXPECT_EQ(buffering.capacityFor(kStep, kStep + 1), kStep + 1);
  EXPECT_EQ(budget.inUse(), 2 * kStep);
}

TEST(BodyBufferingTest, GrowsWithAChunkedBodyUpToTheLimit) {
  const ByteBudget budget(2 * kMaxBuffered);
  BodyBuffering buffering(budget, kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kStep, std::nullopt), kStep);
  EXPECT_EQ(budget.inUse(), kStep);
  EXPECT_EQ(buffering.capacityFor(kMaxBuffered, std::nullopt), kMaxBuffered);
  EXPECT_EQ(budget.inUse(), kMaxBuffered);
  EXPECT_EQ(buffering.capacityFor(kMaxBuffered + 1, std::nullopt), std::nullopt);
}

TEST(BodyBufferingTest, StreamsWhereTheBudgetIsSpent) {
  const ByteBudget budget(kStep);
  BodyBuffering first(budget, kFreeBytes);
  BodyBuffering second(budget, kFreeBytes);
  EXPECT_EQ(first.capacityFor(kFreeBytes + 1, std::nullopt), kFreeBytes + 1);
  EXPECT_EQ(second.capacityFor(kFreeBytes + 1, std::nullopt), std::nullopt);
  first.release();
  EXPECT_EQ(budget.inUse(), 0U);
  EXPECT_EQ(second.capacityFor(kFreeBytes + 1, std::nullopt), kFreeBytes + 1);
}

TEST(BodyBufferingTest, AllowsTwiceTheExpectedTimeAndAConstantMore) {
  StallTimer rate(kBegin);
  rate.received(100'000, kBegin + 1s);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, 200'000), 2 * 2s + 3s);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, 0), 3s);
}

TEST(BodyBufferingTest, ExpectsTheMostThatIsBufferedOfABodyOfUnknownLength) {
  StallTimer rate(kBegin);
  rate.received(1'048'576, kBegin + 1s);
  EXPECT_EQ(BodyBuffering::uploadTime(rate, std::nullopt), 2 * 2s + 3s);
}

}  // namespace
}  // namespace ivypost::streaming
