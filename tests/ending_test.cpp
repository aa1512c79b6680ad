// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The server as it ends, and the time of a request that runs out as it comes.
#include "moments.h"

namespace ivypost {
namespace {

// A request reaches the kernel after the loop has looked and before it looks whether all is done.
TEST_F(ServerTest, ARequestInTheLastTickIsAnsweredBeforeTheEnd) {
  serve();
  const Client late(io, server->port());
  ASSERT_TRUE(wait([&] { return inside() == 1; }));
  late.send(Request().text());
  server->follow(stopping(false, true));
  EXPECT_FALSE(ended);
  ASSERT_TRUE(wait([&] { return taken.size() == 1; }));
  EXPECT_FALSE(ended);
  answerAll();
  ASSERT_TRUE(wait([&] { return late.answers() == 1 && ended; }));
  EXPECT_EQ(late.answer(0).result_int(), 200u);
}

// So does one behind another that was an error, in the pause in which the client is not read.
TEST_F(ServerTest, ARequestBehindAnErrorIsAnsweredBeforeTheEnd) {
  serve();
  const Client wrong(io, server->port());
  wrong.send("GET /nowhere HTTP/1.1\r\nHost: s\r\n\r\n");
  ASSERT_TRUE(wait([&] { return wrong.answers() == 1; }));
  wrong.send(Request().text());
  server->follow(stopping(false, true));
  EXPECT_FALSE(ended);
  ASSERT_TRUE(wait([&] { return taken.size() == 1; }));
  answerAll();
  ASSERT_TRUE(wait([&] { return wrong.answers() == 2 && ended; }));
}

// A head that has come in part, or an answer on its way, is no end either.
TEST_F(ServerTest, ARequestHalfReadIsAnsweredBeforeTheEnd) {
  serve();
  const Client slow(io, server->port());
  const std::string text = Request().text();
  slow.send(text.substr(0, 30));
  ASSERT_TRUE(wait([&] { return server->door().count(admission::Door::State::Working) == 1; }));
  server->follow(stopping(false, true));
  EXPECT_FALSE(ended);
  slow.send(text.substr(30));
  ASSERT_TRUE(wait([&] { return taken.size() == 1; }));
  answerAll();
  ASSERT_TRUE(wait([&] { return slow.answers() == 1 && ended; }));
}

// The acceptor closes when a connection has been accepted whose handler is still queued.
TEST_F(ServerTest, WhoWasAcceptedAsTheDoorClosedIsServed) {
  serve();
  const Client first(io, server->port());
  const Client second(io, server->port());
  second.send(Request().text());
  // With the first one let in, the second has been accepted in the same call.
  while (inside() == 0) {
    io.restart();
    io.run_one();
  }
  ASSERT_EQ(inside(), 1u);
  server->follow(stopping(false, false));
  ASSERT_TRUE(wait([&] { return taken.size() == 1; }));
  answerAll();
  ASSERT_TRUE(wait([&] { return second.answers() == 1; }));
}

class LastByteTest : public ServerTest {
 protected:
  // A request of which a part has been read; this much more of it comes in the turn in which its time is up,
  // ahead of the handler that would close it.
  void sendAsItsTimeIsUp(std::size_t more) {
    serve();
    slow.emplace(io, server->port());
    ASSERT_TRUE(wait([&] { return inside() == 1; }));
    const auto in = Clock::now();
    const std::string text = Request().text();
    slow->send(text.substr(0, 30));
    ASSERT_TRUE(wait([&] { return server->door().count(admission::Door::State::Working) == 1; }));
    // A handler that is due a little earlier, and so runs right before, however late the loop is.
    asio::steady_timer before(io);
    before.expires_at(in + milliseconds(2400));
    before.async_wait([&](error_code) { slow->send(text.substr(30, more)); });
    standStill(in + milliseconds(2600) - Clock::now());
    ASSERT_TRUE(wait([&] { return taken.size() == 1 || slow->closed(); }));
  }
  std::optional<Client> slow;
};

TEST_F(LastByteTest, ARequestThatIsWholeWhenItsTimeIsUpIsTaken) {
  sendAsItsTimeIsUp(std::string::npos);
  ASSERT_EQ(taken.size(), 1u);
  answerAll();
  ASSERT_TRUE(wait([&] { return slow->answers() == 1; }));
}

// One that has come to nothing more by then is closed all the same.
TEST_F(LastByteTest, ARequestThatIsNotWholeWhenItsTimeIsUpIsNotWaitedFor) {
  sendAsItsTimeIsUp(10);
  EXPECT_TRUE(slow->closed());
  EXPECT_TRUE(taken.empty());
}

}  // namespace
}  // namespace ivypost
