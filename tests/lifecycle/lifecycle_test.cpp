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
void runUntil(Lifecycle& lifecycle, Micros to) {
  while (lifecycle.nextChange() && *lifecycle.nextChange() <= to) {
    const Micros at = *lifecycle.nextChange();
    lifecycle.handle(Event::TimerExpired, at);
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
  EXPECT_FALSE(lifecycle.effects().isReady);
  EXPECT_FALSE(lifecycle.effects().acceptsConnections);
  lifecycle.handle(Event::EndpointListReceived, 1000);
  EXPECT_EQ(lifecycle.state(), State::Ready);
  EXPECT_TRUE(lifecycle.effects().acceptsConnections);
}

// The platform wants the yes within 6 s, whether discovery answers or not.
TEST(Lifecycle, SilentDiscoveryDelaysTheYesForABoundedTime) {
  for (const bool known : {true, false}) {
    Lifecycle lifecycle({true, known}, 100);
    const Micros wait =
        known ? Lifecycle::kDiscoveryTimeoutWithEndpoints : Lifecycle::kDiscoveryTimeoutWithoutEndpoints;
    runUntil(lifecycle, 100 + wait - 1);
    EXPECT_FALSE(lifecycle.effects().isReady);
    runUntil(lifecycle, 100 + wait);
    EXPECT_TRUE(lifecycle.effects().isReady);
    EXPECT_LT(wait, 6 * kSecond);
  }
}

TEST(Lifecycle, ADrainGoesStepByStep) {
  Lifecycle lifecycle({false, false}, 0);
  ASSERT_TRUE(lifecycle.handle(Event::DrainRequested, kSecond));
  // At once: no to the front, answers end connections; what still comes is served.
  EXPECT_EQ(lifecycle.effects(), (Effects{false, true, false, false, true, false, false}));
  runUntil(lifecycle, kSecond + Lifecycle::kDrainIdleCloseDelay);
  EXPECT_TRUE(lifecycle.effects().closesIdleConnections);
  EXPECT_TRUE(lifecycle.effects().acceptsRequests);
  runUntil(lifecycle, kSecond + Lifecycle::kDrainRequestPeriod);
  EXPECT_FALSE(lifecycle.effects().acceptsRequests);
  // At 4 s nothing of the last 2 s may be held.
  EXPECT_LT(Lifecycle::kDrainRequestPeriod, 2 * kSecond);
  EXPECT_FALSE(lifecycle.nextChange()) << "the process runs on";
  EXPECT_FALSE(lifecycle.effects().mayExit);
}

TEST(Lifecycle, ASecondEvacuateDoesNotBeginTheDrainAnew) {
  Lifecycle lifecycle({false, false}, 0);
  lifecycle.handle(Event::DrainRequested, 0);
  ASSERT_TRUE(lifecycle.handle(Event::DrainRequested, Lifecycle::kDrainIdleCloseDelay - 1));
  runUntil(lifecycle, Lifecycle::kDrainIdleCloseDelay);
  EXPECT_TRUE(lifecycle.effects().closesIdleConnections);
}

TEST(Lifecycle, RejoinEndsTheDrainWhereverItStands) {
  for (const Micros at :
       {Micros{1}, Lifecycle::kDrainIdleCloseDelay + 1, Lifecycle::kDrainRequestPeriod + kSecond}) {
    Lifecycle lifecycle({false, false}, 0);
    lifecycle.handle(Event::DrainRequested, 0);
    runUntil(lifecycle, at);
    ASSERT_TRUE(lifecycle.handle(Event::DrainCancelled, at));
    EXPECT_EQ(lifecycle.state(), State::Ready);
    EXPECT_EQ(lifecycle.effects(), (Effects{true, true, true, false, true, false, false}));
  }
}

TEST(Lifecycle, RejoinWithoutADrainChangesNothing) {
  Lifecycle lifecycle({false, false}, 0);
  EXPECT_TRUE(lifecycle.handle(Event::DrainCancelled, 1));
  EXPECT_EQ(lifecycle.state(), State::Ready);
}

TEST(Lifecycle, ADrainBeforeTheYesIsNotLost) {
  Lifecycle lifecycle({true, false}, 0);
  lifecycle.handle(Event::DrainRequested, 1);
  lifecycle.handle(Event::EndpointListReceived, 2);
  EXPECT_EQ(lifecycle.state(), State::Draining);
  lifecycle.handle(Event::DrainCancelled, 3);
  EXPECT_EQ(lifecycle.state(), State::Ready);
  Lifecycle unlisted({true, false}, 0);
  unlisted.handle(Event::DrainRequested, 1);
  unlisted.handle(Event::DrainCancelled, 2);
  EXPECT_EQ(unlisted.state(), State::Starting);
  runUntil(unlisted, Lifecycle::kDiscoveryTimeoutWithoutEndpoints);
  EXPECT_EQ(unlisted.state(), State::Ready);
}

TEST(Lifecycle, StopsFromEveryStateAndForGood) {
  for (const int from : {0, 1, 2}) {
    Lifecycle lifecycle({from == 0, false}, 0);
    if (from == 2) lifecycle.handle(Event::DrainRequested, 0);
    lifecycle.handle(Event::TerminationRequested, 10);
    ASSERT_EQ(lifecycle.state(), State::Stopping);
    EXPECT_FALSE(lifecycle.handle(Event::DrainRequested, 20));
    EXPECT_FALSE(lifecycle.handle(Event::DrainCancelled, 20));
    lifecycle.handle(Event::EndpointListReceived, 30);
    lifecycle.handle(Event::TerminationRequested, kSecond);
    EXPECT_EQ(lifecycle.state(), State::Stopping);
    EXPECT_FALSE(lifecycle.effects().isReady);
    runUntil(lifecycle, 10 + lifecycle.exitDelay());
    EXPECT_TRUE(lifecycle.effects().mustExit) << "a second SIGTERM must not put the end off";
  }
}

TEST(Lifecycle, WhereTheSocketIsInheritedAStopAcceptsNothingMore) {
  Lifecycle lifecycle({true, false}, 0);
  lifecycle.handle(Event::EndpointListReceived, 0);
  lifecycle.handle(Event::TerminationRequested, 10);
  EXPECT_FALSE(lifecycle.effects().acceptsConnections);
  EXPECT_FALSE(lifecycle.effects().mayExit) << "what was just accepted may have a request on its way";
  runUntil(lifecycle, 10 + Lifecycle::kStopLinger);
  EXPECT_TRUE(lifecycle.effects().mayExit);
}

// New connections go on coming for up to 0.4 s after SIGTERM, and nobody else takes them.
TEST(Lifecycle, WhereItIsOursAStopAcceptsForAWhile) {
  Lifecycle lifecycle({false, false}, 0);
  lifecycle.handle(Event::TerminationRequested, 10);
  runUntil(lifecycle, 10 + 400'000);
  EXPECT_TRUE(lifecycle.effects().acceptsConnections);
  runUntil(lifecycle, 10 + Lifecycle::kStopAcceptPeriod);
  EXPECT_FALSE(lifecycle.effects().acceptsConnections);
  EXPECT_FALSE(lifecycle.effects().mayExit);
  runUntil(lifecycle, 10 + Lifecycle::kStopAcceptPeriod + Lifecycle::kStopLinger);
  EXPECT_TRUE(lifecycle.effects().mayExit);
  EXPECT_FALSE(lifecycle.effects().mustExit);
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
      settings.sharesListeningSocket = inherited;
      settings.longestDeadline = GetParam().deadline;
      Lifecycle lifecycle(settings, 0);
      lifecycle.handle(Event::TerminationRequested, 10);
      std::optional<Micros> answered, ended;
      while (lifecycle.nextChange()) {
        Micros at = *lifecycle.nextChange();
        if (from > 0 && at >= 10 + from && at < 10 + from + kHeldUp) at = 10 + from + kHeldUp;
        lifecycle.handle(Event::TimerExpired, at);
        if (lifecycle.effects().sendsFinalResponses && !answered) answered = at;
        if (lifecycle.effects().mustExit && !ended) ended = at;
      }
      ASSERT_TRUE(answered && ended);
      EXPECT_LT(*ended, kill) << "held up from " << from;
      EXPECT_GE(*ended - *answered, Lifecycle::kMinFinalResponsePeriod);
      EXPECT_FALSE(lifecycle.effects().acceptsRequests);
      EXPECT_FALSE(lifecycle.effects().acceptsConnections);
      EXPECT_TRUE(lifecycle.effects().mayExit);
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
  lifecycle.handle(Event::TerminationRequested, 0);
  runUntil(lifecycle, lifecycle.finalResponseDelay() - 1);
  EXPECT_TRUE(lifecycle.effects().acceptsRequests);
  EXPECT_FALSE(lifecycle.effects().sendsFinalResponses);
  runUntil(lifecycle, lifecycle.finalResponseDelay());
  EXPECT_FALSE(lifecycle.effects().acceptsRequests);
  EXPECT_TRUE(lifecycle.effects().sendsFinalResponses);
  EXPECT_FALSE(lifecycle.effects().mustExit);
}

// What comes at 2 s or later is refused, also by a process that was held up as that began.
TEST(Lifecycle, ADrainRefusesInTimeWhereTheProcessIsHeldUp) {
  Lifecycle lifecycle({false, false}, 0);
  lifecycle.handle(Event::DrainRequested, 0);
  runUntil(lifecycle, Lifecycle::kDrainIdleCloseDelay);
  ASSERT_TRUE(lifecycle.nextChange());
  EXPECT_LT(*lifecycle.nextChange() + 150'000, 2 * kSecond);
}

}  // namespace
}  // namespace ivypost::lifecycle
