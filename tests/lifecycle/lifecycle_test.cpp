// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "lifecycle/lifecycle.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <ostream>

namespace ivypost::lifecycle {

// GoogleTest calls these functions to print values in failure messages.
void PrintTo(const Effects& effects, std::ostream* out) {
  *out << "{isReady " << effects.isReady << ", acceptsConnections " << effects.acceptsConnections
       << ", closesListeningSocket " << effects.closesListeningSocket << ", keepsConnections "
       << effects.keepsConnections << ", closesIdleConnections " << effects.closesIdleConnections
       << ", acceptsRequests " << effects.acceptsRequests << ", mayExit " << effects.mayExit << ", mustExit "
       << effects.mustExit << ", sendsFinalResponses " << effects.sendsFinalResponses << "}";
}

void PrintTo(State state, std::ostream* out) {
  *out << nameOf(state);
}

namespace {

using namespace std::chrono_literals;

constexpr Effects kReadyEffects{.isReady = true, .acceptsConnections = true, .keepsConnections = true};

// The simulated clock shows `elapsed` since its epoch.
constexpr TimePoint at(Duration elapsed) {
  return TimePoint(elapsed);
}

// Reports the timers that expire up to `end`, as the sidecar does.
void runUntil(Lifecycle& lifecycle, TimePoint end) {
  while (lifecycle.nextChange() && *lifecycle.nextChange() <= end) {
    const TimePoint now = *lifecycle.nextChange();
    lifecycle.handle(Event::TimerExpired, now);
    ASSERT_TRUE(!lifecycle.nextChange() || *lifecycle.nextChange() > now) << "timers without end";
  }
}

// A process that is alone on its listening socket, and so is ready from time 0.
class AloneTest : public testing::Test {
 protected:
  void runUntil(Duration elapsed) { lifecycle::runUntil(lifecycle, at(elapsed)); }

  Lifecycle lifecycle{Settings{}, at(0us)};
};

// A process that shares its listening socket with another one, and has no endpoints yet.
class SharedSocketTest : public testing::Test {
 protected:
  void runUntil(Duration elapsed) { lifecycle::runUntil(lifecycle, at(elapsed)); }

