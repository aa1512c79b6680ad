// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/units.h"

#include <gtest/gtest.h>

#include <chrono>
#include <utility>
#include <vector>

namespace ivypost::configuration {
namespace {

using std::chrono::microseconds;
using namespace std::chrono_literals;

TEST(UnitsTest, ReadsDurationsWithAUnitInRange) {
  const std::vector<std::pair<const char*, std::int64_t>> good = {{"0s", 0},
                                                                  {"250ms", 250'000},
                                                                  {"1.5s", 1'500'000},
                                                                  {"7us", 7},
                                                                  {"2min", 120'000'000},
                                                                  {"1h", 3'600'000'000},
                                                                  {"0.0015ms", 1},
                                                                  {"366 h", 366LL * 3600 * 1'000'000}};
  for (const auto& [text, micros] : good) EXPECT_EQ(parseDuration(text), microseconds(micros)) << text;
  for (const char* text : {"", "ms", "250", "-1s", "-0s", "1e3s", "nans", "infs", "1 fortnight", "1s ", " 1s",
                           "0x1s", "1..5s", "9000h", "99999999999999999999s", "1S", "1s\n"})
    EXPECT_EQ(parseDuration(text), std::nullopt) << text;
}

TEST(UnitsTest, ReadsSizesWithAUnitInRange) {
  const std::vector<std::pair<const char*, std::uint64_t>> good = {
      {"0B", 0}, {"64KiB", 65536}, {"1.5MiB", 1'572'864}, {"1GiB", 1ULL << 30}};
  for (const auto& [text, bytes] : good) EXPECT_EQ(parseSize(text), bytes) << text;
  for (const char* text : {"", "64", "64KB", "64k", "-1B", "2000000GiB", "1ms"})
    EXPECT_EQ(parseSize(text), std::nullopt) << text;
}

TEST(UnitsTest, FormatsWhatItParses) {
  for (const microseconds duration :
       {0us, 1us, 999us, 1000us, 250'000us, 1'500'000us, 60'000'000us, kMaxDuration})
    EXPECT_EQ(parseDuration(formatDuration(duration)), duration) << formatDuration(duration);
  EXPECT_EQ(formatDuration(250'000us), "250ms");
  EXPECT_EQ(formatDuration(90'000'000us), "90s");
}

}  // namespace
}  // namespace ivypost::configuration
