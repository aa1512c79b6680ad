// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/load_shedding_log.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ivypost {
namespace {

TEST(LoadSheddingLog, HasOneLineForTheBeginAndOneForTheEnd) {
  LoadSheddingLog sheddingLog;
  std::vector<std::string> lines;
  const auto take = [&](const char* line) {
    if (line != nullptr) lines.emplace_back(line);
  };
  std::int64_t now = 0;
  for (; now < 10 * LoadSheddingLog::kQuietTime; now += LoadSheddingLog::kQuietTime / 2) {
    take(sheddingLog.onEventHandled(now));
    take(sheddingLog.onRejected(now));
  }
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0].rfind("shedding load", 0), 0u);
  for (const auto end = now + 3 * LoadSheddingLog::kQuietTime; now < end; now += 1000)
    take(sheddingLog.onEventHandled(now));
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_EQ(lines[1], "shedding is over");
  take(sheddingLog.onRejected(now));
  EXPECT_EQ(lines.size(), 3u);
}

}  // namespace
}  // namespace ivypost
