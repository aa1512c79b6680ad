// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests of attempts and idle connections at the expiry of deadlines and timeouts.
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <set>

#include "sidecar/upstream/pool_fixture.h"

namespace ivypost {
namespace {

// Sets the send buffer of this process's socket with this local address to 200'000 bytes.
void growSendBuffer(const tcp::endpoint& of) {
  for (int descriptor = 3; descriptor < 256; ++descriptor) {
    tcp::endpoint at;
    socklen_t size = static_cast<socklen_t>(at.capacity());
    if (::getsockname(descriptor, at.data(), &size) != 0 || at != of) continue;
    const int bytes = 200'000;
    ASSERT_EQ(::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes), 0);
    return;
  }
  FAIL() << "no socket is bound to the address";
}

// First attempts, retries and hedged requests all begin in send(): for a client that has left nothing is sent
// on an idle connection, and that connection stays available for the next attempt.
TEST_F(PoolTest, NothingIsSentOnAnIdleConnectionForAClientThatHasLeft) {
  Peer upstream(io);
  open(json::object());
  pool->setAddress(0, parseEndpoint(upstream.address()));
  send(1, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 1; }));
  upstream.requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  gone = {2};
  send(2, "x");
  EXPECT_EQ(ends.size(), 1u) << "the callback must not run within the call";
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].id.request, 2u);
  EXPECT_EQ(ends[1].outcome, Outcome::Moot);
  send(3, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  EXPECT_EQ(upstream.requests[1].message["X-Trace-Id"], traceOf(3));
  EXPECT_EQ(upstream.connections.size(), 1u);
}

// The client leaves while a connection is being established, and the pool has not been notified.
TEST_F(PoolTest, NothingIsSentOnANewConnectionForAClientThatHasLeft) {
  Peer upstream(io);
  open(json::object());
  pool->setAddress(0, parseEndpoint(upstream.address()));
  send(1, "x");
  gone = {1};
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].outcome, Outcome::Moot);
  send(2, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 1; }));
  EXPECT_EQ(upstream.requests[0].message["X-Trace-Id"], traceOf(2));
}

// The remaining time, in ms, that a received request states; -1 if it states none.
int remainingMs(const std::string& text) {
  const std::string name = "X-Expires-In-Ms: ";
  const std::size_t at = text.find(name);
  return at == std::string::npos ? -1 : std::stoi(text.substr(at + name.size()));
}
int remainingMs(const Peer::Exchange& exchange) {
  return std::stoi(std::string(exchange.message["X-Expires-In-Ms"]));
}

