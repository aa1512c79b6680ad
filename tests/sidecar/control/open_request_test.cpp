// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/open_request.h"

#include <gtest/gtest.h>

#include <chrono>

namespace ivypost {
namespace {

using balancer::Outcome;
using std::chrono::milliseconds;

class WriteDeadlineTest : public testing::Test {
 protected:
  WriteDeadlineTest() {
    keyed_.semantics = balancer::Semantics::Keyed;
    keyed_.retryWindow = 500'000;
  }
  void addAttempt(milliseconds writtenAfter, bool mayHaveRun) {
    request_.attempts.push_back({0, start_ + writtenAfter, mayHaveRun});
  }

  const Clock::time_point start_{std::chrono::hours(1)};
  const Clock::time_point deadline_ = start_ + milliseconds(2000);
  balancer::RequestClass keyed_;
  OpenRequest request_;
};

TEST_F(WriteDeadlineTest, IsTheAttemptsDeadlineForAFirstAttempt) {
  EXPECT_EQ(writeDeadline(request_, keyed_, deadline_), deadline_);
}

TEST_F(WriteDeadlineTest, IsBeforeTheEndOfTheWindowOfTheFirstAttemptThatMayHaveRun) {
  addAttempt(milliseconds(100), true);
  addAttempt(milliseconds(300), true);
  EXPECT_EQ(writeDeadline(request_, keyed_, deadline_), start_ + milliseconds(590));
  EXPECT_EQ(writeDeadline(request_, keyed_, start_ + milliseconds(200)), start_ + milliseconds(200));
}

TEST_F(WriteDeadlineTest, IgnoresAttemptsThatNeverRan) {
  addAttempt(milliseconds(100), false);
  request_.attempts.push_back({});  // an attempt whose request has not been written
  EXPECT_EQ(writeDeadline(request_, keyed_, deadline_), deadline_);
}

TEST_F(WriteDeadlineTest, IsTheAttemptsDeadlineWithoutAKey) {
  addAttempt(milliseconds(100), true);
  keyed_.semantics = balancer::Semantics::Unsafe;
  EXPECT_EQ(writeDeadline(request_, keyed_, deadline_), deadline_);
}

TEST(ProvesNeverRan, OnlyIfNotCompletelySentOrTheUpstreamSaysSo) {
  EXPECT_TRUE(provesNeverRan(Outcome::Full));
  EXPECT_TRUE(provesNeverRan(Outcome::ConnectFailed));
  EXPECT_TRUE(provesNeverRan(Outcome::Moot));
  for (const Outcome outcome :
       {Outcome::Ok, Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled})
    EXPECT_FALSE(provesNeverRan(outcome));
}

}  // namespace
}  // namespace ivypost
