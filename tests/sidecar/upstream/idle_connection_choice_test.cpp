// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/idle_connection_choice.h"

#include <gtest/gtest.h>

namespace ivypost {
namespace {

using std::chrono::milliseconds;

TEST(IdleConnectionChoice, ChoosesTheMostRecentlyUsedThatHasSettled) {
  struct Row {
    std::vector<int> idleForMs;  // idle times of the connections, in descending order
    std::optional<std::size_t> chosen;
  };
  const std::vector<Row> table = {
      {{}, std::nullopt},          //
      {{0}, std::nullopt},         // never one that has just become idle
      {{400}, 0},                  //
      {{400, 30}, 1},              // the most recently used
      {{400, 30, 24}, 1},          // but not one that the upstream may be closing
      {{400, 25, 24, 0}, 1},       // idle for exactly the preferred time
      {{400, 24, 3, 0}, 0},        //
      {{24, 15, 3, 0}, 0},         // the longest idle, since none has been idle for the preferred time
      {{15, 14}, 0},               // idle for exactly the settling time
      {{14, 3, 0}, std::nullopt},  // none has been idle for the settling time
  };
  const Clock::time_point now{std::chrono::hours(1)};
  for (const Row& row : table) {
    const auto since = [&](int ms) { return now - milliseconds(ms); };
    EXPECT_EQ(chooseSettledConnection(row.idleForMs, now, since), row.chosen)
        << testing::PrintToString(row.idleForMs);
  }
}

TEST(IdleConnectionChoice, WaitsForATenthOfTheRemainingTimeAtMost) {
  struct Row {
    int idleForMs;
    int remainingMs;
    bool waits;
  };
  const std::vector<Row> table = {
      {0, 1000, true},  //
      {0, 150, true},   // exactly a tenth
      {0, 149, false},  //
      {5, 100, true},   // only the rest of the settling time counts
      {5, 99, false},   //
      {0, 0, false},    // too late in any case
      {0, -10, false},  //
  };
  const Clock::time_point now{std::chrono::hours(1)};
  for (const Row& row : table) {
    const auto idleSince = now - milliseconds(row.idleForMs);
    const auto writeBy = now + milliseconds(row.remainingMs);
    EXPECT_EQ(shouldAwaitSettling(idleSince, now, writeBy), row.waits)
        << row.idleForMs << " " << row.remainingMs;
  }
}

}  // namespace
}  // namespace ivypost
