// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "lifecycle/lifecycle.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <ostream>

namespace ivypost::lifecycle {
namespace {

constexpr Micros kSecond = 1'000'000;

// Gives the Ticks that are due up to `to`, as the sidecar does.
void play(Lifecycle& lifecycle, Micros to) {
  while (lifecycle.nextChange() && *lifecycle.nextChange() <= to) {
    const Micros at = *lifecycle.nextChange();
    lifecycle.handle(Event::Tick, at);
    ASSERT_TRUE(!lifecycle.nextChange() || *lifecycle.nextChange() > at) << "ticks without end";
  }
}

TEST(Lifecycle, IsReadyAtOnceWhereNobodyElseServes) {
  const Lifecycle lifecycle({false, false}, 5);
  EXPECT_EQ(lifecycle.state(), State::Ready);
  EXPECT_EQ(lifecycle.effects(), (Effects{true, true, true, false, true, false, false}));
  EXPECT_FALSE(lifecycle.nextChange());
}

TEST(Lifecycle, BesideAnotherProcessItTakesNothingBeforeItIsReady) {
  Lifecycle lifecycle({true, true}, 0);
  EXPECT_EQ(lifecycle.state(), State::Starting);
  EXPECT_FALSE(lifecycle.effects().ready);
  EXPECT_FALSE(lifecycle.effects().accepts);
  lifecycle.handle(Event::Listed, 1000);
  EXPECT_EQ(lifecycle.state(), State::Ready);
  EXPECT_TRUE(lifecycle.effects().accepts);
}

// The platform wants the yes within 6 s, whether discovery answers or not.
TEST(Lifecycle, SilentDiscoveryDelaysTheYesForABoundedTime) {
  for (const bool known : {true, false}) {
    Lifecycle lifecycle({true, known}, 100);
    const Micros wait = known ? Lifecycle::kWaitKnown : Lifecycle::kWaitUnknown;
    play(lifecycle, 100 + wait - 1);
    EXPECT_FALSE(lifecycle.effects().ready);
    play(lifecycle, 100 + wait);
    EXPECT_TRUE(lifecycle.effects().ready);
    EXPECT_LT(wait, 6 * kSecond);
  }
}

TEST(Lifecycle, ADrainGoesStepByStep) {
  Lifecycle lifecycle({false, false}, 0);
  ASSERT_TRUE(lifecycle.handle(Event::Evacuate, kSecond));
  // At once: no to the front, answers end connections; what still comes is served.
  EXPECT_EQ(lifecycle.effects(), (Effects{false, true, false, false, true, false, false}));
  play(lifecycle, kSecond + Lifecycle::kDrainIdle);
  EXPECT_TRUE(lifecycle.effects().closesIdle);
  EXPECT_TRUE(lifecycle.effects().takes);
  play(lifecycle, kSecond + Lifecycle::kDrainTakes);
  EXPECT_FALSE(lifecycle.effects().takes);
  // At 4 s nothing of the last 2 s may be held.
  EXPECT_LT(Lifecycle::kDrainTakes, 2 * kSecond);
  EXPECT_FALSE(lifecycle.nextChange()) << "the process runs on";
  EXPECT_FALSE(lifecycle.effects().mayEnd);
}

TEST(Lifecycle, ASecondEvacuateDoesNotBeginTheDrainAnew) {
  Lifecycle lifecycle({false, false}, 0);
  lifecycle.handle(Event::Evacuate, 0);
  ASSERT_TRUE(lifecycle.handle(Event::Evacuate, Lifecycle::kDrainIdle - 1));
  play(lifecycle, Lifecycle::kDrainIdle);
  EXPECT_TRUE(lifecycle.effects().closesIdle);
}

TEST(Lifecycle, RejoinEndsTheDrainWhereverItStands) {
  for (const Micros at : {Micros{1}, Lifecycle::kDrainIdle + 1, Lifecycle::kDrainTakes + kSecond}) {
    Lifecycle lifecycle({false, false}, 0);
    lifecycle.handle(Event::Evacuate, 0);
    play(lifecycle, at);
    ASSERT_TRUE(lifecycle.handle(Event::Rejoin, at));
    EXPECT_EQ(lifecycle.state(), State::Ready);
    EXPECT_EQ(lifecycle.effects(), (Effects{true, true, true, false, true, false, false}));
  }
}

TEST(Lifecycle, RejoinWithoutADrainChangesNothing) {
  Lifecycle lifecycle({false, false}, 0);
  EXPECT_TRUE(lifecycle.handle(Event::Rejoin, 1));
  EXPECT_EQ(lifecycle.state(), State::Ready);
}

TEST(Lifecycle, ADrainBeforeTheYesIsNotLost) {
  Lifecycle lifecycle({true, false}, 0);
  lifecycle.handle(Event::Evacuate, 1);
  lifecycle.handle(Event::Listed, 2);
  EXPECT_EQ(lifecycle.state(), State::Draining);
  lifecycle.handle(Event::Rejoin, 3);
  EXPECT_EQ(lifecycle.state(), State::Ready);
  Lifecycle unlisted({true, false}, 0);
  unlisted.handle(Event::Evacuate, 1);
  unlisted.handle(Event::Rejoin, 2);
  EXPECT_EQ(unlisted.state(), State::Starting);
  play(unlisted, Lifecycle::kWaitUnknown);
  EXPECT_EQ(unlisted.state(), State::Ready);
}

TEST(Lifecycle, StopsFromEveryStateAndForGood) {
  for (const int from : {0, 1, 2}) {
    Lifecycle lifecycle({from == 0, false}, 0);
    if (from == 2) lifecycle.handle(Event::Evacuate, 0);
    lifecycle.handle(Event::Terminate, 10);
    ASSERT_EQ(lifecycle.state(), State::Stopping);
    EXPECT_FALSE(lifecycle.handle(Event::Evacuate, 20));
    EXPECT_FALSE(lifecycle.handle(Event::Rejoin, 20));
    lifecycle.handle(Event::Listed, 30);
    lifecycle.handle(Event::Terminate, kSecond);
    EXPECT_EQ(lifecycle.state(), State::Stopping);
    EXPECT_FALSE(lifecycle.effects().ready);
    play(lifecycle, 10 + lifecycle.stopWithin());
    EXPECT_TRUE(lifecycle.effects().mustEnd) << "a second SIGTERM must not put the end off";
  }
}

TEST(Lifecycle, WhereTheSocketIsInheritedAStopAcceptsNothingMore) {
  Lifecycle lifecycle({true, false}, 0);
  lifecycle.handle(Event::Listed, 0);
  lifecycle.handle(Event::Terminate, 10);
  EXPECT_FALSE(lifecycle.effects().accepts);
  EXPECT_FALSE(lifecycle.effects().mayEnd) << "what was just accepted may have a request on its way";
  play(lifecycle, 10 + Lifecycle::kLinger);
  EXPECT_TRUE(lifecycle.effects().mayEnd);
}

// New connections go on coming for up to 0.4 s after SIGTERM, and nobody else takes them.
TEST(Lifecycle, WhereItIsOursAStopAcceptsForAWhile) {
  Lifecycle lifecycle({false, false}, 0);
  lifecycle.handle(Event::Terminate, 10);
  play(lifecycle, 10 + 400'000);
  EXPECT_TRUE(lifecycle.effects().accepts);
  play(lifecycle, 10 + Lifecycle::kAcceptAfterStop);
  EXPECT_FALSE(lifecycle.effects().accepts);
  EXPECT_FALSE(lifecycle.effects().mayEnd);
  play(lifecycle, 10 + Lifecycle::kAcceptAfterStop + Lifecycle::kLinger);
  EXPECT_TRUE(lifecycle.effects().mayEnd);
  EXPECT_FALSE(lifecycle.effects().mustEnd);
}

// SIGKILL comes as early as the longest deadline, 3 s at the most, and 0.7 s after SIGTERM.
struct StopCase {
  std::optional<Micros> deadline;
  Micros kill;
};
std::ostream& operator<<(std::ostream& out, const StopCase& one) {
  return out << "deadline " << one.deadline.value_or(-1) << " us, SIGKILL at " << one.kill << " us";
}
class StopBoundTest : public testing::TestWithParam<StopCase> {};

TEST_P(StopBoundTest, EndsAheadOfTheKillWhereverTheProcessIsHeldUp) {
  constexpr Micros kHeldUp = 150'000;
  const Micros kill = 10 + GetParam().kill;
  for (const bool inherited : {false, true}) {
    // Steady, and held up at any moment of the stop.
    for (Micros from = 0; from <= GetParam().kill; from += 10'000) {
      Settings settings;
      settings.inherited = inherited;
      settings.longestDeadline = GetParam().deadline;
      Lifecycle lifecycle(settings, 0);
      lifecycle.handle(Event::Terminate, 10);
      std::optional<Micros> answered, ended;
      while (lifecycle.nextChange()) {
        Micros at = *lifecycle.nextChange();
        if (from > 0 && at >= 10 + from && at < 10 + from + kHeldUp) at = 10 + from + kHeldUp;
        lifecycle.handle(Event::Tick, at);
        if (lifecycle.effects().answersAll && !answered) answered = at;
        if (lifecycle.effects().mustEnd && !ended) ended = at;
      }
      ASSERT_TRUE(answered && ended);
      EXPECT_LT(*ended, kill) << "held up from " << from;
      EXPECT_GE(*ended - *answered, Lifecycle::kAnswersAtLeast);
      EXPECT_FALSE(lifecycle.effects().takes);
      EXPECT_FALSE(lifecycle.effects().accepts);
      EXPECT_TRUE(lifecycle.effects().mayEnd);
      if (from > 0) continue;
      EXPECT_LE(*ended, kill - kHeldUp) << "the margin for a process that is held up behind its last tick";
      EXPECT_GE(*ended, kill - 200'000) << "no answer is given up earlier than it must be";
      EXPECT_GE(*answered, 10 + std::min<Micros>(GetParam().deadline.value_or(kSecond), 3 * kSecond));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Deadlines, StopBoundTest,
                         testing::Values(StopCase{std::nullopt, 3'700'000}, StopCase{0, 3'700'000},
                                         StopCase{1, 700'001}, StopCase{50'000, 750'000},
                                         StopCase{200'000, 900'000}, StopCase{kSecond, 1'700'000},
                                         StopCase{2'500'000, 3'200'000}, StopCase{3 * kSecond, 3'700'000},
                                         StopCase{3 * kSecond + 1, 3'700'000},
                                         StopCase{600 * kSecond, 3'700'000}));

// Before the bound nothing that was taken is given up, and after SIGTERM new requests still are taken.
TEST(Lifecycle, TakesRequestsUntilAllGetTheirFinalAnswer) {
  Settings settings;
  settings.longestDeadline = kSecond;
  Lifecycle lifecycle(settings, 0);
  lifecycle.handle(Event::Terminate, 0);
  play(lifecycle, lifecycle.answersAfter() - 1);
  EXPECT_TRUE(lifecycle.effects().takes);
  EXPECT_FALSE(lifecycle.effects().answersAll);
  play(lifecycle, lifecycle.answersAfter());
  EXPECT_FALSE(lifecycle.effects().takes);
  EXPECT_TRUE(lifecycle.effects().answersAll);
  EXPECT_FALSE(lifecycle.effects().mustEnd);
}

// What comes at 2 s or later is refused, also by a process that was held up as that began.
TEST(Lifecycle, ADrainRefusesInTimeWhereTheProcessIsHeldUp) {
  Lifecycle lifecycle({false, false}, 0);
  lifecycle.handle(Event::Evacuate, 0);
  play(lifecycle, Lifecycle::kDrainIdle);
  ASSERT_TRUE(lifecycle.nextChange());
  EXPECT_LT(*lifecycle.nextChange() + 150'000, 2 * kSecond);
}

}  // namespace
}  // namespace ivypost::lifecycle
