// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/response_times.h"

#include <gtest/gtest.h>

#include <chrono>

namespace ivypost {
namespace {

using std::chrono::milliseconds;

TEST(ResponseTimes, TakesNoAnswerForEarlyBeforeTheFirstOne) {
  const ResponseTimes times;
  EXPECT_FALSE(times.isEarly(milliseconds(0)));
}

TEST(ResponseTimes, TakesAnAnswerForEarlyThatIsMuchFasterThanAllBefore) {
  ResponseTimes times;
  for (const int time : {90, 75, 300}) times.record(milliseconds(time));
  EXPECT_TRUE(times.isEarly(milliseconds(59)));
  EXPECT_FALSE(times.isEarly(milliseconds(60)));
  EXPECT_EQ(times.holdTime(), milliseconds(600));
}

// An upstream that answers before the end of a request says nothing about its response time.
TEST(ResponseTimes, IgnoresAnswersAheadOfTheRequestsEnd) {
  ResponseTimes times;
  times.record(milliseconds(50));
  times.record(milliseconds(-20));
  times.record(milliseconds(0));
  EXPECT_TRUE(times.isEarly(milliseconds(39)));
}

TEST(ResponseTimes, CountsRepetitionsAsCopiesOnlyWhereAllAnswersDiffered) {
  ResponseTimes times;
  for (std::uint32_t n = 1; n < ResponseTimes::kMinDistinctAnswers; ++n) times.recordRepetition(false);
  EXPECT_FALSE(times.areAnswersDistinct());
  times.recordRepetition(false);
  EXPECT_TRUE(times.areAnswersDistinct());
  times.recordRepetition(true);
  for (int n = 0; n < 100; ++n) times.recordRepetition(false);
  EXPECT_FALSE(times.areAnswersDistinct());
}

}  // namespace
}  // namespace ivypost
