// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/load_monitor.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <functional>
#include <ostream>
#include <string>

#include "simulated_time.h"

namespace ivypost::degradation {
namespace {

using namespace std::chrono_literals;

// Sets the measurements of a tick and reports to the monitor the events that precede the tick.
using Load = std::function<void(LoadMonitor&, Measurements&, TimePoint)>;

// Ticks from `from` to `to` inclusive on a simulated clock; returns the level.
Level run(LoadMonitor& monitor, Duration from, Duration to, const Load& load) {
  forEachEvaluation(from, to + 1us, [&](TimePoint now) {
    Measurements measurements;
    load(monitor, measurements, now);
    static_cast<void>(monitor.tick(measurements, now));
  });
  return monitor.controller().level();
}

struct LoadCase {
  std::string name;
  Level level;
  Load load;
};

void PrintTo(const LoadCase& loadCase, std::ostream* out) {
  *out << loadCase.name;
}

Load measured(double Measurements::*field, double value) {
  return [=](LoadMonitor&, Measurements& measurements, TimePoint) { measurements.*field = value; };
}

Load measured(Duration Measurements::*field, Duration value) {
  return [=](LoadMonitor&, Measurements& measurements, TimePoint) { measurements.*field = value; };
}

Load busyCores(int cores) {
  return [=](LoadMonitor&, Measurements& measurements, TimePoint now) {
    measurements.cpuTime = cores * now.time_since_epoch();
  };
}

Load ofTenEvents(int matching, void (LoadMonitor::*count)(bool, TimePoint)) {
  return [=](LoadMonitor& monitor, Measurements&, TimePoint now) {
    for (int n = 0; n < 10; ++n) (monitor.*count)(n < matching, now);
  };
}

void oneFailureInHalfASecond(LoadMonitor& monitor, Measurements&, TimePoint now) {
  if (now.time_since_epoch() % 500ms == 0us) monitor.onAttemptEnd(true, now);
}

class LoadMonitorLevel : public testing::TestWithParam<LoadCase> {};

// The level rises to the strictest level whose threshold the measurement reaches, and no further.
TEST_P(LoadMonitorLevel, IsWhatTheMeasurementLeadsToAndNormalAgainAfterwards) {
  LoadMonitor monitor(defaultSettings(), 2, at(0s));
  EXPECT_EQ(run(monitor, 0s, 20s, GetParam().load), GetParam().level);
  EXPECT_EQ(run(monitor, 21s, 60s, measured(&Measurements::cpuTime, 40s)), Level::Normal);
}

INSTANTIATE_TEST_SUITE_P(
    EachMeasurement, LoadMonitorLevel,
    testing::Values(
        LoadCase{"HalfOfTwoCores", Level::Normal, busyCores(1)},
        LoadCase{"AllOfTwoCores", Level::Shed, busyCores(2)},
        LoadCase{"LateTicks", Level::Cutoff, measured(&Measurements::eventLoopLag, 1s)},
        LoadCase{"OpenRequests", Level::Protect, measured(&Measurements::openRequestFraction, 0.8)},
        LoadCase{"BusyConnections", Level::Cutoff, measured(&Measurements::busyConnectionFraction, 1)},
        LoadCase{"TenantsOverTheirQuota", Level::Thrifty, measured(&Measurements::overQuotaFraction, 0.3)},
        LoadCase{"AnOldEndpointList", Level::Thrifty, measured(&Measurements::endpointListAge, 24s)},
        LoadCase{"AFifthOfAttemptsFailed", Level::Thrifty, ofTenEvents(2, &LoadMonitor::onAttemptEnd)},
        LoadCase{"HalfOfAttemptsFailed", Level::Protect, ofTenEvents(5, &LoadMonitor::onAttemptEnd)},
        LoadCase{"TooFewAttempts", Level::Normal, oneFailureInHalfASecond},
        LoadCase{"Retries", Level::Protect, ofTenEvents(4, &LoadMonitor::onRequest)}),
    [](const testing::TestParamInfo<LoadCase>& instance) { return instance.param.name; });

TEST(LoadMonitor, HasNoPeakOfCpuUtilizationWhenTheClockJumps) {
  LoadMonitor monitor(defaultSettings(), 1, at(0s));
  Duration used{};
  const auto aFifthOfACore = [&](LoadMonitor&, Measurements& measurements, TimePoint) {
    measurements.cpuTime = used += 10ms;
  };
  run(monitor, 0s, 1s, aFifthOfACore);
  EXPECT_EQ(run(monitor, 10'000s, 10'001s, aFifthOfACore), Level::Normal);
  EXPECT_EQ(run(monitor, 0s, 1s, aFifthOfACore), Level::Normal);
  EXPECT_LT(monitor.controller().smoothedValue(Signal::CpuUtilization), 0.3);
}

// New settings keep the level at first; the following evaluations use them.
TEST(LoadMonitor, AppliesOtherSettingsAtEachLevel) {
  constexpr std::array kBusyFractions = {0.0, 0.8, 0.9, 0.96, 1.0};
  for (const Level level : kLevels) {
    LoadMonitor monitor(defaultSettings(), 1, at(0s));
    const Load load = measured(&Measurements::busyConnectionFraction, kBusyFractions.at(indexOf(level)));
    ASSERT_EQ(run(monitor, 0s, 10s, load), level);
    Settings never = defaultSettings();
    never.thresholds = Thresholds{};
    monitor.apply(never, at(10s));
    EXPECT_EQ(monitor.controller().level(), level);
    EXPECT_EQ(run(monitor, 10s, 40s, load), Level::Normal);
    monitor.apply(defaultSettings(), at(40s));
    EXPECT_EQ(run(monitor, 41s, 50s, load), level);
  }
}

}  // namespace
}  // namespace ivypost::degradation
