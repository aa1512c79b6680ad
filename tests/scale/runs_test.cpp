// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A short size of each run: the figures of the size that is coming are shown by ivyscale, and here it is
// watched that the slope does not return. What all know of each other reaches all in a time that does not
// grow with the fleet; as it was before anti-entropy, the time grew as the fleet did.
#include "scale/runs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>

#include "scale/simulated_network.h"

namespace ivypost::scale {
namespace {

using gossip::kDatagramOverhead;
using gossip::kSecond;

constexpr std::size_t kSmall = 30, kLarge = 120;
// Four times the sidecars, and at the most so much more time.
constexpr double kSlope = 1.5;
// What one looks at and does not see for the step between two looks.
constexpr double kLook = 0.05;
constexpr double kBytesPerSecond = 6000;

Plan planOf(Event event, std::size_t sidecars) {
  Plan plan;
  plan.event = event;
  plan.sidecars = sidecars;
  plan.cap = 60 * kSecond;
  plan.assemble = 120 * kSecond;
  plan.settle = 5 * kSecond;
  plan.away = 10 * kSecond;
  plan.cutSpan = 12 * kSecond;
  plan.calmSpan = 10 * kSecond;
  plan.restarts = 6;
  plan.measureProcessor = false;
  return plan;
}

// The stage's seconds; its cap where it was not reached.
double secondsOf(const Figures& figures, const std::string& stage) {
  for (const Stage& one : figures.stages)
    if (one.name == stage) return one.seconds.value_or(one.cap);
  ADD_FAILURE() << "no stage " << stage << (figures.assembled ? "" : ", since they did not assemble");
  return 1e9;
}

// The worst of a few seeds of each size: of one seed alone the times at the small size differ by a factor of
// two.
double slopeOf(Event event, const std::string& stage, bool antiEntropy) {
  double small = 0, large = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    Plan plan = planOf(event, kSmall);
    plan.antiEntropy = antiEntropy;
    plan.seed = seed;
    small = std::max(small, secondsOf(run(plan), stage));
    plan.sidecars = kLarge;
    large = std::max(large, secondsOf(run(plan), stage));
  }
  return (large - kLook) / small;
}

// ---- The slope, and that the same bound finds it where it is
// ------------------------------------------------

TEST(Runs, AStartTakesNoLongerForFourTimesTheSidecars) {
  EXPECT_LE(slopeOf(Event::Start, "all hear all", true), kSlope);
}
TEST(Runs, AZonesReturnTakesNoLongerForFourTimesTheSidecars) {
  EXPECT_LE(slopeOf(Event::Zone, "hears all", true), kSlope);
}
TEST(Runs, WithoutAntiEntropyTheBoundIsBroken) {
  EXPECT_GT(slopeOf(Event::Start, "all hear all", false), kSlope);
  EXPECT_GT(slopeOf(Event::Zone, "hears all", false), kSlope);
}

// ---- Each event at a short size, by the operators' bounds
// -----------------------------------------------------

TEST(Runs, AllAtOnceHearAllWithinEightSeconds) {
  const Figures figures = run(planOf(Event::Start, kLarge));
  EXPECT_LE(secondsOf(figures, "all hear all"), 8);
  EXPECT_LE(figures.sentPeak, kBytesPerSecond);
  EXPECT_EQ(figures.falseDeaths, 0u);
}
TEST(Runs, OneBackHearsAllAndIsHeardWithinThreeSeconds) {
  const Figures figures = run(planOf(Event::Return, kLarge));
  EXPECT_LE(secondsOf(figures, "death known"), 8);
  EXPECT_LE(secondsOf(figures, "hears all"), 3);
  EXPECT_LE(secondsOf(figures, "heard by all"), 3);
  EXPECT_LE(figures.sentPeak, kBytesPerSecond);
}
TEST(Runs, ARackIsKnownAndBackWithinFiveSeconds) {
  const Figures figures = run(planOf(Event::Rack, kLarge));
  EXPECT_LE(secondsOf(figures, "death known"), 8);
  EXPECT_LE(secondsOf(figures, "hears all"), 5);
  EXPECT_LE(secondsOf(figures, "heard by all"), 5);
  EXPECT_LE(figures.sentPeak, kBytesPerSecond);
}
TEST(Runs, AZoneIsKnownAndBackWithinEightSeconds) {
  const Figures figures = run(planOf(Event::Zone, kLarge));
  EXPECT_LE(secondsOf(figures, "death known"), 8);
  EXPECT_LE(secondsOf(figures, "hears all"), 8);
  EXPECT_LE(secondsOf(figures, "heard by all"), 8);
  EXPECT_LE(figures.sentPeak, kBytesPerSecond);
}
TEST(Runs, RegionsThatLoseEachOtherKnowItAndAreNotDeaf) {
  for (const Event event : {Event::Cut, Event::CutUnequal}) {
    const Figures figures = run(planOf(event, 60));
    EXPECT_LE(secondsOf(figures, "cut known"), 8) << nameOf(event);
    EXPECT_LE(secondsOf(figures, "healed"), 8) << nameOf(event);
    EXPECT_EQ(figures.deafMostLater, 0) << nameOf(event);
    EXPECT_LE(figures.sentPeak, kBytesPerSecond) << nameOf(event);
  }
}
TEST(Runs, RestartsOneAfterTheOtherAreHeardByAll) {
  EXPECT_LE(secondsOf(run(planOf(Event::Rolling, 60)), "worst of restarts"), 8);
}
TEST(Runs, CalmStaysCalm) {
  const Figures figures = run(planOf(Event::Calm, kLarge));
  EXPECT_TRUE(figures.assembled);
  EXPECT_EQ(figures.falseDeaths, 0u);
  EXPECT_GT(figures.sentMean, 100);
  EXPECT_LE(figures.sentPeak, kBytesPerSecond);
  // What is sent arrives, but for the part that is lost.
  EXPECT_NEAR(figures.receivedMean / figures.sentMean, 0.99, 0.01);
}

// ---- The run itself
// -----------------------------------------------------------------------------------------

TEST(Runs, TheSamePlanGivesTheSameFigures) {
  const Plan plan = planOf(Event::Return, kSmall);
  const Figures one = run(plan), other = run(plan);
  EXPECT_EQ(one.sentMean, other.sentMean);
  EXPECT_EQ(one.receivedPeak, other.receivedPeak);
  EXPECT_EQ(secondsOf(one, "hears all"), secondsOf(other, "hears all"));
  Plan another = plan;
  another.seed = 2;
  EXPECT_NE(one.sentMean, run(another).sentMean);
}

TEST(Runs, WhatIsNotReachedWithinTheCapIsToldSo) {
  Plan plan = planOf(Event::Start, kSmall);
  plan.cap = kSecond / 10;
  const Figures start = run(plan);
  EXPECT_FALSE(start.stages.at(0).seconds);
  EXPECT_EQ(start.stages.at(0).cap, 0.1);
  plan.event = Event::Zone;
  plan.assemble = kSecond / 10;
  const Figures zone = run(plan);
  EXPECT_FALSE(zone.assembled);
  EXPECT_TRUE(zone.stages.empty());
}

TEST(Runs, SizesThatCantBeRunAreRefused) {
  EXPECT_THROW(run(planOf(Event::Start, 2 * kZones - 1)), std::invalid_argument);
  EXPECT_THROW(run(planOf(Event::Start, gossip::kMaxMembers + 1)), std::invalid_argument);
}

TEST(Runs, EachEventHasAName) {
  for (std::size_t n = 0; n < kEvents; ++n) {
    const auto event = static_cast<Event>(n);
    EXPECT_EQ(eventOf(nameOf(event)), event);
  }
  EXPECT_EQ(eventOf("flood"), std::nullopt);
}

TEST(Traffic, ThePeakIsThatOfTheWorstSecond) {
  gossip::Traffic traffic;
  const std::uint64_t whole = 100 + kDatagramOverhead;
  for (gossip::Micros at = 0; at < 10 * kSecond; at += kSecond / 2) traffic.add(100, at);
  EXPECT_EQ(traffic.datagrams(), 20u);
  EXPECT_EQ(traffic.bytes(), 20 * whole);
  EXPECT_EQ(traffic.peak(), 2 * whole);
  // Three that fall into one second, over the edge of one by the clock.
  for (const gossip::Micros at : {20'900'000, 21'000'000, 21'500'000}) traffic.add(100, at);
  EXPECT_EQ(traffic.peak(), 3 * whole);
  traffic.add(100, 21'900'000);
  EXPECT_EQ(traffic.peak(), 3 * whole);
  traffic.add(100, 500 * kSecond);
  EXPECT_EQ(traffic.peak(), 3 * whole);
}

}  // namespace
}  // namespace ivypost::scale
