// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "deadlines.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace ivypost {
namespace {

using std::chrono::milliseconds;
using Deadline = Deadlines::Deadline;

struct DeadlinesTest : testing::Test {
  void run() {
    io.restart();
    io.run_for(std::chrono::seconds(10));  // returns as soon as no work is left
  }
  boost::asio::io_context io;
  std::shared_ptr<Deadlines> all = std::make_shared<Deadlines>(io);
  const Clock::time_point from = Clock::now();
  std::vector<int> expired;
};

TEST_F(DeadlinesTest, ExpireOnceInOrder) {
  Deadline a(all), b(all), c(all), dropped(all);
  a.set(from + milliseconds(30), [&] { expired.push_back(1); });
  b.set(from + milliseconds(10), [&] { expired.push_back(2); });
  c.set(from - milliseconds(10), [&] { expired.push_back(3); });
  dropped.set(from + milliseconds(5), [&] { expired.push_back(4); });
  dropped.cancel();
  dropped.cancel();
  run();
  EXPECT_EQ(expired, (std::vector<int>{3, 2, 1}));
  EXPECT_GE(Clock::now() - from, milliseconds(30));
}

TEST_F(DeadlinesTest, SettingAgainReplacesTheTimeAndTheCallback) {
  Deadline one(all);
  one.set(from + milliseconds(1), [&] { expired.push_back(1); });
  one.set(from + milliseconds(20), [&] { expired.push_back(2); });
  one.set(from + milliseconds(10), [&] { expired.push_back(3); });
  run();
  EXPECT_EQ(expired, std::vector<int>{3});
}

// A callback may set its own deadline again, cancel another deadline that is due, and destroy its own
// deadline.
TEST_F(DeadlinesTest, ACallbackMaySetCancelAndDestroyDeadlines) {
  Deadline again(all), other(all);
  auto self = std::make_unique<Deadline>(all);
  again.set(from, [&] {
    expired.push_back(1);
    other.cancel();
    again.set(Clock::now(), [&] { expired.push_back(2); });
  });
  other.set(from + milliseconds(0), [&] { expired.push_back(9); });
  self->set(from, [&] {
    expired.push_back(3);
    self.reset();
  });
  run();
  EXPECT_EQ(expired, (std::vector<int>{1, 3, 2}));
}

TEST_F(DeadlinesTest, MakesNoCallbackAfterStopOrDestruction) {
  Deadline left(all);
  {
    Deadline gone(all);
    gone.set(from + milliseconds(1), [&] { expired.push_back(1); });
  }
  left.set(from + milliseconds(1), [&] { expired.push_back(2); });
  all->stop();
  run();
  EXPECT_TRUE(expired.empty());
}

}  // namespace
}  // namespace ivypost
