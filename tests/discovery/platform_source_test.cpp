// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// PlatformSource when calls, responses and timeouts overlap. The order of events is fixed by what the peer
// writes and by when the event loop runs.
#include "discovery/platform_source.h"

#include <thread>

#include "sidecar_rig.h"

namespace ivypost::discovery {
namespace {

using std::chrono::milliseconds;

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(Clock::now());
}

std::string listOf(int generation, const char* lifecycle) {
  return json{{"generation", generation},
              {"reset", false},
              {"instances", {{{"instanceId", "s-1"}, {"hostPort", "127.0.0.1:9"}, {"lifecycle", lifecycle}}}}}
      .dump();
}

class PlatformSourceTest : public testing::Test {
 protected:
  void watch(bool isPushed, PlatformSource::Timeouts timeouts) {
    PlatformSource::Settings settings;
    settings.address = parseEndpoint(discovery.address());
    settings.generation = 41;
    settings.isPushed = isPushed;
    settings.timeouts = timeouts;
    platform = std::make_unique<PlatformSource>(
        io, settings,
        Source::Callbacks{[this](const EndpointList& list) { lists.push_back(list); },
                          [this] { ++failures; }},
        [](const std::string&) {});
    platform->watch();
  }
  bool calls(std::size_t count) {
    return until(io, [&] { return discovery.requests.size() >= count; });
  }
  std::string target(std::size_t n) const { return std::string(discovery.requests.at(n).message.target()); }

