// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/settings.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <string>

namespace ivypost::degradation {
namespace {

using namespace std::chrono_literals;

class SettingsTest : public testing::Test {
 protected:
  [[nodiscard]] std::string error() const {
    const auto found = validate(settings);
    return found ? describe(*found) : "";
  }
  [[nodiscard]] Threshold& thriftyCpu() {
    return settings.thresholds.at(Level::Thrifty, Signal::CpuUtilization).value();
  }

  Settings settings = defaultSettings();
};

constexpr auto kInvalidThreshold =
    "thrifty, cpu share: the exit has to lie under the entry, and neither under 0";
constexpr auto kInvalidInterval = "times have to be over 0, and the longest calm no shorter than the first";

TEST_F(SettingsTest, AreValidByDefault) {
  EXPECT_EQ(error(), "");
}

// Only Thrifty, the first level above Normal, has a threshold for the endpoint list's age: the age grows
// steadily while discovery fails, and does not show whether the sidecar is overloaded.
TEST_F(SettingsTest, HaveAThresholdForEndpointListAgeAtThriftyOnly) {
  const auto& thrifty = settings.thresholds.at(Level::Thrifty, Signal::EndpointListAge);
  ASSERT_TRUE(thrifty);
  EXPECT_EQ(thrifty->enter, 6e6);
  EXPECT_EQ(thrifty->exit, 3e6);
  EXPECT_FALSE(settings.thresholds.at(Level::Protect, Signal::EndpointListAge));
}

TEST_F(SettingsTest, AreInvalidWhenAnExitIsNotUnderTheEntry) {
  thriftyCpu().exit = thriftyCpu().enter;
  EXPECT_EQ(error(), kInvalidThreshold);
}

TEST_F(SettingsTest, AreInvalidWhenAThresholdIsNegativeOrNotFinite) {
  for (const Threshold& bad : {Threshold{0.5, -0.1}, Threshold{std::nan(""), 0.1},
                               Threshold{0.5, std::nan("")}, Threshold{HUGE_VAL, 0.1}}) {
    thriftyCpu() = bad;
    EXPECT_EQ(error(), kInvalidThreshold) << bad.enter << ", " << bad.exit;
  }
}

TEST_F(SettingsTest, AreInvalidWhenAThresholdLiesUnderTheNextMilderLevels) {
  settings.thresholds.at(Level::Protect, Signal::CpuUtilization) = Threshold{0.5, 0.4};
  EXPECT_EQ(error(), "protect, cpu share: lies under the threshold of the level below");
}

TEST_F(SettingsTest, AreInvalidWhenAnExitAloneLiesUnderTheNextMilderLevels) {
  Threshold& protect = settings.thresholds.at(Level::Protect, Signal::CpuUtilization).value();
  protect.exit = thriftyCpu().exit - 0.01;
  EXPECT_EQ(error(), "protect, cpu share: lies under the threshold of the level below");
}

TEST_F(SettingsTest, AreValidWhenALevelHasTheThresholdOfTheNextMilderOne) {
  settings.thresholds.at(Level::Protect, Signal::CpuUtilization) = thriftyCpu();
  EXPECT_EQ(error(), "");
}

TEST_F(SettingsTest, AreInvalidWhenTheNextMilderLevelHasNoThreshold) {
  settings.thresholds.at(Level::Shed, Signal::EndpointListAge) = Threshold{9e6, 8e6};
  EXPECT_EQ(error(), "shed, list age: the level below has none for it");
}

TEST_F(SettingsTest, AreInvalidWhenTheLongestDelayIsUnderTheFirst) {
  settings.maxRecoveryDelay = 1us;
  EXPECT_EQ(error(), kInvalidInterval);
}

TEST_F(SettingsTest, AreInvalidWhenAnIntervalIsNotOverZero) {
  for (const auto interval :
       {&Settings::escalationInterval, &Settings::recoveryDelay, &Settings::probationPeriod}) {
    settings = defaultSettings();
    settings.*interval = 0us;
    EXPECT_EQ(error(), kInvalidInterval);
  }
}

TEST_F(SettingsTest, AreInvalidWhenASmoothingTimeIsNegative) {
  settings.smoothingTimes[Signal::CpuUtilization] = -1us;
  EXPECT_EQ(error(), "a smoothing time under 0");
}

TEST_F(SettingsTest, HaveNoThresholdForNormal) {
  EXPECT_THROW(static_cast<void>(settings.thresholds.at(Level::Normal, Signal::CpuUtilization)),
               std::out_of_range);
}

}  // namespace
}  // namespace ivypost::degradation
