// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/pipe.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace ivypost::streaming {
namespace {

// A transfer that has begun can always be completed: without budget a pipe still has its minimum capacity.
TEST(PipeTest, WithoutBudgetItHasItsMinimumCapacity) {
  ByteBudget budget(Pipe::kPreferredCost);
  Pipe large(budget);
  EXPECT_EQ(large.freeCapacity(), Pipe::kPreferredCapacity);
  Pipe small(budget);
  EXPECT_EQ(small.freeCapacity(), Pipe::kMinCapacity);
  EXPECT_EQ(budget.inUse(), Pipe::kPreferredCost);
  EXPECT_GE(Pipe::kPreferredCost, Pipe::kPreferredCapacity);
  small.push(std::string(Pipe::kMinCapacity, 'x'));
  EXPECT_EQ(small.freeCapacity(), 0U);
  small.pop(1);
  EXPECT_EQ(small.freeCapacity(), 1U);
}

TEST(PipeTest, NotifiesEitherSideOfTheOther) {
  ByteBudget budget(0);
  Pipe pipe(budget);
  int data = 0, capacity = 0;
  pipe.onData = [&] { ++data; };
  pipe.onCapacity = [&] { ++capacity; };
  pipe.push("ab");
  EXPECT_EQ(data, 1);
  pipe.pop(1);
  EXPECT_EQ(capacity, 1);
  EXPECT_EQ(pipe.forwardedBytes(), 1U);
  EXPECT_FALSE(pipe.isComplete());
  pipe.end();
  EXPECT_EQ(data, 2);
  EXPECT_FALSE(pipe.isComplete()) << "one byte is not consumed yet";
  pipe.pop(1);
  EXPECT_TRUE(pipe.isComplete());
  pipe.abandon();
  pipe.abandon();
  EXPECT_EQ(capacity, 3);
}

TEST(PipeTest, IgnoresAFailureAfterTheEnd) {
  ByteBudget budget(0);
  Pipe ended(budget), failed(budget);
  ended.end();
  ended.fail();
  EXPECT_FALSE(ended.hasFailed());
  failed.push("a");
  failed.fail();
  failed.push("b");
  EXPECT_TRUE(failed.hasFailed());
  EXPECT_EQ(failed.front(), "a");
  EXPECT_EQ(failed.freeCapacity(), 0U);
}

// What a body has taken from the budget stays taken as long as its bytes are held.
TEST(PipeTest, KeepsTheBudgetOfABufferUntilItsBytesFit) {
  ByteBudget budget(100'000);
  ByteBudget::Share share(budget);
  ASSERT_TRUE(share.grow(50'000));
  Pipe pipe(budget);
  pipe.pushBuffer(std::string(50'000, 'a'), share);
  EXPECT_EQ(share.bytes(), 0U);
  EXPECT_EQ(budget.inUse(), 50'000U);
  EXPECT_EQ(pipe.freeCapacity(), 0U);
  pipe.pop(50'000 - Pipe::kMinCapacity - 1);
  EXPECT_EQ(budget.inUse(), 50'000U);
  pipe.pop(1);
  EXPECT_EQ(budget.inUse(), 0U);
  EXPECT_EQ(pipe.front().size(), Pipe::kMinCapacity);
  EXPECT_EQ(pipe.freeCapacity(), 0U);
  pipe.pop(Pipe::kMinCapacity);
  EXPECT_EQ(pipe.freeCapacity(), Pipe::kMinCapacity);
}

TEST(PipeTest, ExtendsItsCapacityFromTheBudget) {
  ByteBudget budget(10'000);
  Pipe pipe(budget);
  pipe.push(std::string(Pipe::kMinCapacity, 'a'));
  ASSERT_TRUE(pipe.extend(1000));
  EXPECT_GE(pipe.freeCapacity(), 1000U);
  EXPECT_GT(budget.inUse(), 0U);
  EXPECT_FALSE(pipe.extend(100'000));
  pipe.push(std::string(1000, 'b'));
  pipe.pop(1000);
  EXPECT_EQ(budget.inUse(), 0U);
  EXPECT_EQ(pipe.front(), std::string(Pipe::kMinCapacity - 1000, 'a') + std::string(1000, 'b'));
}

TEST(PipeTest, ExtendsNoFurtherThanItsLimit) {
  ByteBudget budget(100'000'000);
  Pipe pipe(budget);
  EXPECT_TRUE(pipe.extend(Pipe::kMaxExtendedCapacity));
  EXPECT_FALSE(pipe.extend(Pipe::kMaxExtendedCapacity + 1));
}

TEST(PipeTest, TakesNothingMoreWhenAbandoned) {
  ByteBudget budget(0);
  Pipe pipe(budget);
  pipe.abandon();
  pipe.push("a");
  EXPECT_TRUE(pipe.front().empty());
  EXPECT_EQ(pipe.freeCapacity(), 0U);
}

RC_GTEST_PROP(PipeTest, BytesComeOutAsTheyWentIn, ()) {
  ByteBudget budget(0);
  Pipe pipe(budget);
  std::string in, out;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-3000, 3000));
  for (const int step : steps) {
    if (step >= 0) {
      std::string piece;
      for (int n = 0; n < step; ++n) piece += static_cast<char>(in.size() + static_cast<std::size_t>(n) * 7);
      in += piece;
      pipe.push(piece);
    } else {
      const std::string piece(pipe.front().substr(0, static_cast<std::size_t>(-step)));
      out += piece;
      pipe.pop(piece.size());
    }
    RC_ASSERT(pipe.front().size() == in.size() - out.size());
    RC_ASSERT(pipe.forwardedBytes() == out.size());
  }
  out += pipe.front();
  RC_ASSERT(in == out);
}

}  // namespace
}  // namespace ivypost::streaming