  asio::io_context io;
  Peer discovery{io};
  std::vector<EndpointList> lists;
  int failures = 0;
  std::unique_ptr<PlatformSource> platform;
};

// A change that a silent watch misses counts as notified 2 s after the end of the watch's wait. The next
// call has to be sent and answered by then, so it must not wait for a backoff.
class SilentWatchTest : public PlatformSourceTest, public testing::WithParamInterface<const char*> {};

TEST_P(SilentWatchTest, IsReopenedImmediatelyIfDiscoveryIsPolled) {
  watch(false, {milliseconds(30), milliseconds(30), milliseconds(60'000)});
  ASSERT_TRUE(calls(1));
  discovery.requests[0].raw(GetParam());  // the response stays incomplete
  ASSERT_TRUE(calls(2));
  EXPECT_EQ(target(1), target(0));
  EXPECT_EQ(failures, 0);
  EXPECT_FALSE(platform->freshness().isConfirmed);
  discovery.requests[1].reply(200, listOf(42, "draining"));
  ASSERT_TRUE(until(io, [&] { return lists.size() == 1; }));
  EXPECT_EQ(lists[0].instances.at(0).state, balancer::EndpointState::Draining);
  EXPECT_TRUE(platform->freshness().isConfirmed);
}
INSTANTIATE_TEST_SUITE_P(From, SilentWatchTest,
                         testing::Values("", "HTTP/1.1 200",
                                         "HTTP/1.1 200 x\r\nContent-Length: 50\r\n\r\n{\"gen"));

// Guards against repeated calls: each silent watch is followed by exactly one call.
TEST_F(PlatformSourceTest, EachSilentWatchCostsOneCall) {
  watch(false, {milliseconds(20), milliseconds(20), milliseconds(60'000)});
  const auto from = Clock::now();
  ASSERT_TRUE(calls(4));
  EXPECT_GE(Clock::now() - from, milliseconds(3 * 40));
  EXPECT_EQ(failures, 0);
}

// Checks the timeouts against the limits within which a change counts as notified. Polled: 2 s after the
// watch's wait; 4 s after SIGHUP, of which 0.94 s may be backoff. Pushed: 6 s after the watch became
// silent.
TEST(PlatformSourceTimes, LeaveTimeForTheCallAfterASilentWatch) {
  EXPECT_LE(PlatformSource::kPolledTimeouts.watchGrace, milliseconds(1000));
  EXPECT_LE(PlatformSource::kPolledTimeouts.watchWait, milliseconds(60'000));
  EXPECT_LE(PlatformSource::kPolledTimeouts.plainCall, milliseconds(3000));
  EXPECT_LE(PlatformSource::kPushedTimeouts.watchWait + PlatformSource::kPushedTimeouts.watchGrace,
            milliseconds(3000));
  EXPECT_LE(PlatformSource::kPushedTimeouts.plainCall, milliseconds(500));
}

// A plain call without a response is reported as a failure, after which the caller backs off.
TEST_F(PlatformSourceTest, APlainCallWithoutAResponseIsAFailure) {
  watch(false, {milliseconds(60'000), milliseconds(60'000), milliseconds(20)});
  ASSERT_TRUE(calls(1));
  platform->fetch();
  ASSERT_TRUE(until(io, [&] { return failures == 1; }));
  EXPECT_EQ(target(1), "/v1/endpoints");
}

// What an agent receives when discovery is back counts as notified immediately, so the source requests it
// without a wait instead of opening a watch.
TEST_F(PlatformSourceTest, AnAgentThatWasSilentIsAskedForWhatItHas) {
  watch(true, {milliseconds(30), milliseconds(30), milliseconds(30)});
  ASSERT_TRUE(calls(3));
  EXPECT_EQ(target(0), "/v1/endpoints?index=41&wait=30");
  EXPECT_EQ(target(1), "/v1/endpoints?index=41&wait=0");
  EXPECT_EQ(target(2), "/v1/endpoints?index=41&wait=0");
  discovery.requests.back().reply(200, listOf(42, "draining"));
  ASSERT_TRUE(until(io, [&] { return lists.size() == 1; }));
  const std::size_t before = discovery.requests.size();
  ASSERT_TRUE(calls(before + 1));
  EXPECT_EQ(target(before), "/v1/endpoints?index=42&wait=30");
}

// The response has arrived and the timeout has expired when the event loop runs next: the response is read,
// and the timer's handler, which is queued after it, must not close the connection.
TEST_F(PlatformSourceTest, AnAnswerInTheTurnInWhichItsTimeRunsOutCounts) {
  for (const bool pushed : {false, true}) {
    discovery.requests.clear();
    const std::size_t lines = discovery.connections.size();
    watch(pushed, {milliseconds(20), milliseconds(20), milliseconds(60'000)});
    ASSERT_TRUE(calls(1));
    discovery.requests[0].reply(200, listOf(42, "draining"));
    std::this_thread::sleep_until(Clock::now() +
                                  milliseconds(41));  // the event loop is blocked until after the timeout
    ASSERT_TRUE(calls(2));
    EXPECT_EQ(discovery.connections.size(), lines + 1);
    EXPECT_EQ(failures, 0);
    platform.reset();
  }
  EXPECT_EQ(lists.size(), 2u);
}

// Guards against a busy loop when discovery answers each watch immediately without changes.
TEST_F(PlatformSourceTest, WatchesAnsweredAtOnceWithNothingAreNotRepeatedAtOnce) {
  discovery.onRequest = [](Peer::Exchange& call) {
    call.reply(200, R"({"generation":41,"reset":false,"instances":[]})");
  };
  watch(false, {milliseconds(20'000), milliseconds(20'000), milliseconds(60'000)});
  const auto from = Clock::now();
  ASSERT_TRUE(calls(4));
  EXPECT_GE(Clock::now() - from, milliseconds(3 * 100 - 5));
  EXPECT_EQ(discovery.connections.size(), 1u);
}

// A second response after the first one, received with it or later, must not be read as the response to the
// next call.
TEST_F(PlatformSourceTest, BytesBehindAResponseAreNotReadAsTheNextResponse) {
  watch(true, {milliseconds(20'000), milliseconds(20'000), milliseconds(60'000)});
  ASSERT_TRUE(calls(1));
  const std::string late = listOf(43, "up");
  const std::string second =
      "HTTP/1.1 200 x\r\nContent-Length: " + std::to_string(late.size()) + "\r\n\r\n" + late;
  discovery.requests[0].reply(200, listOf(42, "draining"));
  discovery.requests[0].raw(second);
  ASSERT_TRUE(calls(2));
  EXPECT_EQ(lists.size(), 1u);
  EXPECT_EQ(discovery.connections.size(), 2u);
  discovery.requests[1].reply(200, listOf(43, "removed"));
  ASSERT_TRUE(calls(3));
  EXPECT_EQ(lists.size(), 2u);
  EXPECT_EQ(lists[1].instances.at(0).state, balancer::EndpointState::Gone);
}

// A connection that discovery has closed after its response must not be reused: the next call would fail.
TEST_F(PlatformSourceTest, AConnectionClosedBehindAnAnswerCostsNoFailure) {
  watch(false, {milliseconds(20'000), milliseconds(20'000), milliseconds(60'000)});
  ASSERT_TRUE(calls(1));
  discovery.requests[0].reply(200, listOf(42, "draining"));
  discovery.requests[0].drop();
  ASSERT_TRUE(calls(2));
  EXPECT_EQ(failures, 0);
  EXPECT_EQ(target(1), "/v1/endpoints?index=42&wait=20000");
}

// Checks previousUntil, the time until which the previous list is known to have been current. It bounds the
// start times of the instances that a list adds.
TEST_F(PlatformSourceTest, ReportsUntilWhenThePreviousListWasCurrent) {
  watch(false, {milliseconds(300), milliseconds(100), milliseconds(60'000)});
  ASSERT_TRUE(calls(1));
  discovery.requests[0].reply(200, listOf(42, "up"));
  ASSERT_TRUE(calls(2));
  ASSERT_EQ(lists.size(), 1u);
  EXPECT_FALSE(lists[0].previousUntil) << "the first list has no previous list";
  // An open watch reports a change immediately, however long there was none.
  ASSERT_TRUE(until(io, [end = Clock::now() + milliseconds(100)] { return Clock::now() >= end; }));
  const TimePoint replied = now();
  discovery.requests[1].reply(200, listOf(43, "up"));
  ASSERT_TRUE(calls(3));
  ASSERT_EQ(lists.size(), 2u);
  ASSERT_TRUE(lists[1].previousUntil);
  EXPECT_GE(*lists[1].previousUntil, replied);
  EXPECT_LE(*lists[1].previousUntil, now());
  // A watch that timed out may have missed any change since the last response, and its reopening confirms
  // nothing.
  const TimePoint answered = now();
  ASSERT_TRUE(calls(4));
  discovery.requests[3].reply(200, listOf(44, "up"));
  ASSERT_TRUE(calls(5));
  ASSERT_EQ(lists.size(), 3u);
  ASSERT_TRUE(lists[2].previousUntil);
  EXPECT_GE(*lists[2].previousUntil, replied);
  EXPECT_LE(*lists[2].previousUntil, answered);
  // A response without changes confirms the list again.
  discovery.requests[4].reply(200, R"({"generation":44,"reset":false,"instances":[]})");
  ASSERT_TRUE(calls(6));
  ASSERT_TRUE(until(io, [end = Clock::now() + milliseconds(20)] { return Clock::now() >= end; }));
  const TimePoint renewed = now();
  platform->fetch();
  ASSERT_TRUE(calls(7));
  json complete = json::parse(listOf(45, "up"));
  complete["reset"] = true;
  discovery.requests[6].reply(200, complete.dump());
  ASSERT_TRUE(calls(8));
  ASSERT_EQ(lists.size(), 4u);
  EXPECT_GE(*lists[3].previousUntil, answered);
  EXPECT_LE(*lists[3].previousUntil, renewed)
      << "a plain call may return changes that are older than the call";
}

// With a list from the previous process the first call is a watch. Once it has waited for longer than
// discovery may take to respond, it confirms that the list is current.
TEST_F(PlatformSourceTest, AFirstWatchThatWaitsConfirmsTheListThatIsKnown) {
  watch(false, {milliseconds(20'000), milliseconds(1000), milliseconds(60'000)});
  ASSERT_TRUE(calls(1));
  ASSERT_TRUE(until(io, [end = Clock::now() + milliseconds(3050)] { return Clock::now() >= end; }));
  const TimePoint replied = now();
  discovery.requests[0].reply(200, listOf(42, "up"));
  ASSERT_TRUE(calls(2));
  ASSERT_EQ(lists.size(), 1u);
  ASSERT_TRUE(lists[0].previousUntil);
  EXPECT_GE(*lists[0].previousUntil, replied);
}

// An overloaded, slow or failing discovery: the last list stays, there is a pause between calls, and the
// next valid response is accepted.
struct FaultyResponse {
  const char* name;
  const char* bytes;  // of the response
  bool closes;        // the peer closes the connection after the bytes
};
std::ostream& operator<<(std::ostream& out, const FaultyResponse& one) {
  return out << one.name;
}
class FaultyDiscoveryTest : public PlatformSourceTest, public testing::WithParamInterface<FaultyResponse> {};

TEST_P(FaultyDiscoveryTest, LeavesTheLastListAndIsNotCalledWithoutPause) {
  for (const bool pushed : {true, false}) {
    SCOPED_TRACE(pushed ? "pushed" : "polled");
    discovery.requests.clear();
    lists.clear();
    failures = 0;
    std::size_t calls = 0;
    discovery.onRequest = [&](Peer::Exchange& call) {
      ++calls;
      if (calls > 3) return call.reply(200, listOf(42, "draining"));
      call.raw(GetParam().bytes);
      if (GetParam().closes) call.drop();
    };
    const auto from = Clock::now();
    watch(pushed, {milliseconds(150), milliseconds(50), milliseconds(200)});
    ASSERT_TRUE(until(io, [&] {
      // The owner of a polled source retries after a failure; here without a pause.
      if (!pushed && failures > 0) platform->watch();
      return !lists.empty();
    }));
    EXPECT_GE(calls, 4u);
    EXPECT_EQ(lists[0].instances.at(0).state, balancer::EndpointState::Draining);
    EXPECT_TRUE(platform->freshness().isConfirmed);
    if (pushed) {
      EXPECT_GE(Clock::now() - from, milliseconds(3 * 100 - 5)) << "an agent is called again without a pause";
    }
    platform.reset();
  }
}
INSTANTIATE_TEST_SUITE_P(
    Of, FaultyDiscoveryTest,
    testing::Values(FaultyResponse{"crowded", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false},
                    FaultyResponse{"crowded, with a time",
                                   "HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", false},
                    FaultyResponse{"silent", "", false}, FaultyResponse{"closed", "", true},
                    FaultyResponse{"slow head", "HTTP/1.1 200", false},
                    FaultyResponse{"slow body", "HTTP/1.1 200 x\r\nContent-Length: 50\r\n\r\n{", false},
                    FaultyResponse{"cut body", "HTTP/1.1 200 x\r\nContent-Length: 50\r\n\r\n{", true},
                    FaultyResponse{"no list", "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n{}", false},
                    FaultyResponse{"no JSON", "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n]]", false}));

}  // namespace
}  // namespace ivypost::discovery
