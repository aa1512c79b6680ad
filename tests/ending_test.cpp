// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests of the shutdown, and of read timeouts that expire while a request arrives.
#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "moments.h"

namespace ivypost {
namespace {

// A request reaches the kernel after the event loop's last poll, and before the server checks whether it may
// end.
TEST_F(ServerTest, ARequestInTheLastTickIsAnsweredBeforeTheEnd) {
  serve();
  const Client late(io, server->port());
  ASSERT_TRUE(wait([&] { return connectionCount() == 1; }));
  late.send(Request().text());
  server->apply(stopping(false, true));
  EXPECT_FALSE(ended);
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  EXPECT_FALSE(ended);
  answerAll();
  ASSERT_TRUE(wait([&] { return late.answers() == 1 && ended; }));
  EXPECT_EQ(late.answer(0).result_int(), 200u);
}

// The same for a request that follows an invalid one, during the pause in which the client is not read.
TEST_F(ServerTest, ARequestBehindAnErrorIsAnsweredBeforeTheEnd) {
  serve();
  const Client wrong(io, server->port());
  wrong.send("GET /nowhere HTTP/1.1\r\nHost: s\r\n\r\n");
  ASSERT_TRUE(wait([&] { return wrong.answers() == 1; }));
  wrong.send(Request().text());
  server->apply(stopping(false, true));
  EXPECT_FALSE(ended);
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  answerAll();
  ASSERT_TRUE(wait([&] { return wrong.answers() == 2 && ended; }));
}

// Pipelined requests, read ahead of an answer or still unread at it, are answered during shutdown: the
// connection is not closed between them.
TEST_F(ServerTest, PipelinedRequestsAreAnsweredDuringShutdown) {
  serve();
  const Client ahead(io, server->port());
  Request second, third;
  second.trace = traceOf(2);
  third.trace = traceOf(3);
  ahead.send(Request().text() + second.text());
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  pollAll(io);
  server->apply(stopping(false, true));
  ahead.send(third.text());  // not read when the first answer is given
  answerAll();
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1 || ahead.closed(); }));
  answerAll();
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1 || ahead.closed(); }));
  answerAll();
  ASSERT_TRUE(wait([&] { return ahead.closed() && ended; }));
  ASSERT_EQ(ahead.answers(), 3u);
  EXPECT_NE(ahead.answer(0)[http::field::connection], "close");
  EXPECT_EQ(ahead.answer(2)[http::field::connection], "close");
}

// A client reads its last answer slowly, and continues to send: the connection is not closed with unread
// input before the answer has arrived, since that would reset the connection.
TEST_F(ServerTest, ASlowlyReadLastAnswerArrivesComplete) {
  serve();
  tcp::socket slow(io);
  slow.open(tcp::v4());
  slow.set_option(asio::socket_base::receive_buffer_size(4096));
  slow.connect({asio::ip::address_v4::loopback(), server->port()});
  Request request;
  request.headers = "Connection: close\r\n";
  asio::write(slow, asio::buffer(request.text()));
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  const std::string body(300'000, 'b');
  Answer answer;
  answer.status = 200;
  answer.body = body;
  server->answer(receivedRequests[0].id, std::move(answer));
  // More than the server reads and discards; the client does not read for longer than the pause before the
  // close.
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

// The server does not end while a request's head is partly received or an answer is being sent.
TEST_F(ServerTest, ARequestHalfReadIsAnsweredBeforeTheEnd) {
  serve();
  const Client slow(io, server->port());
  const std::string text = Request().text();
  slow.send(text.substr(0, 30));
  ASSERT_TRUE(wait(
      [&] { return server->connectionLimiter().count(admission::ConnectionLimiter::State::Active) == 1; }));
  server->apply(stopping(false, true));
  EXPECT_FALSE(ended);
  slow.send(text.substr(30));
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  answerAll();
  ASSERT_TRUE(wait([&] { return slow.answers() == 1 && ended; }));
}

// The acceptor is closed when a connection has been accepted and its handler is still queued.
TEST_F(ServerTest, AConnectionAcceptedAsTheAcceptorClosesIsServed) {
  serve();
  const Client first(io, server->port());
  const Client second(io, server->port());
  second.send(Request().text());
  // When the first connection is admitted, the second has been accepted in the same call.
  while (connectionCount() == 0) {
    io.restart();
    io.run_one();
  }
  ASSERT_EQ(connectionCount(), 1u);
  server->apply(stopping(false, false));
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  answerAll();
  ASSERT_TRUE(wait([&] { return second.answers() == 1; }));
}

class LastByteTest : public ServerTest {
 protected:
  // Sends the first `first` bytes of a request, and `more` bytes of it in the turn in which the read timeout
  // expires, ahead of the handler that would close the connection.
  void sendAtReadTimeout(std::size_t more, std::size_t first = 30) {
    serve();
    slow.emplace(io, server->port());
    ASSERT_TRUE(wait([&] { return connectionCount() == 1; }));
    const auto in = Clock::now();
    const std::string text = Request().text();
    if (first > 0) {
      slow->send(text.substr(0, first));
      ASSERT_TRUE(wait([&] {
        return server->connectionLimiter().count(admission::ConnectionLimiter::State::Active) == 1;
      }));
    }
    // Is due earlier than the read timeout, and so runs before its handler even if the event loop is late.
    asio::steady_timer before(io);
    before.expires_at(in + milliseconds(2400));
    before.async_wait([&](error_code) { slow->send(text.substr(first, more)); });
    blockEventLoop(in + milliseconds(2600) - Clock::now());
    ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1 || slow->closed(); }));
  }
  std::optional<Client> slow;
};

