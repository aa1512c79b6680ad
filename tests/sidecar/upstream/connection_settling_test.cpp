// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests of the period after an answer in which its connection carries no other request (kSettlingTime).
#include <gtest/gtest.h>

#include <chrono>

#include "sidecar/upstream/pool_fixture.h"
#include "upstream/idle_connection_choice.h"

namespace ivypost {
namespace {

class ConnectionSettlingTest : public PoolTest {
 protected:
  ConnectionSettlingTest() {
    open(json::object());
    pool->setAddress(0, parseEndpoint(upstream.address()));
  }
  // Sends attempt 1 and answers it; its connection becomes idle.
  void completeFirstAttempt() {
    send(1, "x");
    ASSERT_TRUE(wait([&] { return upstream.requests.size() == 1; }));
    answeredAt = Clock::now();
    upstream.requests[0].reply(200, "answer 1");
    ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  }
  // Waits for the request with this index, and answers it.
  void answer(std::size_t index, const std::string& body) {
    ASSERT_TRUE(wait([&] { return upstream.requests.size() > index; }));
    upstream.requests[index].reply(200, body);
  }

  Peer upstream{io};
  Clock::time_point answeredAt;  // at or before the time at which the first connection became idle
};

// Guards against a wrong answer: an upstream sends its answer a second time, some milliseconds late, and the
// copy was read as the answer to the next request, which had been written in between.
TEST_F(ConnectionSettlingTest, ALateSecondAnswerIsNotServedToTheNextRequest) {
  completeFirstAttempt();
  send(2, "x");
  upstream.requests[0].reply(200, "answer 1");
  answer(1, "answer 2");
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::Ok);
  EXPECT_EQ(ends[1].body, "answer 2");
  EXPECT_EQ(upstream.connections.size(), 2u);
}

// The same with a late second answer to a probe: a load report must not be served to a client.
TEST_F(ConnectionSettlingTest, ALateSecondProbeAnswerIsNotServedToTheNextRequest) {
  pool->probe(0);
  answer(0, "TEXT busy_reqs=1");
  ASSERT_TRUE(wait([&] { return probeEnds.size() == 1; }));
  send(1, "x");
  upstream.requests[0].reply(200, "TEXT busy_reqs=1");
  answer(1, "answer 1");
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].outcome, Outcome::Ok);
  EXPECT_EQ(ends[0].body, "answer 1");
}

// The same with a probe behind an attempt: a probe that took the copy for its answer would leave its own
// answer on the connection, for the next request.
TEST_F(ConnectionSettlingTest, ALateSecondAnswerIsNotReadAsAProbesAnswer) {
  completeFirstAttempt();
  pool->probe(0);
  upstream.requests[0].reply(200, "answer 1");
  answer(1, "TEXT busy_reqs=3");
  ASSERT_TRUE(wait([&] { return probeEnds.size() == 1; }));
  ASSERT_TRUE(probeEnds[0].report);
  EXPECT_NE(upstream.requests[1].connection, upstream.requests[0].connection);
}

// What the fix costs where there is no fault: a wait and no connection.
TEST_F(ConnectionSettlingTest, AnAttemptWaitsForTheConnectionInsteadOfOpeningOne) {
  completeFirstAttempt();
  send(2, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  EXPECT_GE(Clock::now() - answeredAt, kSettlingTime);
  EXPECT_EQ(upstream.requests[1].connection, upstream.requests[0].connection);
}

// Two connections are settling: one attempt waits, and the next one opens a connection instead of the other
// wait.
TEST_F(ConnectionSettlingTest, OneAttemptAtATimeWaitsForAnUpstream) {
  send(1, "x");
  send(2, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  upstream.requests[0].reply(200, "");
  upstream.requests[1].reply(200, "");
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  send(3, "x");
  send(4, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 4; }));
  EXPECT_EQ(upstream.connections.size(), 3u);
}

// At the connection limit, attempts at an upstream with few connections would wait for these while the pool
// keeps idle ones for another upstream: the numbers are evened out, and are then left as they are.
TEST_F(ConnectionSettlingTest, AtTheConnectionLimitAnUpstreamGetsConnectionsOfOneThatHasMore) {
  open({{"limits", {{"sockets", 13}}}});
  Peer other(io);
  for (Peer* peer : {&upstream, &other}) peer->onRequest = [](Peer::Exchange& call) { call.reply(200, ""); };
  pool->setAddress(0, parseEndpoint(upstream.address()));
  pool->setAddress(1, parseEndpoint(other.address()));
  balancer::RequestId id = 0;
  // Sends attempts two at a time, without a pause.
  const auto sendPairs = [&](EndpointId to, int pairs) {
    for (int n = 0; n < pairs; ++n) {
      const std::size_t before = ends.size();
      for (int k = 0; k < 2; ++k) send(++id, "x", "", std::chrono::seconds(60), to);
      ASSERT_TRUE(wait([&] { return ends.size() == before + 2; }));
    }
  };
  sendPairs(0, 40);
  const std::size_t limit = 4;  // of 13 descriptors
  ASSERT_EQ(pool->connections(), limit);
  sendPairs(1, 40);
  EXPECT_EQ(pool->connections(), limit);
  EXPECT_EQ(other.open(), 2);
  const std::size_t opened = upstream.connections.size() + other.connections.size();
  for (int n = 0; n < 40; ++n) {
    sendPairs(0, 1);
    sendPairs(1, 1);
  }
  EXPECT_LE(upstream.connections.size() + other.connections.size(), opened + 2);
}

