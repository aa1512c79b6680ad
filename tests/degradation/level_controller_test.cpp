// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The ladder of reduced service, with made-up time.
#include "degradation/level_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <functional>
#include <numbers>
#include <string>
#include <utility>
#include <vector>

#include "degradation/restrictions.h"

namespace ivypost::degradation {
namespace {

using Micros = std::int64_t;
TimePoint at(Micros time) {
  return TimePoint(Duration(time));
}

constexpr Micros kSecond = 1'000'000;

// Plays a signal as a function of time, a sample a tick, and gives the changes.
std::vector<Transition> play(LevelController& controller, Micros from, Micros until,
                             const std::function<void(LevelController&, Micros)>& feed) {
  std::vector<Transition> changes;
  for (Micros now = from; now < until; now += LevelController::kEvaluationInterval.count()) {
    feed(controller, now);
    if (const auto change = controller.evaluate(at(now))) changes.push_back(*change);
  }
  return changes;
}

std::function<void(LevelController&, Micros)> steady(Signal signal, double value) {
  return [=](LevelController& controller, Micros now) { controller.observe(signal, value, at(now)); };
}

TEST(LevelController, StaysNormalWhenCalm) {
  LevelController controller(defaultSettings(), at(0));
  EXPECT_TRUE(play(controller, 0, 60 * kSecond, steady(Signal::CpuUtilization, 0.5)).empty());
  EXPECT_EQ(controller.level(), Level::Normal);
}

TEST(LevelController, GoesDownStepByStepAndNamesTheCause) {
  LevelController controller(defaultSettings(), at(0));
  const auto changes = play(controller, 0, 5 * kSecond, steady(Signal::EventLoopLag, 1e6));
  ASSERT_EQ(changes.size(), 4u);
  for (std::size_t n = 0; n < 4; ++n) {
    EXPECT_EQ(changes[n].to, static_cast<Level>(n + 1));
    EXPECT_EQ(changes[n].cause->signal, Signal::EventLoopLag);
    if (n > 0) {
      EXPECT_GE(changes[n].at - changes[n - 1].at, defaultSettings().escalationInterval);
    }
  }
  EXPECT_EQ(describe(changes[0]), "level thrifty, was normal: loop lag 1e+06 over 2e+04");
}

TEST(LevelController, ComesBackStepByStepAfterCalm) {
  LevelController controller(defaultSettings(), at(0));
  play(controller, 0, 5 * kSecond, steady(Signal::EventLoopLag, 1e6));
  const auto changes = play(controller, 5 * kSecond, 60 * kSecond, steady(Signal::EventLoopLag, 0));
  ASSERT_EQ(changes.size(), 4u);
  EXPECT_EQ(controller.level(), Level::Normal);
  for (std::size_t n = 1; n < 4; ++n)
    EXPECT_GE(changes[n].at - changes[n - 1].at, defaultSettings().recoveryDelay);
  EXPECT_EQ(describe(changes[3]), "level normal, was thrifty: calm");
}

// Each threshold by itself: a slow sine around it gives at most one change a swing.
TEST(LevelController, ASlowSineChangesTheLevelOnceASwing) {
  const Settings settings = defaultSettings();
  int thresholds = 0;
  for (std::size_t level = 0; level < kLevelCount - 1; ++level) {
    for (std::size_t n = 0; n < kSignalCount; ++n) {
      const auto& one = settings.thresholds.at(static_cast<Level>(level + 1), static_cast<Signal>(n));
      if (!one) continue;
      ++thresholds;
      // As far as the neighbours' thresholds allow: one that is crossed too has a change of its own.
      double most = 0.2;
      if (level + 2 < kLevelCount &&
          settings.thresholds.at(static_cast<Level>(level + 2), static_cast<Signal>(n)))
        most = std::min(
            most,
            0.9 * (settings.thresholds.at(static_cast<Level>(level + 2), static_cast<Signal>(n))->enter /
                       one->enter -
                   1));
      if (level > 0)
        most = std::min(
            most, 0.9 * (1 - settings.thresholds.at(static_cast<Level>(level), static_cast<Signal>(n))->exit /
                                 one->enter));
      for (const Micros period : {20 * kSecond, 60 * kSecond, 300 * kSecond}) {
        for (const double swing : {most / 10, most}) {
          LevelController controller(settings, at(0));
          const auto signal = static_cast<Signal>(n);
          // To the level below first, as the ladder knows no jump.
          play(controller, 0, 5 * kSecond, steady(signal, one->enter * 0.999));
          ASSERT_EQ(controller.level(), static_cast<Level>(level)) << nameOf(signal);
          // Noise on top, by a fixed pattern.
          const auto changes =
              play(controller, 5 * kSecond, 5 * kSecond + 10 * period, [&](LevelController& l, Micros now) {
                const double phase = 2 * std::numbers::pi * static_cast<double>(now - 5 * kSecond) /
                                     static_cast<double>(period);
                const double noise = most / 20 * std::sin(static_cast<double>(now) * 0.37);
                l.observe(signal, one->enter * (1 + swing * std::sin(phase) + noise), at(now));
              });
          // It begins in the middle of a swing: 21 of them.
          EXPECT_LE(changes.size(), 21u) << nameOf(static_cast<Level>(level + 1)) << ", " << nameOf(signal)
                                         << ", swing " << swing << ", period " << period;
          EXPECT_GE(changes.size(), 1u);
        }
      }
    }
  }
  EXPECT_EQ(thresholds, 22);
}

// A load that hovers right at a threshold, with noise to both sides, changes the level once.
TEST(LevelController, HoveringAtAThresholdDoesNotFlap) {
  LevelController controller(defaultSettings(), at(0));
  std::uint64_t random = 1;
  const auto changes = play(controller, 0, 600 * kSecond, [&](LevelController& l, Micros now) {
    random = random * 6364136223846793005u + 1442695040888963407u;
    l.observe(Signal::CpuUtilization, 0.75 + (static_cast<double>(random >> 40) * 0x1p-24 - 0.5) * 0.1,
              at(now));
  });
  EXPECT_EQ(changes.size(), 1u);
}

// A recovery that comes in bursts: calm and overload in turns. The calm that is asked for doubles, so that
// changes become rare, whatever the bursts' length.
TEST(LevelController, ARecoveryInBurstsDoesNotFlap) {
  for (const Micros burst : {kSecond / 10, kSecond, 10 * kSecond}) {
    LevelController controller(defaultSettings(), at(0));
    const auto changes = play(controller, 0, 300 * kSecond, [&](LevelController& l, Micros now) {
      l.observe(Signal::EventLoopLag, now / burst % 2 == 0 ? 100e3 : 0, at(now));
    });
    const auto late = std::count_if(changes.begin(), changes.end(),
                                    [](const Transition& c) { return c.at > at(200 * kSecond); });
    EXPECT_LE(late, 8) << "bursts of " << burst;
    EXPECT_LE(changes.size(), 40u) << "bursts of " << burst;
  }
}

TEST(LevelController, AStepUpAndBackIsFollowedAndForgotten) {
  LevelController controller(defaultSettings(), at(0));
  play(controller, 0, 10 * kSecond, steady(Signal::OpenRequestFraction, 0.18));
  const auto up = play(controller, 10 * kSecond, 20 * kSecond, steady(Signal::OpenRequestFraction, 0.9));
  EXPECT_EQ(controller.level(), Level::Shed);
  EXPECT_LE(up.back().at, at(13 * kSecond));
  play(controller, 20 * kSecond, 35 * kSecond, steady(Signal::OpenRequestFraction, 0.18));
  EXPECT_EQ(controller.level(), Level::Normal);
}

// Two signals that ask for different levels: the stricter one leads, and its exit is the one that counts.
TEST(LevelController, TheStricterOfTwoSignalsLeads) {
  LevelController controller(defaultSettings(), at(0));
  const auto both = [](double cpu, double lag) {
    return [=](LevelController& l, Micros now) {
      l.observe(Signal::CpuUtilization, cpu, at(now));
      l.observe(Signal::EventLoopLag, lag, at(now));
    };
  };
  play(controller, 0, 10 * kSecond, both(0.80, 200e3));
  EXPECT_EQ(controller.level(), Level::Shed);
  // They cross: one falls while the other rises.
  play(controller, 10 * kSecond, 40 * kSecond, both(0.90, 0));
  EXPECT_EQ(controller.level(), Level::Protect);
  play(controller, 40 * kSecond, 70 * kSecond, both(0.1, 0));
  EXPECT_EQ(controller.level(), Level::Normal);
}

TEST(LevelController, PassesOverNonsenseAndTimeThatGoesBack) {
  LevelController controller(defaultSettings(), at(10 * kSecond));
  for (const double value : {std::nan(""), HUGE_VAL, -1.0}) {
    controller.observe(Signal::CpuUtilization, value, at(11 * kSecond));
    EXPECT_EQ(controller.smoothedValue(Signal::CpuUtilization), 0);
  }
  controller.observe(Signal::CpuUtilization, 0.5, at(12 * kSecond));
  controller.observe(Signal::CpuUtilization, 0.9, at(3 * kSecond));  // the clock jumped back
  EXPECT_EQ(controller.smoothedValue(Signal::CpuUtilization), 0.5);
  EXPECT_FALSE(controller.evaluate(at(4 * kSecond)));
  // And far ahead: one change at the most, by what is known.
  controller.observe(Signal::CpuUtilization, 0.9, at(100'000 * kSecond));
  EXPECT_TRUE(controller.evaluate(at(100'000 * kSecond)));
  EXPECT_EQ(controller.level(), Level::Thrifty);
}

TEST(LevelController, EffectsOnlyGrowStricter) {
  for (std::size_t n = 1; n < kLevelCount; ++n) {
    const Restrictions before = restrictionsAt(static_cast<Level>(n - 1)),
                       after = restrictionsAt(static_cast<Level>(n));
    EXPECT_LE(after.allowsHedging, before.allowsHedging);
    EXPECT_LE(after.healthCheckFraction, before.healthCheckFraction);
    EXPECT_GE(after.admitsByPriority, before.admitsByPriority);
    EXPECT_GE(after.rejectsBeforeBody, before.rejectsBeforeBody);
    EXPECT_GE(after.minPriorityWeight, before.minPriorityWeight);
  }
  EXPECT_TRUE(restrictionsAt(Level::Normal).allowsHedging);
}

TEST(LevelControllerSettings, FlawsAreNamed) {
  EXPECT_FALSE(validate(defaultSettings()));
  Settings settings = defaultSettings();
  settings.thresholds.at(Level::Thrifty, Signal::CpuUtilization)->exit =
      settings.thresholds.at(Level::Thrifty, Signal::CpuUtilization)->enter;
  EXPECT_EQ(describe(validate(settings).value()),
            "thrifty, cpu share: the exit has to lie under the entry, and neither under 0");
  settings = defaultSettings();
  settings.thresholds.at(Level::Protect, Signal::CpuUtilization)->enter = 0.5;
  settings.thresholds.at(Level::Protect, Signal::CpuUtilization)->exit = 0.4;
  EXPECT_EQ(describe(validate(settings).value()),
            "protect, cpu share: lies under the threshold of the level below");
  settings = defaultSettings();
  settings.thresholds.at(Level::Shed, Signal::EndpointListAge) = Threshold{9e6, 8e6};
  EXPECT_EQ(describe(validate(settings).value()), "shed, list age: the level below has none for it");
  settings = defaultSettings();
  settings.maxRecoveryDelay = Duration(1);
  EXPECT_TRUE(validate(settings));
  settings = defaultSettings();
  settings.smoothingTimes[Signal::CpuUtilization] = Duration(-1);
  EXPECT_EQ(describe(validate(settings).value()), "a smoothing time under 0");
}

// Whatever the signals do: no step is skipped, changes a minute are bounded, and calm leads back to normal.
TEST(LevelControllerProperty, AnySeries) {
  EXPECT_TRUE(rc::check("bounded changes, no skipped step, never stuck", [] {
    const Settings settings = defaultSettings();
    LevelController controller(settings, at(0));
    const auto series = *rc::gen::container<std::vector<std::tuple<int, double, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(kSignalCount)),
                       rc::gen::map(rc::gen::inRange(0, 3000), [](int part) { return part / 1000.0; }),
                       rc::gen::inRange(1, 400)));
    Micros now = 0;
    std::vector<Transition> changes;
    Level last = Level::Normal;
    const auto judge = [&] {
      if (const auto change = controller.evaluate(at(now))) {
        RC_ASSERT(change->from == last);
        RC_ASSERT(std::abs(static_cast<int>(change->to) - static_cast<int>(change->from)) == 1);
        last = change->to;
        changes.push_back(*change);
      }
      RC_ASSERT(controller.level() == last);
    };
    for (const auto& [signal, value, ticks] : series) {
      // Values relative to the signal's first threshold, up to three times it.
      const auto& one = settings.thresholds.at(Level::Thrifty, static_cast<Signal>(signal));
      for (int n = 0; n < ticks; ++n) {
        now += LevelController::kEvaluationInterval.count();
        controller.observe(static_cast<Signal>(signal), value * one->enter, at(now));
        judge();
      }
    }
    // In any minute: reductions are escalationInterval apart, and each restoration needs a calm of its own,
    // so that both together are bounded by twice the restorations and the levels there are.
    for (std::size_t first = 0; first < changes.size(); ++first) {
      std::size_t restored = 0, all = 0;
      for (std::size_t n = first;
           n < changes.size() && changes[n].at < changes[first].at + std::chrono::seconds(60); ++n) {
        restored += changes[n].cause ? 0 : 1;
        ++all;
      }
      RC_ASSERT(restored <= 30u);
      RC_ASSERT(all <= 2 * restored + kLevelCount);
    }
    // Calm: all signals at zero.
    for (Micros end = now + 5 * settings.maxRecoveryDelay.count(); now < end;
         now += LevelController::kEvaluationInterval.count()) {
      for (std::size_t n = 0; n < kSignalCount; ++n) controller.observe(static_cast<Signal>(n), 0, at(now));
      judge();
    }
    RC_ASSERT(controller.level() == Level::Normal);
  }));
}

}  // namespace
}  // namespace ivypost::degradation
