// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/level_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <numbers>
#include <string>
#include <tuple>
#include <vector>

#include "simulated_time.h"

namespace ivypost::degradation {
namespace {

using namespace std::chrono_literals;

using Observe = std::function<void(LevelController&, TimePoint)>;

// Observes and evaluates at each interval of a simulated clock; returns the transitions.
std::vector<Transition> run(LevelController& controller, Duration from, Duration until,
                            const Observe& observe) {
  std::vector<Transition> transitions;
  forEachEvaluation(from, until, [&](TimePoint now) {
    observe(controller, now);
    if (const auto transition = controller.evaluate(now)) transitions.push_back(*transition);
  });
  return transitions;
}

Observe constantly(Signal signal, double value) {
  return [=](LevelController& controller, TimePoint now) { controller.observe(signal, value, now); };
}

class LevelControllerTest : public testing::Test {
 protected:
  std::vector<Transition> run(Duration from, Duration until, const Observe& observe) {
    return degradation::run(controller, from, until, observe);
  }

  const Settings settings = defaultSettings();
  LevelController controller{settings, at(0s)};
};

TEST_F(LevelControllerTest, StaysNormalWhenNoThresholdIsReached) {
  EXPECT_TRUE(run(0s, 60s, constantly(Signal::CpuUtilization, 0.5)).empty());
  EXPECT_EQ(controller.level(), Level::Normal);
}

TEST_F(LevelControllerTest, EscalatesStepByStepAndNamesTheCauseWhenASignalIsOverAllThresholds) {
  const auto transitions = run(0s, 5s, constantly(Signal::EventLoopLag, 1e6));
  ASSERT_EQ(transitions.size(), 4u);
  for (std::size_t n = 0; n < 4; ++n) {
    EXPECT_EQ(transitions[n].to, kLevels.at(n + 1));
    ASSERT_TRUE(transitions[n].cause);
    EXPECT_EQ(transitions[n].cause->signal, Signal::EventLoopLag);
    if (n > 0) {
      EXPECT_GE(transitions[n].at - transitions[n - 1].at, settings.escalationInterval);
    }
  }
  EXPECT_EQ(describe(transitions[0]), "level thrifty, was normal: loop lag 1e+06 over 2e+04");
}

TEST_F(LevelControllerTest, EscalatesAtOnceWhenItBeginsUnderLoad) {
  controller.observe(Signal::EventLoopLag, 30e3, at(0s));
  const auto transition = controller.evaluate(at(0s));
  ASSERT_TRUE(transition);
  EXPECT_EQ(transition->to, Level::Thrifty);
}

TEST_F(LevelControllerTest, WaitsForTheLongerDelayWhenItsSettingsChange) {
  run(0s, 5s, constantly(Signal::EventLoopLag, 30e3));
  ASSERT_EQ(controller.level(), Level::Thrifty);
  Settings slower = settings;
  slower.recoveryDelay = 10s;
  controller.apply(slower, at(5s));
  const auto transitions = run(5s, 30s, constantly(Signal::EventLoopLag, 0));
  ASSERT_EQ(transitions.size(), 1u);
  EXPECT_GE(transitions[0].at, at(15s));
}

TEST_F(LevelControllerTest, RecoversStepByStepWhenSignalsAreCalm) {
  run(0s, 5s, constantly(Signal::EventLoopLag, 1e6));
  const auto transitions = run(5s, 60s, constantly(Signal::EventLoopLag, 0));
  ASSERT_EQ(transitions.size(), 4u);
  EXPECT_EQ(controller.level(), Level::Normal);
  for (std::size_t n = 1; n < 4; ++n)
    EXPECT_GE(transitions[n].at - transitions[n - 1].at, settings.recoveryDelay);
  EXPECT_EQ(describe(transitions[3]), "level normal, was thrifty: calm");
}

// Largest amplitude, relative to the threshold, with which a signal may oscillate around it without crossing
// the threshold of an adjacent level, which would cause further transitions.
double largestSwing(const Settings& settings, Level level, Signal signal) {
  const double enter = settings.thresholds.at(level, signal)->enter;
  double swing = 0.2;
  if (level != Level::Cutoff) {
    const auto& stricter = settings.thresholds.at(nextStricter(level), signal);
    if (stricter) swing = std::min(swing, 0.9 * (stricter->enter / enter - 1));
  }
  if (level != Level::Thrifty)
    swing = std::min(swing, 0.9 * (1 - settings.thresholds.at(nextMilder(level), signal)->exit / enter));
  return swing;
}

// Ten periods of a sine around `middle`, with deterministic noise.
std::vector<Transition> runSine(LevelController& controller, Signal signal, double middle, double swing,
                                double noise, Duration period) {
  const TimePoint start = at(5s);
  return run(controller, 5s, 5s + 10 * period, [&](LevelController&, TimePoint now) {
    const double phase = 2 * std::numbers::pi * toMicroseconds(now - start) / toMicroseconds(period);
    const double noisy = noise * std::sin(toMicroseconds(now.time_since_epoch()) * 0.37);
    controller.observe(signal, middle * (1 + swing * std::sin(phase) + noisy), now);
  });
}

void expectOneTransitionASwing(Level level, Signal signal, double swing, double noise, Duration period) {
  const Settings settings = defaultSettings();
  const double enter = settings.thresholds.at(level, signal)->enter;
  LevelController controller(settings, at(0s));
  // Reaches the next milder level first, since a transition changes the level by one.
  run(controller, 0s, 5s, constantly(signal, enter * 0.999));
  ASSERT_EQ(controller.level(), nextMilder(level)) << nameOf(signal);
  const auto transitions = runSine(controller, signal, enter, swing, noise, period);
  // The sine starts in the middle of a swing, so that there are 21 swings.
  EXPECT_LE(transitions.size(), 21u) << nameOf(level) << ", " << nameOf(signal) << ", swing " << swing
                                     << ", period " << period.count();
  EXPECT_GE(transitions.size(), 1u);
}

TEST(LevelController, ChangesOnceASwingWhenASignalSwingsSlowlyAroundAnyThreshold) {
  const Settings settings = defaultSettings();
  int thresholds = 0;
  for (const Level level : kLevels) {
    for (const Signal signal : kSignals) {
      if (level == Level::Normal || !settings.thresholds.at(level, signal)) continue;
      ++thresholds;
      const double largest = largestSwing(settings, level, signal);
      for (const Duration period : {20s, 60s, 300s}) {
        for (const double swing : {largest / 10, largest})
          expectOneTransitionASwing(level, signal, swing, largest / 20, period);
      }
    }
  }
  EXPECT_EQ(thresholds, 22);
}

TEST_F(LevelControllerTest, ChangesOnceWhenANoisySignalHoversAtAThreshold) {
  std::uint64_t random = 1;
  const auto transitions = run(0s, 600s, [&](LevelController&, TimePoint now) {
    random = random * 6364136223846793005u + 1442695040888963407u;
    const double uniform = static_cast<double>(random >> 40) * 0x1p-24;
    controller.observe(Signal::CpuUtilization, 0.75 + (uniform - 0.5) * 0.1, now);
  });
  EXPECT_EQ(transitions.size(), 1u);
}

// Low load and overload alternate. The recovery delay doubles, so that transitions become rare whatever the
// length of the bursts.
TEST(LevelController, ChangesRarelyWhenLoadComesInBursts) {
  for (const Duration burst : {Duration(100ms), Duration(1s), Duration(10s)}) {
    LevelController controller(defaultSettings(), at(0s));
    const auto transitions = run(controller, 0s, 300s, [&](LevelController&, TimePoint now) {
      const bool isBusy = now.time_since_epoch() / burst % 2 == 0;
      controller.observe(Signal::EventLoopLag, isBusy ? 100e3 : 0, now);
    });
    const auto late = std::count_if(transitions.begin(), transitions.end(),
                                    [](const Transition& transition) { return transition.at > at(200s); });
    EXPECT_LE(late, 8) << "bursts of " << burst.count();
    EXPECT_LE(transitions.size(), 40u) << "bursts of " << burst.count();
  }
}

TEST_F(LevelControllerTest, TracksALoadThatStepsUpAndBack) {
  run(0s, 10s, constantly(Signal::OpenRequestFraction, 0.18));
  const auto up = run(10s, 20s, constantly(Signal::OpenRequestFraction, 0.9));
  EXPECT_EQ(controller.level(), Level::Shed);
  ASSERT_FALSE(up.empty());
  EXPECT_LE(up.back().at, at(13s));
  run(20s, 35s, constantly(Signal::OpenRequestFraction, 0.18));
  EXPECT_EQ(controller.level(), Level::Normal);
}

// The strictest level that any signal requests applies, until that signal falls below the level's exit
// threshold.
TEST_F(LevelControllerTest, AppliesTheStricterOfTwoSignals) {
  const auto both = [](double cpu, double lag) {
    return [=](LevelController& observed, TimePoint now) {
      observed.observe(Signal::CpuUtilization, cpu, now);
      observed.observe(Signal::EventLoopLag, lag, now);
    };
  };
  run(0s, 10s, both(0.80, 200e3));
  EXPECT_EQ(controller.level(), Level::Shed);
  // One signal falls while the other one rises.
  run(10s, 40s, both(0.90, 0));
  EXPECT_EQ(controller.level(), Level::Protect);
  run(40s, 70s, both(0.1, 0));
  EXPECT_EQ(controller.level(), Level::Normal);
}

TEST_F(LevelControllerTest, IgnoresAValueThatIsNegativeOrNotFinite) {
  for (const double value : {std::nan(""), HUGE_VAL, -1.0}) {
    controller.observe(Signal::CpuUtilization, value, at(11s));
    EXPECT_EQ(controller.smoothedValue(Signal::CpuUtilization), 0);
  }
}

TEST(LevelController, StandsStillWhenTheClockGoesBack) {
  LevelController controller(defaultSettings(), at(10s));
  controller.observe(Signal::CpuUtilization, 0.5, at(12s));
  controller.observe(Signal::CpuUtilization, 0.9, at(3s));
  EXPECT_EQ(controller.smoothedValue(Signal::CpuUtilization), 0.5);
  EXPECT_FALSE(controller.evaluate(at(4s)));
}

TEST(LevelController, ChangesOnceWhenTheClockJumpsAhead) {
  LevelController controller(defaultSettings(), at(10s));
  controller.observe(Signal::CpuUtilization, 0.5, at(12s));
  controller.observe(Signal::CpuUtilization, 0.9, at(3s));
  EXPECT_FALSE(controller.evaluate(at(4s)));
  controller.observe(Signal::CpuUtilization, 0.9, at(100'000s));
  EXPECT_TRUE(controller.evaluate(at(100'000s)));
  EXPECT_EQ(controller.level(), Level::Thrifty);
}

// Runs a controller on a simulated clock and checks each transition.
class CheckedRun {
 public:
  void observe(Signal signal, double value) { controller_.observe(signal, value, at(now_)); }

  void advance() { now_ += LevelController::kEvaluationInterval; }

  void evaluate() {
    if (const auto transition = controller_.evaluate(at(now_))) {
      const auto from = static_cast<int>(indexOf(transition->from));
      const auto to = static_cast<int>(indexOf(transition->to));
      RC_ASSERT(transition->from == level_);
      RC_ASSERT(std::abs(to - from) == 1);
      level_ = transition->to;
      transitions_.push_back(*transition);
    }
    RC_ASSERT(controller_.level() == level_);
  }

  // Each recovery takes at least the recovery delay, so that there are at most 30 in a minute. Escalations
  // and recoveries together are bounded by twice the recoveries plus the number of levels.
  void assertBoundedInAnyMinute() const {
    for (std::size_t first = 0; first < transitions_.size(); ++first) {
      std::size_t recoveries = 0;
      std::size_t all = 0;
      for (std::size_t n = first;
           n < transitions_.size() && transitions_[n].at < transitions_[first].at + 60s; ++n) {
        recoveries += transitions_[n].cause ? 0 : 1;
        ++all;
      }
      RC_ASSERT(recoveries <= 30u);
      RC_ASSERT(all <= 2 * recoveries + kLevelCount);
    }
  }

  void runCalm(Duration span) {
    for (const Duration end = now_ + span; now_ < end; advance()) {
      for (const Signal signal : kSignals) observe(signal, 0);
      evaluate();
    }
  }

  [[nodiscard]] Level level() const { return controller_.level(); }

 private:
  Duration now_{};
  LevelController controller_{defaultSettings(), at(0s)};
  Level level_ = Level::Normal;
  std::vector<Transition> transitions_;
};

// A signal, its value relative to its lowest threshold, and the number of evaluations for which it lasts.
using Episode = std::tuple<Signal, double, int>;

rc::Gen<std::vector<Episode>> episodes() {
  return rc::gen::container<std::vector<Episode>>(rc::gen::tuple(
      rc::gen::elementOf(std::vector<Signal>(kSignals.begin(), kSignals.end())),
      rc::gen::map(rc::gen::inRange(0, 3000), [](int thousandths) { return thousandths / 1000.0; }),
      rc::gen::inRange(1, 400)));
}

TEST(LevelControllerProperty, SkipsNoLevelBoundsTransitionsAndReturnsToNormalForAnySignals) {
  const Settings settings = defaultSettings();
  EXPECT_TRUE(rc::check("bounded transitions, no skipped level, return to Normal", [&] {
    CheckedRun checked;
    for (const auto& [signal, value, evaluations] : *episodes()) {
      const auto& lowest = settings.thresholds.at(Level::Thrifty, signal);
      for (int n = 0; n < evaluations; ++n) {
        checked.advance();
        checked.observe(signal, value * lowest->enter);
        checked.evaluate();
      }
    }
    checked.assertBoundedInAnyMinute();
    checked.runCalm(5 * settings.maxRecoveryDelay);
    RC_ASSERT(checked.level() == Level::Normal);
  }));
}

}  // namespace
}  // namespace ivypost::degradation
