// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/idle_connection_choice.h"

#include <gtest/gtest.h>

namespace ivypost {
namespace {

TEST(IdleConnectionChoice, ChoosesTheMostRecentlyUsedThatHasSettled) {
  using std::chrono::milliseconds;
  struct Row {
    std::vector<int> idleForMs;  // idle times of the connections, in descending order
    std::size_t chosen;
  };
  const std::vector<Row> table = {
      {{0}, 0},               // a connection that has just become idle is preferred to a new one
      {{400}, 0},             //
      {{400, 30}, 1},         // the most recently used
      {{400, 30, 24}, 1},     // but not one that the upstream may be closing
      {{400, 25, 24, 0}, 1},  // idle for exactly the settling time
      {{400, 24, 3, 0}, 0},   //
      {{24, 3, 0}, 2},        // the most recently used, since none has been idle for the settling time
  };
  const Clock::time_point now{std::chrono::hours(1)};
  for (const Row& row : table) {
    const auto since = [&](int ms) { return now - milliseconds(ms); };
    EXPECT_EQ(chooseIdleConnection(row.idleForMs, now, since), row.chosen)
        << testing::PrintToString(row.idleForMs);
  }
}

}  // namespace
}  // namespace ivypost