TEST_F(LastByteTest, ARequestCompleteAtTheReadTimeoutIsServed) {
  sendAtReadTimeout(std::string::npos);
  ASSERT_EQ(receivedRequests.size(), 1u);
  answerAll();
  ASSERT_TRUE(wait([&] { return slow->answers() == 1; }));
}

// The same for a new connection that has sent nothing before.
TEST_F(LastByteTest, AFirstRequestAtTheReadTimeoutIsServed) {
  sendAtReadTimeout(std::string::npos, 0);
  ASSERT_EQ(receivedRequests.size(), 1u);
  answerAll();
  ASSERT_TRUE(wait([&] { return slow->answers() == 1; }));
}

// A request that is still incomplete at the timeout is not waited for: its connection is closed.
TEST_F(LastByteTest, ARequestIncompleteAtTheReadTimeoutIsClosed) {
  sendAtReadTimeout(10);
  EXPECT_TRUE(slow->closed());
  EXPECT_TRUE(receivedRequests.empty());
}

// Stops the complete sidecar while none of its upstreams answers. SIGKILL follows 0.7 s after the longest
// deadline; 0.15 s of that are reserved for delays of the process.
class StopTest : public SidecarTest {
 protected:
  static constexpr milliseconds kBound{1700 - 150};

  StopTest() : late(io) {}

  void startHung(int count) {
    for (int n = 0; n < count; ++n) upstreams.push_back(std::make_unique<Peer>(io));
    states.assign(upstreams.size(), "up");
    json classes = configureClasses();
    json known = list(generation, true);
    if (withLate) {
      known["instances"].push_back({{"instanceId", "s-late"},
                                    {"hostPort", late.address()},
                                    {"zone", "oviedo"},
                                    {"cell", 0},
                                    {"lifecycle", "up"},
                                    {"weight", 1.0},
                                    {"startedAtMs", 0}});
    }
    discovery.onRequest = [known](Peer::Exchange& call) {
      if (call.message.target() == "/v1/endpoints") call.reply(200, known.dump());
    };
    sidecar = std::make_unique<Sidecar>(
        io, configure({{"known", known}, {"settings", {{"classes", std::move(classes)}}}}));
    ASSERT_TRUE(wait([this] { return watches() > 0; }));
  }
  static json configureClasses() {
    return {{{"name", "cambio"}, {"aim", 500000}, {"deadline", 1000000}, {"semantics", "single_shot"}},
            {{"name", "consulta"}, {"aim", 500000}, {"deadline", 400000}, {"semantics", "free"}}};
  }

  Client& add() {
    clients.push_back(std::make_unique<Client>(io, sidecar->port()));
    return *clients.back();
  }
  static Request request(int n, int expiresInMs) {
    Request request;
    request.trace = traceOf(n);
    request.expiresInMs = expiresInMs;
    return request;
  }
  // Sends, and ignores the error if the connection is closed.
  static void sendIgnoringErrors(const Client& client, const std::string& bytes) {
    try {
      client.send(bytes);
    } catch (const boost::system::system_error&) {
    }
  }

  // Runs from SIGTERM to the end of the process, with the actions that were scheduled by at().
  void stop() {
    begun = Clock::now();
    sidecar->stop([this] {
      endedAfter = Clock::now() - begun;
      ended = true;
    });
    ASSERT_TRUE(wait([this] { return ended; }));
    sidecar.reset();  // as the process does
    EXPECT_TRUE(wait([this] {
      return std::all_of(clients.begin(), clients.end(), [](const auto& one) { return one->closed(); });
    }));
  }
  void at(milliseconds after, std::function<void()> act) {
    timers.push_back(std::make_unique<asio::steady_timer>(io));
    timers.back()->expires_after(after);
    timers.back()->async_wait([act = std::move(act)](error_code) { act(); });
  }

