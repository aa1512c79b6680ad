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

// Read ahead of an answer, or unread behind it: while the process ends the connection is not ended between.
TEST_F(ServerTest, WhatWasSentAheadIsAnsweredWhileTheProcessEnds) {
  serve();
  const Client ahead(io, server->port());
  Request second, third;
  second.trace = traceOf(2);
  third.trace = traceOf(3);
  ahead.send(Request().text() + second.text());
  ASSERT_TRUE(wait([&] { return taken.size() == 1; }));
  pollAll(io);
  server->follow(stopping(false, true));
  ahead.send(third.text());  // not read when the first answer is given
  answerAll();
  ASSERT_TRUE(wait([&] { return taken.size() == 1 || ahead.closed(); }));
  answerAll();
  ASSERT_TRUE(wait([&] { return taken.size() == 1 || ahead.closed(); }));
  answerAll();
  ASSERT_TRUE(wait([&] { return ahead.closed() && ended; }));
  ASSERT_EQ(ahead.answers(), 3u);
  EXPECT_NE(ahead.answer(0)[http::field::connection], "close");
  EXPECT_EQ(ahead.answer(2)[http::field::connection], "close");
}

// A client that takes its last answer slowly, and sends on: the connection is not closed over what it sends
// before the answer has arrived, since that would reset it.
TEST_F(ServerTest, ALastAnswerThatIsTakenSlowlyArrivesWhole) {
  serve();
  tcp::socket slow(io);
  slow.open(tcp::v4());
  slow.set_option(asio::socket_base::receive_buffer_size(4096));
  slow.connect({asio::ip::address_v4::loopback(), server->port()});
  Request request;
  request.headers = "Connection: close\r\n";
  asio::write(slow, asio::buffer(request.text()));
  ASSERT_TRUE(wait([&] { return taken.size() == 1; }));
  const std::string body(300'000, 'b');
  Answer answer;
  answer.status = 200;
  answer.body = body;
  server->answer(taken[0].id, std::move(answer));
  // More than is read and dropped; it stands still for longer than the pause ahead of the close.
  const std::string much(100'000, 'm');
  std::size_t at = 0;
  error_code error;
  slow.non_blocking(true);
  const auto begin = Clock::now();
  ASSERT_TRUE(wait([&] {
    if (at < much.size() && !error) at += slow.write_some(asio::buffer(much) + at, error);
    if (error == asio::error::would_block) error = {};
    return Clock::now() - begin > milliseconds(500);
  }));
  std::string got;
  std::array<char, 65536> bytes{};
  ASSERT_TRUE(wait([&] {
    got.append(bytes.data(), slow.read_some(asio::buffer(bytes), error));
    return error && error != asio::error::would_block;
  }));
  EXPECT_GT(got.size(), body.size()) << error.message();
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
  // A request of which so much has been read; this much more of it comes in the turn in which its time is up,
  // ahead of the handler that would close it.
  void sendAsItsTimeIsUp(std::size_t more, std::size_t first = 30) {
    serve();
    slow.emplace(io, server->port());
    ASSERT_TRUE(wait([&] { return inside() == 1; }));
    const auto in = Clock::now();
    const std::string text = Request().text();
    if (first > 0) {
      slow->send(text.substr(0, first));
      ASSERT_TRUE(wait([&] { return server->door().count(admission::Door::State::Working) == 1; }));
    }
    // A handler that is due a little earlier, and so runs right before, however late the loop is.
    asio::steady_timer before(io);
    before.expires_at(in + milliseconds(2400));
    before.async_wait([&](error_code) { slow->send(text.substr(first, more)); });
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

// Nor does a new connection that has been silent so far lose the request that comes in that turn.
TEST_F(LastByteTest, AFirstRequestThatComesWhenItsTimeIsUpIsTaken) {
  sendAsItsTimeIsUp(std::string::npos, 0);
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
