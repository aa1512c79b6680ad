// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests of answers that come on a reused connection before the upstream can have answered (ResponseTimes).
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "sidecar/upstream/pool_fixture.h"

namespace ivypost {
namespace {

// The response time of the upstream in these tests, unless they say otherwise.
constexpr std::chrono::milliseconds kResponseTime{80};

class LateAnswerTest : public PoolTest {
 protected:
  LateAnswerTest() {
    open(json::object());
    pool->setAddress(0, parseEndpoint(upstream.address()));
  }
  // Runs the event loop for this time.
  void pass(Clock::duration time) {
    const auto end = Clock::now() + time;
    wait([&] { return Clock::now() >= end; });
  }
  // Sends this attempt and waits until the upstream has it.
  void request(int id, Clock::duration timeout = std::chrono::seconds(60)) {
    const std::size_t before = upstream.requests.size();
    send(static_cast<balancer::RequestId>(id), "x", "", timeout);
    ASSERT_TRUE(wait([&] { return upstream.requests.size() == before + 1; }));
  }
  const Peer::Exchange& last() const { return upstream.requests.back(); }
  static std::string bodyOf(int id) { return "answer " + std::to_string(id); }
  // Answers the last request after the response time, and waits for the end of its attempt.
  void complete(int id) {
    request(id);
    pass(kResponseTime);
    last().reply(200, bodyOf(id));
    ASSERT_TRUE(wait([&] { return ends.size() == static_cast<std::size_t>(id); }));
  }
  // Completes as many attempts as are needed to tell copies from services with constant answers.
  void completeDistinct() {
    for (std::uint32_t n = 0; n <= ResponseTimes::kMinDistinctAnswers; ++n)
      complete(static_cast<int>(ends.size()) + 1);
  }
  const AttemptEnd& end(int id) const { return ends.at(static_cast<std::size_t>(id) - 1); }