// The following tests delay an attempt in each way that is possible between the client's last byte and the
// attempt's first byte. Each blocks the event loop, and the remaining time sent to the upstream must be
// reduced by that span.
TEST_F(PoolTest, ALateConnectionGetsTheRemainingTime) {
  FullListener node(io);
  open(json::object());
  pool->setAddress(0, parseEndpoint(node.address()));
  send(1, "x");  // has 60 s until its deadline
  ASSERT_EQ(pool->connecting(), 1u);
  node.drainAcceptQueue();
  blockEventLoop(milliseconds(1500));
  node.readConnections();
  ASSERT_TRUE(wait([&] { return remainingMs(node.got()) >= 0; }));
  EXPECT_LE(remainingMs(node.got()), 58'500);
  EXPECT_GT(remainingMs(node.got()), 50'000);
}

class RemainingTimeTest : public SidecarTest {
 protected:
  static constexpr milliseconds kLate{200};
  static Request idempotent(int n = 0) {
    Request request;
    request.qos = "consulta";
    request.method = "GET";
    request.body.clear();
    request.trace = traceOf(n);
    request.expiresInMs = 5000;
    return request;
  }
};

TEST_F(RemainingTimeTest, ARetryGetsTheRemainingTime) {
  start(2);
  const Client asks = client();
  asks.send(idempotent().text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  EXPECT_LE(remainingMs(usedUpstream().requests[0]), 5000);
  blockEventLoop(kLate);
  const Peer& first = usedUpstream();
  first.requests[0].reply(503, "", "X-Never-Ran: 1\r\n");
  ASSERT_TRUE(wait([&] { return arrived() == 2; }));
  const Peer& other = upstreams[0].get() == &first ? *upstreams[1] : *upstreams[0];
  EXPECT_LE(remainingMs(other.requests.empty() ? first.requests[1] : other.requests[0]), 4800);
}

TEST_F(RemainingTimeTest, AnUnreadRequestGetsTheRemainingTime) {
  start(1);
  const Client asks = client();
  pollAll(io);
  asks.send(idempotent().text());
  blockEventLoop(kLate);
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  EXPECT_LE(remainingMs(usedUpstream().requests[0]), 4800 + 20);  // kernel timer tick at both ends
}

// The request waits in the balancer, since its only upstream is at its concurrency limit.
TEST_F(RemainingTimeTest, AHeldRequestGetsTheRemainingTime) {
  start(1);
  const Client first = client();
  first.send(idempotent(1).text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  const Client second = client();
  second.send(idempotent(2).text());
  pollAll(io);
  ASSERT_EQ(arrived(), 1u);
  blockEventLoop(kLate);
  usedUpstream().requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return arrived() == 2; }));
  EXPECT_LE(remainingMs(usedUpstream().requests[1]), 4800);
}

// Guards against 504 for a held request that never ran: the process is held up across its deadline, and the
// sessions' timer, set for a moment before that, runs ahead of the decision module's.
TEST_F(RemainingTimeTest, AHeldRequestIsRefusedAlsoIfTheProcessIsHeldUpAcrossItsDeadline) {
  start(1);
  const Client first = client();
  first.send(idempotent(1).text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  const Client unsound = client();
  unsound.send("nonsense\r\n\r\n");  // its session waits 200 ms for it to close after the answer
  ASSERT_TRUE(wait([&] { return unsound.answers() == 1; }));
  const Client second = client();
  Request held = idempotent(2);
  held.expiresInMs = 300;
  second.send(held.text());
  pollAll(io);
  blockEventLoop(milliseconds(400));
  ASSERT_TRUE(wait([&] { return second.answers() == 1; }));
  EXPECT_EQ(second.answer(0).result_int(), 503u);
  EXPECT_EQ(arrived(), 1u);
}

// Requests wait in the admission queue, which admits one per turn of the event loop. The loop is blocked when
// all of them have been read.
class QueuedTest : public RemainingTimeTest {
 protected:
  static constexpr std::size_t kMany = 30;
  static constexpr milliseconds kQueued{500};

  void startWithQueue(int count) {
    for (int n = 0; n < count; ++n) upstreams.push_back(std::make_unique<Peer>(io));
    states.assign(upstreams.size(), "up");
    configuration::OperatorFile file;
    file.admission.queue = true;
    file.admission.maxForwardsPerTurn = 1;
    file.admission.queueSettings.maxTenantFraction = 1;
    file.admission.queueSettings.targetDelay = file.admission.queueSettings.interval = 60'000'000;
    sidecar = std::make_unique<Sidecar>(io, configure(json::object()), file);
    ASSERT_TRUE(wait([this] { return watches() > 0; }));
  }
  // The last request has `expiresInMs`, the others 20 s.
  void sendAll(int expiresInMs) {
    for (std::size_t n = 0; n < kMany; ++n) clients.push_back(client());
    pollAll(io);
    for (std::size_t n = 0; n < kMany; ++n) {
      Request request = idempotent(traceNumber(n));
      request.expiresInMs = n + 1 < kMany ? 20'000 : expiresInMs;
      clients[n].send(request.text());
    }
    for (std::size_t n = 0; n < kMany + 2; ++n) {
      io.restart();
      io.run_one_for(milliseconds(50));
    }
    blockEventLoop(kQueued);
  }
  static int traceNumber(std::size_t n) { return 100 + static_cast<int>(n); }
  static std::string lastTrace() { return traceOf(traceNumber(kMany - 1)); }
  int open() const {
    int count = 0;
    for (const auto& upstream : upstreams) count += upstream->open();
    return count;
  }

  std::deque<Client> clients;
};

// The balancer also counts the deadline from the client's last byte: after it no further attempt is sent,
// which could only fail and cost a usable connection.
TEST_F(QueuedTest, NoAttemptFollowsOneThatFailedAtTheDeadline) {
  startWithQueue(3);
  std::optional<Peer::Exchange> silent;
  for (const auto& upstream : upstreams) {
    upstream->onRequest = [&](Peer::Exchange& call) {
      if (call.message["X-Trace-Id"] != lastTrace()) return call.reply(200, "");
      silent = call;
    };
  }
  sendAll(1000);
  ASSERT_TRUE(wait([&] { return silent && arrived() == kMany; }));
  ASSERT_LE(remainingMs(*silent), 500) << "it has waited in the queue";
  pollAll(io);
  const int before = open();
  ASSERT_GE(before, 3) << "two of them idle";
  ASSERT_TRUE(wait([&] { return clients.back().answers() == 1; }));
  EXPECT_GE(clients.back().answer(0).result_int(), 500u);
  pollAll(io);
  EXPECT_EQ(arrived(), kMany);
  EXPECT_EQ(open(), before - 1) << "only the connection of the unanswered attempt is closed";
}

// The balancer holds no request beyond its deadline: a request that has not run is refused.
TEST_F(QueuedTest, ARequestHeldUntilItsDeadlineIsRefused) {
  startWithQueue(1);
  const Client first = client();
  Request request = idempotent(1);
  request.expiresInMs = 20'000;
  first.send(request.text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  sendAll(1000);
  ASSERT_TRUE(wait([&] { return clients.back().answers() == 1; }));
  EXPECT_EQ(clients.back().answer(0).result_int(), 503u);
  EXPECT_EQ(arrived(), 1u);
}

// Guards against 504 for a request whose deadline passes in the queue while the process is held up.
TEST_F(QueuedTest, ARequestQueuedUntilItsDeadlineIsRefused) {
  startWithQueue(1);
  sendAll(300);
  ASSERT_TRUE(wait([&] { return clients.back().answers() == 1; }));
  EXPECT_EQ(clients.back().answer(0).result_int(), 503u);
}

// With a remaining time of 0 to 100 ms, requests that could not be answered in time are not sent, and each
// client gets its answer in time.
TEST_F(RemainingTimeTest, WithHardlyAnyTimeLeftEachIsAnswered) {
  start(1);
  usedUpstream().onRequest = [](Peer::Exchange& call) {
    if (call.message.target() != "/status/load") {
      EXPECT_LE(remainingMs(call), 100);
    }
  };
  int n = 0;
  for (const char* qos : {"consulta", "cambio", "reserva"}) {
    for (const int ms : {0, 1, 2, 5, 10, 20, 50, 100}) {
      SCOPED_TRACE(std::string(qos) + " with " + std::to_string(ms) + " ms");
      Request request;
      request.qos = qos;
      if (request.qos == "consulta") request = idempotent();
      if (request.qos == "reserva") request.headers = "Idempotency-Key: k\r\n";
      request.trace = traceOf(++n);
      request.expiresInMs = ms;
      const Client asks = client();
      const auto sentAt = Clock::now();
      asks.send(request.text());
      ASSERT_TRUE(wait([&] { return asks.answers() == 1 || asks.closed(); }));
      ASSERT_EQ(asks.answers(), 1u);
      EXPECT_GE(asks.answer(0).result_int(), 500u);
      EXPECT_LT(Clock::now() - sentAt, milliseconds(ms + 500));
      asks.close();
      usedUpstream().dropAll();
      pollAll(io);
    }
  }
}

// The network drops an idle connection's state without a reset: bytes written to it are lost, and the request
// is still answered by its deadline. The connection is not used for another request.
class LostIdleConnectionTest : public RemainingTimeTest, public testing::WithParamInterface<const char*> {};

TEST_P(LostIdleConnectionTest, ALostIdleConnectionCostsNoAnswer) {
  start(1);
  const std::string qos = GetParam();
  Request request = idempotent(1);
  const Client asks = client();
  asks.send(request.text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  usedUpstream().requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return asks.answers() == 1; }));
  const auto lostConnection = usedUpstream().requests[0].connection;
  usedUpstream().onRequest = [&](Peer::Exchange& call) {
    if (call.connection != lostConnection) call.reply(200, "");
  };
  if (qos != "consulta") request = Request();
  request.qos = qos;
  request.trace = traceOf(2);
  request.headers = qos == "reserva" ? "Idempotency-Key: k\r\n" : "";
  request.expiresInMs = 400;
  const auto sentAt = Clock::now();
  asks.send(request.text());
  ASSERT_TRUE(wait([&] { return asks.answers() == 2; }));
  EXPECT_LT(Clock::now() - sentAt, milliseconds(900));
  pollAll(io);
  request.trace = traceOf(3);
  request.expiresInMs = 5000;
  asks.send(request.text());
  ASSERT_TRUE(wait([&] { return asks.answers() == 3; }));
  EXPECT_EQ(asks.answer(2).result_int(), 200u);
  EXPECT_NE(usedUpstream().requests.back().connection, lostConnection);
}

INSTANTIATE_TEST_SUITE_P(Classes, LostIdleConnectionTest, testing::Values("consulta", "cambio", "reserva"));

// The kernel accepts the rest of a request in the turn in which the write times out since the upstream does
// not read: a first part before the timeout's handler, and the last part with that handler already queued. A
// request that was written completely may run, so the attempt must not be reported as never run.
TEST_F(PoolTest, ACompletelyWrittenRequestIsNeverReportedAsUnsent) {
  tcp::acceptor node(io, tcp::v4());
  node.set_option(asio::socket_base::receive_buffer_size(2048));
  node.bind({asio::ip::address_v4::loopback(), 0});
  node.listen();
  open({{"settings", {{"limits", {{"connectTimeout", 100'000}}}}}});
  pool->setAddress(0, node.local_endpoint());
  std::optional<tcp::socket> upstreamSocket;
  node.async_accept([&](error_code, tcp::socket socket) { upstreamSocket = std::move(socket); });
  const auto sentAt = Clock::now();
  const std::string body(60'000, 'b');
  send(1, body, std::string(60'000, 'h'));
  ASSERT_TRUE(wait([&] { return upstreamSocket && upstreamSocket->available() > 0; }));
  pollAll(io);
  // While the event loop is blocked, the send buffer gets room for the rest, and the timeout expires.
  growSendBuffer(upstreamSocket->remote_endpoint());
  blockEventLoop(sentAt + milliseconds(110) - Clock::now());
  pollAll(io);
  std::string got;
  std::array<char, 65536> bytes{};
  upstreamSocket->non_blocking(true);
  upstreamSocket->set_option(asio::socket_base::receive_buffer_size(1 << 20));
  const auto isComplete = [&] {
    error_code error;
    got.append(bytes.data(), upstreamSocket->read_some(asio::buffer(bytes), error));
    pollAll(io);
    return got.size() > 2 * body.size() || (error && error != asio::error::would_block);
  };
  ASSERT_TRUE(wait(isComplete));
  const bool isCompletelyReceived = got.size() > 2 * body.size();
  if (isCompletelyReceived) {
    EXPECT_TRUE(ends.empty());
  } else {
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].outcome, Outcome::ConnectFailed);
  }
}

// The idle timeout expires while the event loop is blocked, and a request is sent ahead of the handler that
// would close the connection: the upstream may be closing the connection at the same time.
TEST_F(PoolTest, AConnectionIsNotUsedPastItsIdleTime) {
  Peer upstream(io);
  open({{"settings", {{"limits", {{"idleClose", 200'000}}}}}});
  pool->setAddress(0, parseEndpoint(upstream.address()));
  send(1, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 1; }));
  upstream.requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  blockEventLoop(milliseconds(190));
  send(2, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  EXPECT_EQ(upstream.connections.size(), 2u);
  EXPECT_NE(upstream.requests[1].connection, upstream.requests[0].connection);
}

// cancelUnsent() cancels only attempts that have not been written, and these end as never sent.
TEST_F(PoolTest, WithdrawCancelsOnlyUnsentAttempts) {
  Peer upstream(io);
  FullListener full(io);
  open(json::object());
  pool->setAddress(0, parseEndpoint(upstream.address()));
  send(1, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 1; }));
  pool->cancelUnsent(1);
  pool->cancelUnsent(9);
  pool->setAddress(0, parseEndpoint(full.address()));
  send(2, "x");
  ASSERT_EQ(pool->connecting(), 1u);
  pool->cancelUnsent(2);
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].id.request, 2u);
  EXPECT_EQ(ends[0].outcome, Outcome::Moot);
  upstream.requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::Ok);
}

// Each request gets its final answer despite faults of upstreams and of other clients.
class FinalAnswerTest : public SidecarTest {
 protected:
  struct RequestingClient {
    Client client;
    std::string qos;
    Clock::time_point at{};
  };
  // Connects `count` clients, with the classes in rotation.
  void connect(int count) {
    for (int n = 0; n < count; ++n)
      clients.push_back(
          {client(), std::array{"consulta", "cambio", "reserva"}[static_cast<std::size_t>(n) % 3]});
    pollAll(io);
  }
  void ask(int expiresInMs) {
    for (std::size_t n = 0; n < clients.size(); ++n) {
      Request request;
      request.qos = clients[n].qos;
      request.trace = traceOf(static_cast<int>(n) + 1);
      request.expiresInMs = expiresInMs;
      if (request.qos == "consulta") request.method = "GET", request.body.clear();
      if (request.qos == "reserva") request.headers = "Idempotency-Key: k\r\n";
      clients[n].at = Clock::now();
      clients[n].client.send(request.text());
    }
  }
  // Expects one answer per client in time. A client closes after its answer if `leave` is set.
  void expectAnswers(int expiresInMs, bool leave = true) {
    std::vector<bool> done(clients.size());
    ASSERT_TRUE(wait([&] {
      for (std::size_t n = 0; n < clients.size(); ++n) {
        const Client& client = clients[n].client;
        if (done[n] || (client.answers() == 0 && !client.closed())) continue;
        done[n] = true;
        EXPECT_EQ(client.answers(), 1u) << clients[n].qos << " " << n << " was closed";
        EXPECT_LT(Clock::now() - clients[n].at, milliseconds(expiresInMs + 500));
        if (client.answers() == 1) ++statuses[client.answer(0).result_int()];
        if (leave) client.close();
      }
      return std::find(done.begin(), done.end(), false) == done.end();
    }));
  }
  std::vector<RequestingClient> clients;
  std::map<unsigned, int> statuses;
};

TEST_F(FinalAnswerTest, ComesWhenAllUpstreamsAreSilent) {
  start(2);
  connect(30);
  ask(600);
  expectAnswers(600);
  EXPECT_EQ(statuses[200], 0);
}

TEST_F(FinalAnswerTest, ComesWhenTheConnectionLimitIsReached) {
  start(2, {{"limits", {{"sockets", 16}}}});
  for (const auto& upstream : upstreams) {
    upstream->onRequest = [](Peer::Exchange& call) { call.reply(200, ""); };
  }
  connect(30);
  ask(5000);
  expectAnswers(5000);
}

TEST_F(FinalAnswerTest, ComesWhenTheKernelHasNoDescriptors) {
  start(2);
  // At the first check of an object's type the sanitizer opens a pipe, and reports the object as invalid if
  // that fails. So another sidecar runs the same code before the descriptors are exhausted.
  connect(3);
  ask(300);
  expectAnswers(300);
  clients.clear();
  const std::size_t arrivedBefore = arrived();
  const std::size_t watchesBefore = watches();
  const auto first = std::move(sidecar);  // its handlers may still run
  sidecar = std::make_unique<Sidecar>(io, configure(json::object()));
  ASSERT_TRUE(wait([&] { return watches() > watchesBefore; }));
  for (const auto& upstream : upstreams) {
    upstream->onRequest = [](Peer::Exchange& call) { call.reply(200, ""); };
  }
  connect(30);
  const int lowest = ::dup(0);
  ASSERT_GE(lowest, 0);
  ::close(lowest);
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
  const rlimit none{static_cast<rlim_t>(lowest), before.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
  ask(600);
  expectAnswers(600, false);
  EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_EQ(arrived(), arrivedBefore) << "a descriptor was still available";
  // The sidecar serves again.
  const Client next = client();
  Request request;
  request.trace = traceOf(1000);
  next.send(request.text());
  ASSERT_TRUE(wait([&] { return next.answers() == 1; }));
  EXPECT_EQ(next.answer(0).result_int(), 200u);
}

TEST_F(FinalAnswerTest, ComesBesideAClientThatFloods) {
  start(2);
  for (const auto& upstream : upstreams) {
    upstream->onRequest = [](Peer::Exchange& call) { call.reply(200, ""); };
  }
  tcp::socket flood(io);
  flood.connect({asio::ip::address_v4::loopback(), sidecar->port()});
  flood.non_blocking(true);
  std::string much;
  for (int n = 0; n < 500; ++n) {
    Request request;
    request.trace = traceOf(10'000 + n);
    request.body.assign(1000, 'b');
    much += request.text();
  }
  std::size_t at = 0;
  const auto pour = [&] {
    error_code error;
    at = (at + flood.write_some(asio::buffer(much) + at, error)) % much.size();
  };
  pour();
  connect(30);
  ask(3000);
  for (int n = 0; n < 20; ++n) {
    pour();
    pollAll(io);
  }
  expectAnswers(3000);
  EXPECT_GT(statuses[200], 0);
}

TEST_F(FinalAnswerTest, ComesBesideInvalidAnswers) {
  start(2);
  upstreams[0]->onRequest = [](Peer::Exchange& call) { call.raw("HTTP/1.1 2x0 what\r\n\r\n"); };
  upstreams[1]->onRequest = [](Peer::Exchange& call) { call.reply(200, ""); };
  connect(30);
  ask(3000);
  expectAnswers(3000);
  EXPECT_GT(statuses[200], 0);
}

}  // namespace
}  // namespace ivypost