  FullListener late;
  bool withLate = false;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  Clock::time_point begun;
  Clock::duration endedAfter{};
  bool ended = false;
};

// Requests arrive before SIGTERM and during the shutdown, on new connections as long as these are accepted.
TEST_F(StopTest, AnswersEveryRequestInTimeWhileAllUpstreamsHang) {
  startHung(3);
  int n = 0;
  for (; n < 20; ++n) add().send(request(n + 1, n % 2 == 0 ? 1000 : 20000).text());
  ASSERT_TRUE(wait([this] { return arrived() >= 3; }));
  std::size_t refusedConnections = 0;
  for (int tick = 1; tick <= 23; ++tick) {
    at(milliseconds(20 * tick), [&, tick] {
      const int trace = 100 + tick;
      try {
        add().send(request(trace, tick % 2 == 0 ? 1000 : 20000).text());
      } catch (const boost::system::system_error&) {
        ++refusedConnections;
      }
    });
  }
  stop();
  EXPECT_LE(endedAfter, kBound);
  EXPECT_EQ(refusedConnections, 0u);
  ASSERT_EQ(clients.size(), 43u);
  for (std::size_t client = 0; client < clients.size(); ++client)
    EXPECT_EQ(clients[client]->answers(), 1u) << "client " << client;
}

// Clients continue to send on persistent connections, while a request is open and after its answer.
TEST_F(StopTest, BytesBehindARequestCostItsClientNoAnswer) {
  startHung(2);
  for (int n = 0; n < 8; ++n) add().send(request(n + 1, 20000).text());
  ASSERT_TRUE(wait([this] { return arrived() >= 2; }));
  for (int tick = 0; tick < 75; ++tick) {
    at(milliseconds(20 * tick + 5), [&, tick] {
      for (std::size_t n = 0; n < clients.size(); ++n)
        sendIgnoringErrors(*clients[n], request(1000 + tick * 10 + static_cast<int>(n), 1000).text());
    });
  }
  stop();
  EXPECT_LE(endedAfter, kBound);
  for (const auto& client : clients) EXPECT_GE(client->answers(), 1u);
}

