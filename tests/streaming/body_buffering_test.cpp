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
constexpr std::size_t kFreeBytes = BodyBuffering::kFreeBytes;
constexpr std::size_t kThreshold = BodyBuffering::kStreamingThreshold;
constexpr std::size_t kMaxBuffered = BodyBuffering::kMaxBuffered;

TEST(BodyBufferingTest, BuffersASmallBodyWithoutBudget) {
  const ByteBudget budget(0);
  BodyBuffering buffering(budget);
  EXPECT_EQ(buffering.capacityFor(0, std::nullopt), kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes - 1, std::nullopt), kFreeBytes);
  EXPECT_EQ(budget.inUse(), 0U);
}

TEST(BodyBufferingTest, BuffersTheFreeBytesOfALongBody) {
  const ByteBudget budget(0);
  BodyBuffering buffering(budget);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes - 1, kMaxBuffered + 1), kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes, kMaxBuffered + 1), std::nullopt);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes, std::nullopt), std::nullopt);
  EXPECT_EQ(budget.inUse(), 0U);
}

TEST(BodyBufferingTest, StreamsABodyThatIsTooLargeOnceItIsOverTheThreshold) {
  EXPECT_FALSE(BodyBuffering::mustStream(kThreshold - 1, kMaxBuffered + 1));
  EXPECT_TRUE(BodyBuffering::mustStream(kThreshold, kMaxBuffered + 1));
  EXPECT_FALSE(BodyBuffering::mustStream(kMaxBuffered - 1, kMaxBuffered));
  EXPECT_FALSE(BodyBuffering::mustStream(kMaxBuffered - 1, std::nullopt));
  EXPECT_TRUE(BodyBuffering::mustStream(kMaxBuffered, std::nullopt));
}

// A body that has budget must not wait for more of it, since others may hold that and wait as well.
TEST(BodyBufferingTest, TakesAStatedLengthAtOnce) {
  const ByteBudget budget(kMaxBuffered);
  BodyBuffering buffering(budget);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes, 30'000), 30'000U);
  EXPECT_EQ(budget.inUse(), 30'000U);
  EXPECT_EQ(buffering.capacityFor(29'999, 30'000), 30'000U);
  EXPECT_EQ(budget.inUse(), 30'000U);
}

// Guards against clients that state a length and send little of it.
TEST(BodyBufferingTest, TakesAMultipleOfWhatWasReceivedAtTheMost) {
  const ByteBudget budget(kMaxBuffered);
  BodyBuffering buffering(budget);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes, kMaxBuffered), BodyBuffering::kMaxUnusedFactor * kFreeBytes);
  EXPECT_EQ(budget.inUse(), BodyBuffering::kMaxUnusedFactor * kFreeBytes);
}

TEST(BodyBufferingTest, GrowsWithAChunkedBodyUpToTheLimit) {
  const ByteBudget budget(2 * kMaxBuffered);
  BodyBuffering buffering(budget);
  EXPECT_EQ(buffering.capacityFor(kFreeBytes, std::nullopt), 2 * kFreeBytes);
  EXPECT_EQ(budget.inUse(), 2 * kFreeBytes);
  EXPECT_EQ(buffering.capacityFor(kMaxBuffered - 1, std::nullopt), kMaxBuffered);
  EXPECT_EQ(budget.inUse(), kMaxBuffered);
}

TEST(BodyBufferingTest, HasNoCapacityWhereTheBudgetIsUsedUp) {
  const ByteBudget budget(10'000);
  BodyBuffering first(budget);
  BodyBuffering second(budget);
  EXPECT_EQ(first.capacityFor(kFreeBytes, 8'000), 8'000U);
  EXPECT_EQ(second.capacityFor(kFreeBytes, 8'000), std::nullopt);
  EXPECT_EQ(budget.inUse(), 8'000U);
  first.keep(3'000);
  EXPECT_EQ(budget.inUse(), 3'000U);
  first.release();
  EXPECT_EQ(budget.inUse(), 0U);
  EXPECT_EQ(second.capacityFor(kFreeBytes, 8'000), 8'000U);
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
