// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "relay/pipe.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace ivypost::relay {
namespace {

TEST(Budget, IsNeverExceededAndComesBack) {
  Budget budget(100);
  {
    Budget::Share a(budget), b(budget);
    EXPECT_TRUE(a.grow(60));
    EXPECT_FALSE(b.grow(41));
    EXPECT_TRUE(b.grow(40));
    EXPECT_FALSE(a.grow(1));
    a.release();
    EXPECT_EQ(budget.taken(), 40U);
    EXPECT_TRUE(b.grow(60));
    EXPECT_EQ(b.bytes(), 100U);
  }
  EXPECT_EQ(budget.taken(), 0U);
}

// What has begun can always finish: without budget a pipe still holds its least, and passes everything on.
TEST(Pipe, WithoutBudgetItIsSmallAndWorks) {
  Budget budget(Pipe::kWanted);
  Pipe large(budget);
  EXPECT_EQ(large.room(), Pipe::kWanted);
  Pipe small(budget);
  EXPECT_EQ(small.room(), Pipe::kLeast);
  EXPECT_EQ(budget.taken(), Pipe::kWanted);
  small.push(std::string(Pipe::kLeast, 'x'));
  EXPECT_EQ(small.room(), 0U);
  small.pop(1);
  EXPECT_EQ(small.room(), 1U);
}

TEST(Pipe, TellsEitherSideOfTheOther) {
  Budget budget(0);
  Pipe pipe(budget);
  int data = 0, room = 0;
  pipe.onData = [&] { ++data; };
  pipe.onRoom = [&] { ++room; };
  pipe.push("ab");
  EXPECT_EQ(data, 1);
  pipe.pop(1);
  EXPECT_EQ(room, 1);
  EXPECT_EQ(pipe.gone(), 1U);
  EXPECT_FALSE(pipe.done());
  pipe.end();
  EXPECT_EQ(data, 2);
  EXPECT_FALSE(pipe.done()) << "a byte is left";
  pipe.pop(1);
  EXPECT_TRUE(pipe.done());
  pipe.abandon();
  pipe.abandon();
  EXPECT_EQ(room, 3);
}

TEST(Pipe, AFailureAfterTheEndIsNone) {
  Budget budget(0);
  Pipe ended(budget), failed(budget);
  ended.end();
  ended.fail();
  EXPECT_FALSE(ended.failed());
  failed.push("a");
  failed.fail();
  failed.push("b");
  EXPECT_TRUE(failed.failed());
  EXPECT_EQ(failed.front(), "a");
  EXPECT_EQ(failed.room(), 0U);
}

TEST(Pipe, TakesNothingMoreWhenAbandoned) {
  Budget budget(0);
  Pipe pipe(budget);
  pipe.abandon();
  pipe.push("a");
  EXPECT_TRUE(pipe.front().empty());
  EXPECT_EQ(pipe.room(), 0U);
}

RC_GTEST_PROP(PipeBytes, ComeOutAsTheyWentIn, ()) {
  Budget budget(0);
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
    RC_ASSERT(pipe.gone() == out.size());
  }
  out += pipe.front();
  RC_ASSERT(in == out);
}

}  // namespace
}  // namespace ivypost::relay