// A head, a short body and a long body are received in part, and never completely.
TEST_F(StopTest, AnswersRequestsThatAreStillBeingRead) {
  startHung(2);
  const std::string head = request(1, 20000).text();
  Request longer = request(2, 20000);
  longer.body.assign(30'000, 'b');
  Request large = request(3, 20000);
  large.body.assign(6'000'000, 'b');
  // The large body exceeds the limit for complete buffering, so that a part of it has been sent to an
  // upstream.
  at(milliseconds(250), [&] {
    add().send(head.substr(0, 30));
    add().send(longer.text().substr(0, 15'000));
    add().send(large.text().substr(0, 1'000'000));
    Request expecting = request(4, 20000);
    expecting.headers = "Expect: 100-continue\r\n";
    add().send(expecting.text().substr(0, expecting.text().size() - 1));
  });
  stop();
  EXPECT_LE(endedAfter, kBound);
  ASSERT_EQ(clients.size(), 4u);
  for (std::size_t n = 0; n < clients.size(); ++n) EXPECT_GE(clients[n]->answers(), 1u) << "client " << n;
}

// The connection to the only upstream is established shortly before the end.
TEST_F(StopTest, AnswersWhatWaitsForAConnectionThatComesUpLate) {
  withLate = true;
  startHung(0);
  for (int n = 0; n < 4; ++n) add().send(request(n + 1, 20000).text());
  ASSERT_TRUE(wait([this] { return sidecar->comingUp() > 0; }));
  at(milliseconds(1200), [&] { late.acceptConnections(); });
  stop();
  EXPECT_LE(endedAfter, kBound);
  for (const auto& client : clients) EXPECT_EQ(client->answers(), 1u);
}

// The event loop is blocked when the final answers are due, and clients send meanwhile.
TEST_F(StopTest, ABlockedLoopAtTheFinalAnswersLosesNoAnswer) {
  startHung(2);
  for (int n = 0; n < 6; ++n) add().send(request(n + 1, 20000).text());
  ASSERT_TRUE(wait([this] { return arrived() >= 2; }));
  at(milliseconds(1390), [&] {
    for (std::size_t n = 0; n < clients.size(); ++n)
      sendIgnoringErrors(*clients[n], request(1000 + static_cast<int>(n), 1000).text());
    blockEventLoop(milliseconds(150));
  });
  stop();
  EXPECT_LE(endedAfter, milliseconds(1700));
  for (const auto& client : clients) EXPECT_GE(client->answers(), 1u);
}

// Clients that send a part of a request and then nothing more, without closing: within 3 s each gets an error
// or is closed, on a new connection and after an earlier request, also while the process drains.
struct Stop {
  const char* where;
  std::string sent;
};

std::vector<Stop> stops() {
  const std::string start = "POST /cambio/7 HTTP/1.1\r\n";
  int n = 0;
  // Each request has a separate trace id.
  const auto fields = [&] {
    return "Host: s\r\nX-Qos: cambio\r\nX-Customer: nalon\r\nX-Trace-Id: " + traceOf(++n) +
           "\r\nX-Expires-In-Ms: 20000\r\n";
  };
  const auto chunked = [&](const std::string& sent) {
    return start + fields() + "Transfer-Encoding: chunked\r\n\r\n" + sent;
  };
  const auto withLength = [&](std::size_t said, std::size_t sent, const std::string& more = "") {
    return start + fields() + more + "Content-Length: " + std::to_string(said) + "\r\n\r\n" +
           std::string(sent, 'b');
  };
  return {{"an empty line", "\r\n"},
          {"in the method", "PO"},
          {"in the target", "POST /cam"},
          {"in the version", "POST /cambio/7 HTTP/1"},
          {"behind the start line", start},
          {"in a field's name", start + "Ho"},
          {"in a field", start + "Host: s"},
          {"ahead of the head's end", start + fields()},
          {"in the head's end", start + fields() + "Content-Length: 9\r\n\r"},
          {"behind the head", withLength(9, 0)},
          {"where it waits to go on", withLength(9, 0, "Expect: 100-continue\r\n")},
          {"in a small body", withLength(9, 5)},
          {"in a body that is held whole", withLength(500'000, 200'000)},
          {"in a body that goes on in pieces", withLength(4'000'000, 200'000)},
          {"ahead of the first chunk", chunked("")},
          {"in a chunk's size", chunked("1")},
          {"behind a chunk's size", chunked("10\r\n")},
          {"in a chunk", chunked("10\r\nbbbb")},
          {"behind a chunk", chunked("2\r\nbb\r\n")},
          {"in a large chunk", chunked("100000\r\n" + std::string(100'000, 'b'))},
          {"in the last chunk", chunked("2\r\nbb\r\n0\r\n")},
          {"in the trailer", chunked("2\r\nbb\r\n0\r\nX-T: 1")}};
}

class StopsMidwayTest : public ServerTest, public testing::WithParamInterface<std::tuple<bool, bool>> {};

TEST_P(StopsMidwayTest, IsAnsweredOrClosedWithin3Seconds) {
  const auto [reused, draining] = GetParam();
  serve();
  struct Stopped {
    Stop stop;
    Client client;
    std::size_t before = 0;
    std::optional<Clock::duration> took;
  };
  std::vector<Stopped> all;
  for (Stop& stop : stops()) all.push_back({std::move(stop), Client(io, server->port()), 0, {}});
  if (reused) {
    for (const Stopped& one : all) one.client.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
    ASSERT_TRUE(wait([&] {
      return std::all_of(all.begin(), all.end(), [](const auto& one) { return one.client.answers() == 1; });
    }));
    for (Stopped& one : all) one.before = 1;
  }
  const auto begin = Clock::now();
  for (const Stopped& one : all) one.client.send(one.stop.sent);
  if (draining) {
    pollAll(io);
    server->apply(stopping(true, false));
  }
  ASSERT_TRUE(wait([&] {
    bool done = true;
    // Consumes the uploads, as upstreams do.
    for (const ClientRequest& request : receivedRequests) {
      if (request.upload) request.upload->pipe.pop(request.upload->pipe.front().size());
    }
    for (Stopped& one : all) {
      // 100 Continue does not count as an answer.
      if (one.client.answers() > one.before && one.client.answer(one.before).result_int() == 100)
        ++one.before;
      if (!one.took && (one.client.answers() > one.before || one.client.closed()))
        one.took = Clock::now() - begin;
      done = done && one.took;
    }
    return done || Clock::now() - begin > std::chrono::seconds(6);
  }));
  for (const Stopped& one : all) {
    SCOPED_TRACE(one.stop.where);
    ASSERT_TRUE(one.took) << "neither answered nor closed";
    EXPECT_LT(*one.took, std::chrono::seconds(3));
    if (one.client.answers() > one.before) {
      EXPECT_GE(one.client.answer(one.before).result_int(), 400u);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(All, StopsMidwayTest, testing::Combine(testing::Bool(), testing::Bool()));

}  // namespace
}  // namespace ivypost