  Peer upstream{io};
};

// Guards against a wrong answer (review/6): an upstream sends its answer a second time, and the copy arrives
// after the connection has settled and carries the next request.
TEST_F(LateAnswerTest, ACopyAfterTheSettlingTimeIsNotServedToTheNextRequest) {
  complete(1);
  request(2);
  last().reply(200, bodyOf(1));
  pass(kResponseTime);
  last().reply(200, bodyOf(2));
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(end(2).outcome, Outcome::Ok);
  EXPECT_EQ(end(2).body, bodyOf(2));
  // Otherwise the answers behind it would be served one request late.
  EXPECT_TRUE(wait([&] { return upstream.open() == 0; }));
}

// The same, read at once: the event loop was held up until both answers had arrived.
TEST_F(LateAnswerTest, ACopyThatIsReadWithTheOwnAnswerIsNotServed) {
  completeDistinct();
  const int next = static_cast<int>(ends.size()) + 1;
  request(next);
  last().reply(200, bodyOf(next - 1));
  blockEventLoop(kResponseTime);
  last().reply(200, bodyOf(next));
  ASSERT_TRUE(wait([&] {
    return end(next - 1).id.request == static_cast<balancer::RequestId>(next - 1) &&
           ends.size() == static_cast<std::size_t>(next);
  }));
  EXPECT_EQ(end(next).body, bodyOf(next));
}

// The same where the copy was read late: its arrival counts, which the kernel knows.
TEST_F(LateAnswerTest, ACopyThatIsReadLateIsNotServed) {
  completeDistinct();
  const int next = static_cast<int>(ends.size()) + 1;
  request(next);
  last().reply(200, bodyOf(next - 1));
  blockEventLoop(kResponseTime);
  pass(kResponseTime);
  EXPECT_EQ(ends.size(), static_cast<std::size_t>(next - 1));
  last().reply(200, bodyOf(next));
  ASSERT_TRUE(wait([&] { return ends.size() == static_cast<std::size_t>(next); }));
  EXPECT_EQ(end(next).body, bodyOf(next));
}

// A second answer that claims that its request never ran would make the sidecar send the next one twice.
TEST_F(LateAnswerTest, ALateSecondRejectionIsNotTakenForTheNextRequests) {
  request(1);
  pass(kResponseTime);
  const std::string neverRan = "X-Never-Ran: 1\r\n";
  last().reply(503, "", neverRan);
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  request(2);
  last().reply(503, "", neverRan);
  pass(kResponseTime / 2);
  last().reply(200, bodyOf(2));
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(end(1).outcome, Outcome::Full);
  EXPECT_EQ(end(2).outcome, Outcome::Ok);
}

// A large answer is not buffered; its copy is discarded.
TEST_F(LateAnswerTest, ACopyOfALargeAnswerIsDiscarded) {
  completeDistinct();
  const int large = static_cast<int>(ends.size()) + 1;
  const std::string body(100'000, 'a');
  request(large);
  pass(kResponseTime);
  last().reply(200, body);
  ASSERT_TRUE(wait([&] { return ends.size() == static_cast<std::size_t>(large); }));
  request(large + 1);
  last().reply(200, body);
  pass(kResponseTime);
  last().reply(200, bodyOf(large + 1));
  ASSERT_TRUE(wait([&] { return ends.size() == static_cast<std::size_t>(large) + 1; }));
  EXPECT_EQ(end(large + 1).body, bodyOf(large + 1));
}

// A copy whose request is never answered is no answer to it either.
TEST_F(LateAnswerTest, ACopyIsNotServedWhereTheUpstreamCloses) {
  completeDistinct();
  const int next = static_cast<int>(ends.size()) + 1;
  request(next);
  last().reply(200, bodyOf(next - 1));
  last().drop();
  ASSERT_TRUE(wait([&] { return ends.size() == static_cast<std::size_t>(next); }));
  EXPECT_EQ(end(next).outcome, Outcome::Reset);
}

// An answer may really be faster than all before: it is served, within the response times seen so far.
TEST_F(LateAnswerTest, AFasterAnswerIsServedWithinTwiceTheLongestResponseTime) {
  complete(1);
  request(2);
  const auto sentAt = Clock::now();
  last().reply(200, bodyOf(2));
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(end(2).outcome, Outcome::Ok);
  EXPECT_EQ(end(2).body, bodyOf(2));
  EXPECT_LT(Clock::now() - sentAt, 3 * ResponseTimes::kHoldFactor * kResponseTime);
  // From now on it is known, and such answers wait for nothing; the connection stays.
  request(3);
  pass(kResponseTime / 2);
  last().reply(200, bodyOf(3));
  ASSERT_TRUE(wait([&] { return ends.size() == 3; }));
  EXPECT_LT(end(3).latency, kResponseTime);
  EXPECT_EQ(upstream.connections.size(), 1U);
}

// The same with a service that gives each request the same answer, and closes behind it.
TEST_F(LateAnswerTest, AFasterConstantAnswerIsServedWhenTheUpstreamCloses) {
  for (int id : {1, 2}) {
    request(id);
    pass(kResponseTime);
    last().reply(200, "done");
    ASSERT_TRUE(wait([&] { return ends.size() == static_cast<std::size_t>(id); }));
  }
  request(3);
  last().reply(200, "done");
  last().drop();
  ASSERT_TRUE(wait([&] { return ends.size() == 3; }));
  EXPECT_EQ(end(3).outcome, Outcome::Ok);
  EXPECT_EQ(end(3).body, "done");
}

// Holding leaves half of the attempt's time.
TEST_F(LateAnswerTest, AFasterAnswerIsServedBeforeItsDeadline) {
  request(1);
  pass(kResponseTime * 4);
  last().reply(200, bodyOf(1));
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  request(2, kResponseTime * 4);
  last().reply(200, bodyOf(2));
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(end(2).outcome, Outcome::Ok);
}

}  // namespace
}  // namespace ivypost