  Lifecycle lifecycle{Settings{.sharesListeningSocket = true}, at(0us)};
};

TEST(Lifecycle, IsReadyAtOnceWhereNobodyElseServes) {
  const Lifecycle lifecycle(Settings{}, at(5us));
  EXPECT_EQ(lifecycle.state(), State::Ready);
  EXPECT_EQ(lifecycle.effects(), kReadyEffects);
  EXPECT_FALSE(lifecycle.nextChange());
}

TEST(Lifecycle, BesideAnotherProcessAcceptsNothingBeforeItIsReady) {
  Lifecycle lifecycle({.sharesListeningSocket = true, .hasEndpoints = true}, at(0us));
  EXPECT_EQ(lifecycle.state(), State::Starting);
  EXPECT_FALSE(lifecycle.effects().isReady);
  EXPECT_FALSE(lifecycle.effects().acceptsConnections);
  lifecycle.handle(Event::EndpointListReceived, at(1000us));
  EXPECT_EQ(lifecycle.state(), State::Ready);
  EXPECT_TRUE(lifecycle.effects().acceptsConnections);
}

// The platform requires a process to be ready within 6 s, whether or not discovery answers.
class DiscoveryTimeoutTest : public testing::TestWithParam<bool> {};

TEST_P(DiscoveryTimeoutTest, SilentDiscoveryDelaysReadinessForABoundedTime) {
  const bool hasEndpoints = GetParam();
  const Duration timeout =
      hasEndpoints ? Lifecycle::kDiscoveryTimeoutWithEndpoints : Lifecycle::kDiscoveryTimeoutWithoutEndpoints;
  Lifecycle lifecycle({.sharesListeningSocket = true, .hasEndpoints = hasEndpoints}, at(100us));
  runUntil(lifecycle, at(100us + timeout - 1us));
  EXPECT_FALSE(lifecycle.effects().isReady);
  runUntil(lifecycle, at(100us + timeout));
  EXPECT_TRUE(lifecycle.effects().isReady);
  EXPECT_LT(timeout, 6s);
}

INSTANTIATE_TEST_SUITE_P(HasEndpoints, DiscoveryTimeoutTest, testing::Bool());

TEST_F(AloneTest, DrainsStepByStep) {
  ASSERT_TRUE(lifecycle.handle(Event::DrainRequested, at(1s)));
  // From the beginning the sidecar is not ready and responses close connections; new requests are still
  // served.
  EXPECT_EQ(lifecycle.effects(), Effects{.acceptsConnections = true});
  runUntil(1s + Lifecycle::kDrainIdleCloseDelay);
  EXPECT_TRUE(lifecycle.effects().closesIdleConnections);
  EXPECT_TRUE(lifecycle.effects().acceptsRequests);
  runUntil(1s + Lifecycle::kDrainRequestPeriod);
  EXPECT_FALSE(lifecycle.effects().acceptsRequests);
  // 4 s after the beginning of a drain, no request that arrived in the last 2 s may be in flight.
  EXPECT_LT(Lifecycle::kDrainRequestPeriod, 2s);
  EXPECT_FALSE(lifecycle.nextChange()) << "the process goes on running";
  EXPECT_FALSE(lifecycle.effects().mayExit);
}

TEST_F(AloneTest, ASecondRequestDoesNotRestartTheDrain) {
  lifecycle.handle(Event::DrainRequested, at(0us));
  ASSERT_TRUE(lifecycle.handle(Event::DrainRequested, at(Lifecycle::kDrainIdleCloseDelay - 1us)));
  runUntil(Lifecycle::kDrainIdleCloseDelay);
  EXPECT_TRUE(lifecycle.effects().closesIdleConnections);
}

// The parameter is the time from the beginning of the drain to its cancellation.
class DrainCancelledTest : public testing::TestWithParam<Duration> {};

TEST_P(DrainCancelledTest, IsReadyAgain) {
  Lifecycle lifecycle(Settings{}, at(0us));
  lifecycle.handle(Event::DrainRequested, at(0us));
  runUntil(lifecycle, at(GetParam()));
  ASSERT_TRUE(lifecycle.handle(Event::DrainCancelled, at(GetParam())));
  EXPECT_EQ(lifecycle.state(), State::Ready);
  EXPECT_EQ(lifecycle.effects(), kReadyEffects);
}

INSTANTIATE_TEST_SUITE_P(Steps, DrainCancelledTest,
                         testing::Values(Duration(1us), Lifecycle::kDrainIdleCloseDelay + 1us,
                                         Lifecycle::kDrainRequestPeriod + 1s));

TEST_F(AloneTest, CancellingWithoutADrainChangesNothing) {
  EXPECT_TRUE(lifecycle.handle(Event::DrainCancelled, at(1us)));
  EXPECT_EQ(lifecycle.state(), State::Ready);
}

TEST_F(SharedSocketTest, KeepsADrainThatWasRequestedBeforeItIsReady) {
  lifecycle.handle(Event::DrainRequested, at(1us));
  lifecycle.handle(Event::EndpointListReceived, at(2us));
  EXPECT_EQ(lifecycle.state(), State::Draining);
  lifecycle.handle(Event::DrainCancelled, at(3us));
  EXPECT_EQ(lifecycle.state(), State::Ready);
}

TEST_F(SharedSocketTest, WaitsForDiscoveryAgainWhenTheDrainIsCancelled) {
  lifecycle.handle(Event::DrainRequested, at(1us));
  lifecycle.handle(Event::DrainCancelled, at(2us));
  EXPECT_EQ(lifecycle.state(), State::Starting);
  EXPECT_FALSE(lifecycle.effects().acceptsConnections);
  EXPECT_FALSE(lifecycle.effects().closesListeningSocket) << "it accepts connections again later";
  runUntil(Lifecycle::kDiscoveryTimeoutWithoutEndpoints);
  EXPECT_EQ(lifecycle.state(), State::Ready);
}

// Guards against a process that is ready but accepts no connection: in a drain that was cancelled before the
// first list, the listening socket was closed, although the process was to accept again.
TEST(Lifecycle, ClosesTheListeningSocketOnlyWhenItNeverAcceptsAgain) {
  constexpr std::array kEvents = {Event::EndpointListReceived, Event::DrainRequested, Event::DrainCancelled,
                                  Event::TerminationRequested, Event::TimerExpired};
  constexpr int kSteps = 6;
  constexpr int kSequences = 15'625;  // 5 events in 6 steps
  for (const bool isShared : {false, true}) {
    for (int sequence = 0; sequence < kSequences; ++sequence) {
      Lifecycle lifecycle({.sharesListeningSocket = isShared, .hasEndpoints = true}, at(0us));
      bool isClosed = false;
      for (int step = 0, rest = sequence; step < kSteps; ++step, rest /= static_cast<int>(kEvents.size())) {
        lifecycle.handle(kEvents.at(static_cast<std::size_t>(rest) % kEvents.size()),
                         at((step + 1) * 300'000us));
        isClosed = isClosed || lifecycle.effects().closesListeningSocket;
        ASSERT_EQ(lifecycle.effects().closesListeningSocket, isClosed) << sequence << " step " << step;
        ASSERT_FALSE(isClosed && lifecycle.effects().acceptsConnections) << sequence << " step " << step;
        ASSERT_FALSE(isClosed && lifecycle.effects().isReady) << sequence << " step " << step;
      }
    }
  }
}

// The parameter is the state in which SIGTERM is received.
class StopFromStateTest : public testing::TestWithParam<State> {};

TEST_P(StopFromStateTest, IsFinal) {
  Lifecycle lifecycle({.sharesListeningSocket = GetParam() == State::Starting}, at(0us));
  if (GetParam() == State::Draining) lifecycle.handle(Event::DrainRequested, at(0us));
  ASSERT_EQ(lifecycle.state(), GetParam());
  lifecycle.handle(Event::TerminationRequested, at(10us));
  ASSERT_EQ(lifecycle.state(), State::Stopping);
  EXPECT_FALSE(lifecycle.handle(Event::DrainRequested, at(20us)));
  EXPECT_FALSE(lifecycle.handle(Event::DrainCancelled, at(20us)));
  lifecycle.handle(Event::EndpointListReceived, at(30us));
  lifecycle.handle(Event::TerminationRequested, at(1s));
  EXPECT_EQ(lifecycle.state(), State::Stopping);
  EXPECT_FALSE(lifecycle.effects().isReady);
  runUntil(lifecycle, at(10us + lifecycle.exitDelay()));
  EXPECT_TRUE(lifecycle.effects().mustExit) << "a second SIGTERM must not postpone the exit";
}

INSTANTIATE_TEST_SUITE_P(States, StopFromStateTest,
                         testing::Values(State::Starting, State::Ready, State::Draining));

TEST_F(SharedSocketTest, AcceptsNoConnectionAfterSigterm) {
  lifecycle.handle(Event::EndpointListReceived, at(0us));
  lifecycle.handle(Event::TerminationRequested, at(10us));
  EXPECT_FALSE(lifecycle.effects().acceptsConnections);
  EXPECT_FALSE(lifecycle.effects().mayExit) << "a connection just accepted may have a request on its way";
  runUntil(10us + Lifecycle::kStopLinger);
  EXPECT_TRUE(lifecycle.effects().mayExit);
}

// Clients continue to connect for up to 0.4 s after SIGTERM, and no other process accepts their connections.
TEST_F(AloneTest, AcceptsConnectionsForAWhileAfterSigterm) {
  lifecycle.handle(Event::TerminationRequested, at(10us));
  runUntil(10us + 400'000us);
  EXPECT_TRUE(lifecycle.effects().acceptsConnections);
  runUntil(10us + Lifecycle::kStopAcceptPeriod);
  EXPECT_FALSE(lifecycle.effects().acceptsConnections);
  EXPECT_FALSE(lifecycle.effects().mayExit);
  runUntil(10us + Lifecycle::kStopAcceptPeriod + Lifecycle::kStopLinger);
  EXPECT_TRUE(lifecycle.effects().mayExit);
  EXPECT_FALSE(lifecycle.effects().mustExit);
}

// SIGKILL follows SIGTERM at the earliest after the longest request deadline (counted as at most 3 s) plus
// 0.7 s.
struct StopCase {
  std::optional<Duration> deadline;
  Duration kill;
};
std::ostream& operator<<(std::ostream& out, const StopCase& row) {
  return out << "deadline " << row.deadline.value_or(-1us).count() << " us, SIGKILL at " << row.kill.count()
             << " us";
}
class StopBoundTest : public testing::TestWithParam<StopCase> {};

TEST_P(StopBoundTest, ExitsAheadOfTheKillWheneverTheProcessIsSuspended) {
  constexpr Duration kSuspension = 150'000us;
  const TimePoint kill = at(10us + GetParam().kill);
  for (const bool isShared : {false, true}) {
    // The process is never suspended (from = 0), or suspended at each time of the stop in turn.
    for (Duration from = 0us; from <= GetParam().kill; from += 10'000us) {
      const TimePoint suspended = at(10us + from);
      Lifecycle lifecycle({.sharesListeningSocket = isShared, .longestDeadline = GetParam().deadline},
                          at(0us));
      lifecycle.handle(Event::TerminationRequested, at(10us));
      std::optional<TimePoint> answered, exited;
      while (lifecycle.nextChange()) {
        TimePoint now = *lifecycle.nextChange();
        if (from > 0us && now >= suspended && now < suspended + kSuspension) now = suspended + kSuspension;
        lifecycle.handle(Event::TimerExpired, now);
        if (lifecycle.effects().sendsFinalResponses && !answered) answered = now;
        if (lifecycle.effects().mustExit && !exited) exited = now;
      }
      ASSERT_TRUE(answered && exited);
      EXPECT_LT(*exited, kill) << "suspended from " << from.count() << " us";
      EXPECT_GE(*exited - *answered, Lifecycle::kMinFinalResponsePeriod);
      EXPECT_FALSE(lifecycle.effects().acceptsRequests);
      EXPECT_FALSE(lifecycle.effects().acceptsConnections);
      EXPECT_TRUE(lifecycle.effects().mayExit);
      if (from > 0us) continue;
      EXPECT_LE(*exited, kill - kSuspension) << "the margin for a process suspended behind its last timer";
      EXPECT_GE(*exited, kill - 200'000us) << "no response is abandoned earlier than it must be";
      EXPECT_GE(*answered, at(10us + std::min<Duration>(GetParam().deadline.value_or(1s), 3s)));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Deadlines, StopBoundTest,
                         testing::Values(StopCase{std::nullopt, 3'700'000us}, StopCase{0us, 3'700'000us},
                                         StopCase{1us, 700'001us}, StopCase{50'000us, 750'000us},
                                         StopCase{200'000us, 900'000us}, StopCase{1s, 1'700'000us},
                                         StopCase{2'500'000us, 3'200'000us}, StopCase{3s, 3'700'000us},
                                         StopCase{3s + 1us, 3'700'000us}, StopCase{600s, 3'700'000us}));

// Until finalResponseDelay() after SIGTERM, no accepted request is abandoned and new ones are still accepted.
TEST(Lifecycle, AcceptsRequestsUntilAllGetTheirFinalResponse) {
  Lifecycle lifecycle({.longestDeadline = 1s}, at(0us));
  lifecycle.handle(Event::TerminationRequested, at(0us));
  runUntil(lifecycle, at(lifecycle.finalResponseDelay() - 1us));
  EXPECT_TRUE(lifecycle.effects().acceptsRequests);
  EXPECT_FALSE(lifecycle.effects().sendsFinalResponses);
  runUntil(lifecycle, at(lifecycle.finalResponseDelay()));
  EXPECT_FALSE(lifecycle.effects().acceptsRequests);
  EXPECT_TRUE(lifecycle.effects().sendsFinalResponses);
  EXPECT_FALSE(lifecycle.effects().mustExit);
}

// Requests that arrive 2 s or more after the beginning of a drain are rejected, even if the process is
// suspended when the rejections are due.
TEST_F(AloneTest, ADrainRejectsInTimeWhereTheProcessIsSuspended) {
  lifecycle.handle(Event::DrainRequested, at(0us));
  runUntil(Lifecycle::kDrainIdleCloseDelay);
  ASSERT_TRUE(lifecycle.nextChange());
  EXPECT_LT(*lifecycle.nextChange() + 150'000us, at(2s));
}

}  // namespace
}  // namespace ivypost::lifecycle
