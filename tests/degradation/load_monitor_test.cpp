// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/load_monitor.h"

#include <gtest/gtest.h>

#include <functional>

namespace ivypost::degradation {
namespace {

using Micros = std::int64_t;
TimePoint at(Micros time) {
  return TimePoint(Duration(time));
}

constexpr Micros kSecond = 1'000'000;

// Ticks from one time to another with these measurements; `each` runs ahead of every tick.
Level play(LoadMonitor& monitor, Micros from, Micros to,
           const std::function<void(Measurements&, Micros)>& each) {
  for (Micros now = from; now <= to; now += LevelController::kEvaluationInterval.count()) {
    Measurements measurements;
    each(measurements, now);
    static_cast<void>(monitor.tick(measurements, at(now)));
  }
  return monitor.controller().level();
}

// Each gauge and count by itself leads as far as its thresholds do, and no further.
TEST(LoadMonitor, TurnsEachGaugeIntoItsSignal) {
  struct Row {
    const char* name;
    Level level;
    std::function<void(LoadMonitor&, Measurements&, Micros)> each;
  };
  const auto events = [](int some, int all, void (LoadMonitor::*count)(bool, TimePoint)) {
    return [=](LoadMonitor& monitor, Measurements&, Micros now) {
      for (int n = 0; n < all; ++n) (monitor.*count)(n < some, at(now));
    };
  };
  const Row rows[] = {
      {"half of two cores", Level::Normal,
       [](LoadMonitor&, Measurements& g, Micros now) { g.cpuTime = Duration(now); }},
      {"all of two cores", Level::Shed,
       [](LoadMonitor&, Measurements& g, Micros now) { g.cpuTime = Duration(2 * now); }},
      {"late ticks", Level::Cutoff,
       [](LoadMonitor&, Measurements& g, Micros) { g.eventLoopLag = Duration(kSecond); }},
      {"open requests", Level::Protect,
       [](LoadMonitor&, Measurements& g, Micros) { g.openRequestFraction = 0.8; }},
      {"busy places", Level::Cutoff,
       [](LoadMonitor&, Measurements& g, Micros) { g.busyConnectionFraction = 1; }},
      {"schools", Level::Thrifty, [](LoadMonitor&, Measurements& g, Micros) { g.overQuotaFraction = 0.3; }},
      {"an old list", Level::Thrifty,
       [](LoadMonitor&, Measurements& g, Micros) { g.endpointListAge = Duration(24 * kSecond); }},
      {"a fifth of attempts bad", Level::Thrifty, events(2, 10, &LoadMonitor::onAttemptEnd)},
      {"half of them", Level::Protect, events(5, 10, &LoadMonitor::onAttemptEnd)},
      {"few of them say nothing", Level::Normal,
       [](LoadMonitor& m, Measurements&, Micros now) {
         if (now % (500'000) == 0) m.onAttemptEnd(true, at(now));
       }},
      {"retries", Level::Protect, events(4, 10, &LoadMonitor::onRequest)},
  };
  for (const Row& row : rows) {
    LoadMonitor monitor(defaultSettings(), 2, at(0));
    EXPECT_EQ(play(monitor, 0, 20 * kSecond, [&](Measurements& g, Micros now) { row.each(monitor, g, now); }),
              row.level)
        << row.name;
    // And calm leads back.
    EXPECT_EQ(play(monitor, 21 * kSecond, 60 * kSecond,
                   [](Measurements& g, Micros) { g.cpuTime = Duration(40 * kSecond); }),
              Level::Normal)
        << row.name;
  }
}

// A clock that jumps ahead or back between two ticks: the share of the core stays a share of the time passed.
TEST(LoadMonitor, AClockThatJumps) {
  LoadMonitor monitor(defaultSettings(), 1, at(0));
  Micros used = 0;
  play(monitor, 0, kSecond, [&](Measurements& g, Micros) { g.cpuTime = Duration(used += 10'000); });
  EXPECT_EQ(play(monitor, 10'000 * kSecond, 10'001 * kSecond,
                 [&](Measurements& g, Micros) { g.cpuTime = Duration(used += 10'000); }),
            Level::Normal);
  EXPECT_EQ(play(monitor, 0, kSecond, [&](Measurements& g, Micros) { g.cpuTime = Duration(used += 10'000); }),
            Level::Normal);
  EXPECT_LT(monitor.controller().smoothedValue(Signal::CpuUtilization), 0.3);
}

// Other settings, at each level: the level stays, and what it asks for from then on decides.
TEST(LoadMonitor, AdoptsOtherSettingsAtEachLevel) {
  const double busy[] = {0, 0.8, 0.9, 0.96, 1};
  for (std::size_t n = 0; n < kLevelCount; ++n) {
    LoadMonitor monitor(defaultSettings(), 1, at(0));
    const auto measurements = [&](Measurements& g, Micros) { g.busyConnectionFraction = busy[n]; };
    ASSERT_EQ(play(monitor, 0, 10 * kSecond, measurements), static_cast<Level>(n));
    Settings never = defaultSettings();
    never.thresholds = Thresholds{};
    monitor.apply(never, at(10 * kSecond));
    EXPECT_EQ(monitor.controller().level(), static_cast<Level>(n));
    EXPECT_EQ(play(monitor, 10 * kSecond, 40 * kSecond, measurements), Level::Normal);
    monitor.apply(defaultSettings(), at(40 * kSecond));
    EXPECT_EQ(play(monitor, 41 * kSecond, 50 * kSecond, measurements), static_cast<Level>(n));
  }
}

}  // namespace
}  // namespace ivypost::degradation
