// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The decision module's timer: the time that was set last counts, whatever was set before.
#include "control/decision_timer.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace ivypost {
namespace {

using std::chrono::milliseconds;

class DecisionTimerTest : public testing::Test {
 protected:
  void runFor(milliseconds span) {
    io.restart();
    io.run_for(span);
  }

  const Clock::time_point start = Clock::now();
  boost::asio::io_context io{1};
  std::vector<Clock::time_point> calls;
  DecisionTimer timer{io, [this] { calls.push_back(Clock::now()); }};
};

TEST_F(DecisionTimerTest, CallsBackOnceWhenTheTimeHasCome) {
  timer.set(start + milliseconds(20));
  runFor(milliseconds(60));
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_GE(calls[0], start + milliseconds(20));
}

TEST_F(DecisionTimerTest, AnEarlierTimeReplacesTheOneBefore) {
  timer.set(start + milliseconds(10'000));
  timer.set(start + milliseconds(20));
  runFor(milliseconds(60));
  EXPECT_EQ(calls.size(), 1u);
}

// Guards against a timer that is lost: a later time was ignored while the event loop had yet to run the
// earlier one, and the module was called too early and then never again.
TEST_F(DecisionTimerTest, ALaterTimeReplacesOneThatHasExpiredUnseen) {
  timer.set(start + milliseconds(1));
  std::this_thread::sleep_until(start + milliseconds(5));
  timer.set(start + milliseconds(50));
  runFor(milliseconds(100));
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_GE(calls[0], start + milliseconds(50));
}

TEST_F(DecisionTimerTest, ACallbackMaySetItAnew) {
  DecisionTimer again(io, [&] {
    calls.push_back(Clock::now());
    if (calls.size() < 3) again.set(Clock::now() + milliseconds(5));
  });
  again.set(start + milliseconds(1));
  runFor(milliseconds(60));
  EXPECT_EQ(calls.size(), 3u);
}

TEST_F(DecisionTimerTest, CalledBackAheadOfTheEventLoopItDoesNotCallTwice) {
  timer.set(start + milliseconds(5));
  timer.runIfDue();
  EXPECT_TRUE(calls.empty());
  std::this_thread::sleep_until(start + milliseconds(10));
  timer.runIfDue();
  EXPECT_EQ(calls.size(), 1u);
  runFor(milliseconds(30));
  EXPECT_EQ(calls.size(), 1u);
}

}  // namespace
}  // namespace ivypost
