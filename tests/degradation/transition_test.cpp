// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Checks the log lines that docs/operators/reduced-service.md shows.
#include "degradation/transition.h"

#include <gtest/gtest.h>

#include "simulated_time.h"

namespace ivypost::degradation {
namespace {

TEST(Transition, NamesTheCauseOfAnEscalation) {
  const Transition transition{Level::Thrifty, Level::Protect, at(Duration::zero()),
                              Transition::Cause{Signal::CpuUtilization, 0.90123, 0.88}};
  EXPECT_EQ(describe(transition), "level protect, was thrifty: cpu share 0.9012 over 0.88");
}

TEST(Transition, DescribesARecoveryAsCalm) {
  const Transition transition{Level::Protect, Level::Thrifty, at(Duration::zero()), std::nullopt};
  EXPECT_EQ(describe(transition), "level thrifty, was protect: calm");
}

// The format of printf's %.4g, on which operators' searches rely.
TEST(Transition, ShowsFourSignificantDigits) {
  const auto shown = [](double value, double threshold) {
    return describe({Level::Normal, Level::Thrifty, at(Duration::zero()),
                     Transition::Cause{Signal::EventLoopLag, value, threshold}});
  };
  EXPECT_EQ(shown(1e6, 2e4), "level thrifty, was normal: loop lag 1e+06 over 2e+04");
  EXPECT_EQ(shown(36170.4, 0.00001234567), "level thrifty, was normal: loop lag 3.617e+04 over 1.235e-05");
  EXPECT_EQ(shown(1, 9999), "level thrifty, was normal: loop lag 1 over 9999");
}

}  // namespace
}  // namespace ivypost::degradation