TEST_F(ConnectionSettlingTest, AnAttemptWithLittleTimeOpensANewConnection) {
  completeFirstAttempt();
  // Sent at once, so that nearly the whole settling time remains; it exceeds a tenth of the attempt's time.
  send(2, "x", "", kSettlingTime * 4);
  answer(1, "answer 2");
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::Ok);
  EXPECT_EQ(upstream.connections.size(), 2u);
}

// Guards against a request that is sent to a draining upstream, since it waited when the notice came.
TEST_F(ConnectionSettlingTest, AWaitingAttemptIsNotSentToAnUpstreamThatGetsNoNewRequests) {
  completeFirstAttempt();
  send(2, "x");
  pool->failWaiting(0);
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::ConnectFailed);
  send(3, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  EXPECT_EQ(upstream.requests[1].message["X-Trace-Id"], traceOf(3));
  EXPECT_EQ(upstream.requests[1].connection, upstream.requests[0].connection);
}

TEST_F(ConnectionSettlingTest, AWaitingAttemptIsNotSentToARemovedUpstream) {
  completeFirstAttempt();
  send(2, "x");
  pool->remove(0);
  ASSERT_TRUE(wait([&] { return ends.size() == 2 && upstream.open() == 0; }));
  EXPECT_EQ(ends[1].outcome, Outcome::ConnectFailed);
  EXPECT_EQ(upstream.requests.size(), 1u);
  EXPECT_EQ(pool->connections(), 0u);
}

TEST_F(ConnectionSettlingTest, AWaitingAttemptIsNotSentToThePreviousAddress) {
  Peer moved(io);
  completeFirstAttempt();
  send(2, "x");
  pool->setAddress(0, parseEndpoint(moved.address()));
  ASSERT_TRUE(wait([&] { return ends.size() == 2 && upstream.open() == 0; }));
  EXPECT_EQ(ends[1].outcome, Outcome::ConnectFailed);
  send(3, "x");
  ASSERT_TRUE(wait([&] { return moved.requests.size() == 1; }));
  EXPECT_EQ(upstream.requests.size(), 1u);
}

// Guards against a request that is lost on a connection to a process that is gone without a word (issue 63,
// picture e): another one has started at its address.
TEST_F(ConnectionSettlingTest, AProcessThatHasRestartedGetsNewConnections) {
  completeFirstAttempt();
  send(2, "x");
  pool->setAddress(0, parseEndpoint(upstream.address()), 1'700'000'000'000);
  ASSERT_TRUE(wait([&] { return ends.size() == 2 && upstream.open() == 0; }));
  EXPECT_EQ(ends[1].outcome, Outcome::ConnectFailed);
  EXPECT_EQ(upstream.requests.size(), 1u);
  send(3, "x");
  answer(1, "answer 3");
  ASSERT_TRUE(wait([&] { return ends.size() == 3; }));
  EXPECT_EQ(ends[2].body, "answer 3");
}

// Cancelling an attempt that waits costs no connection, and nothing of it is sent.
TEST_F(ConnectionSettlingTest, AnAttemptThatIsCancelledWhileItWaitsLeavesTheConnectionIdle) {
  completeFirstAttempt();
  send(2, "x");
  pool->cancel({2, 0});
  send(3, "x");
  pool->cancelUnsent(3);
  send(4, "x");
  gone = {4};
  ASSERT_TRUE(wait([&] { return ends.size() == 4; }));
  EXPECT_EQ(ends[1].outcome, Outcome::Cancelled);
  EXPECT_EQ(ends[2].outcome, Outcome::Moot);
  EXPECT_EQ(ends[3].outcome, Outcome::Moot);
  send(5, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  EXPECT_EQ(upstream.requests[1].message["X-Trace-Id"], traceOf(5));
  EXPECT_EQ(upstream.requests[1].connection, upstream.requests[0].connection);
}

// Guards against a request that fails, or runs twice, since its upstream closes right after an answer.
TEST_F(ConnectionSettlingTest, AWaitingAttemptGoesToANewConnectionIfTheUpstreamCloses) {
  completeFirstAttempt();
  send(2, "x");
  upstream.requests[0].drop();
  answer(1, "answer 2");
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::Ok);
  EXPECT_EQ(upstream.connections.size(), 2u);
}

}  // namespace
}  // namespace ivypost
