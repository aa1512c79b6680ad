// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Checks the names that the log, `GET /status/level` and the operator's file use.
#include <gtest/gtest.h>

#include <string_view>
#include <vector>

#include "degradation/level.h"
#include "degradation/signal.h"

namespace ivypost::degradation {
namespace {

TEST(Level, HasTheNamesOfTheInterfaces) {
  std::vector<std::string_view> names;
  for (const Level level : kLevels) names.push_back(nameOf(level));
  EXPECT_EQ(names, (std::vector<std::string_view>{"normal", "thrifty", "protect", "shed", "cutoff"}));
}

TEST(Level, HasInverseNextStricterAndNextMilder) {
  for (std::size_t n = 1; n < kLevelCount; ++n) {
    EXPECT_EQ(nextStricter(kLevels.at(n - 1)), kLevels.at(n));
    EXPECT_EQ(nextMilder(kLevels.at(n)), kLevels.at(n - 1));
  }
}

TEST(Level, ThrowsBeyondTheFirstAndTheLast) {
  EXPECT_THROW(static_cast<void>(nextStricter(Level::Cutoff)), std::out_of_range);
  EXPECT_THROW(static_cast<void>(nextMilder(Level::Normal)), std::out_of_range);
}

TEST(Signal, HasTheNamesOfTheInterfaces) {
  std::vector<std::string_view> names;
  for (const Signal signal : kSignals) names.push_back(nameOf(signal));
  EXPECT_EQ(names, (std::vector<std::string_view>{"cpu share", "loop lag", "open share", "descriptor share",
                                                  "bad share", "over share", "retry share", "list age"}));
}

TEST(Signal, IsATimeForEventLoopLagAndEndpointListAgeOnly) {
  for (const Signal signal : kSignals) {
    const bool isTime = signal == Signal::EventLoopLag || signal == Signal::EndpointListAge;
    EXPECT_EQ(unitOf(signal), isTime ? Unit::Microseconds : Unit::Fraction) << nameOf(signal);
  }
}

TEST(Enumerators, StandAtTheirIndex) {
  for (std::size_t n = 0; n < kLevelCount; ++n) EXPECT_EQ(indexOf(kLevels.at(n)), n);
  for (std::size_t n = 0; n < kSignalCount; ++n) EXPECT_EQ(indexOf(kSignals.at(n)), n);
}

}  // namespace
}  // namespace ivypost::degradation
