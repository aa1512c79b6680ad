// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests the connection limit of a complete sidecar over loopback sockets.
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "sidecar_rig.h"

namespace ivypost {
namespace {

constexpr const char* kReady = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
const json kElevenConnections = {{"limits", {{"sockets", 20}}}};

class ConnectionLimitTest : public SidecarTest {
 protected:
  // Opens a connection and writes `bytes` to it, before the event loop runs again.
  tcp::socket connectAhead(const std::string& bytes) {
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), sidecar->port()});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }
  // Sends a request on a new connection and expects that it reaches the node and is answered.
  void serveOne(const std::string& trace) {
    const Client usual = client();
    Request request;
    request.trace = trace;
    const auto before = arrived();
    usual.send(request.text());
    ASSERT_TRUE(wait([&] { return arrived() > before; }));
    upstreams[0]->requests.back().reply(200, "served");
    ASSERT_TRUE(wait([&] { return usual.answers() == 1; }));
    EXPECT_EQ(usual.answer(0).result_int(), 200u);
  }
};

// Guards against incident r88fa20: clients that sent one request and then held their connections unused
// occupied all slots, for two seconds each. With half the slots taken, the response now closes such a
// connection.
TEST_F(ConnectionLimitTest, ResponsesCloseUnusedConnectionsWhenHalfTheSlotsAreTaken) {
  start(1, kElevenConnections);
  std::vector<Client> holding;
  for (int n = 0; n < 40; ++n) {
    holding.push_back(client());
    holding.back().send(kReady);
    ASSERT_TRUE(wait([&] { return holding.back().answers() == 1; }));
    EXPECT_EQ(holding.back().answer(0).keep_alive(), n < 5) << n;
  }
  serveOne("00000000000000b1");
  for (int n = 0; n < 5; ++n) EXPECT_FALSE(holding[static_cast<std::size_t>(n)].closed());
}

// A connection that its client reuses is kept alive; a connection that has carried only one request is not.
TEST_F(ConnectionLimitTest, KeepsAConnectionThatIsUsedAgain) {
  start(1, kElevenConnections);
  std::vector<Client> holding;
  for (int n = 0; n < 5; ++n) {
    holding.push_back(client());
    holding.back().send(kReady);
    ASSERT_TRUE(wait([&] { return holding.back().answers() == 1; }));
  }
  const Client first = client();
  holding[0].send(kReady);
  ASSERT_TRUE(wait([&] { return holding[0].answers() == 2; }));
  EXPECT_TRUE(holding[0].answer(1).keep_alive());
  first.send(kReady);
  ASSERT_TRUE(wait([&] { return first.answers() == 1; }));
  EXPECT_FALSE(first.answer(0).keep_alive());
}

// A connection that its client closed in the kernel's accept queue is dropped, whether or not its request is
// complete: no client waits for the work that the request would cause on a node.
TEST_F(ConnectionLimitTest, DropsConnectionsThatClosedInTheAcceptQueue) {
  start(1);
  for (int n = 0; n < 20; ++n) connectAhead(Request().text()).close();
  tcp::socket half = connectAhead(Request().text());
  half.shutdown(tcp::socket::shutdown_send);
  serveOne("00000000000000b2");
  EXPECT_EQ(arrived(), 1u);
}

// After a pause of the sidecar, requests whose time has expired unread are rejected at once and do not reach
// a node. A request with time left is forwarded with its remaining time.
TEST_F(ConnectionLimitTest, ARequestsTimeCountsWhileItIsUnread) {
  start(1);
  std::vector<tcp::socket> late;
  Request request;
  for (int n = 0; n < 20; ++n) {
    request.trace = "00000000000000" + std::to_string(10 + n);
    request.expiresInMs = 30;
    late.push_back(connectAhead(request.text()));
  }
  // The kernel measures how long data is unread, so real time has to pass; no event can be awaited instead.
  std::this_thread::sleep_for(std::chrono::milliseconds(120));
  serveOne("00000000000000b3");
  EXPECT_EQ(arrived(), 1u);
  for (auto& socket : late) {
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    http::read(socket, buffer, answer);
    EXPECT_EQ(answer.result_int(), 503u);
  }
  request.trace = "00000000000000b4";
  request.expiresInMs = 10'000;
  tcp::socket inTime = connectAhead(request.text());
  std::this_thread::sleep_for(std::chrono::milliseconds(120));
  ASSERT_TRUE(wait([&] { return arrived() == 2; }));
  const auto left = upstreams[0]->requests.back().message["X-Expires-In-Ms"];
  EXPECT_LE(std::stoi(std::string(left.data(), left.size())), 9'900);
}

// When nearly all connections are active, further requests are rejected at once: otherwise they would wait in
// the kernel's accept queue until their time expires.
TEST_F(ConnectionLimitTest, RejectsAtOnceWhenNearlyAllConnectionsAreActive) {
  start(1, kElevenConnections);
  std::vector<Client> active;
  for (int n = 0; n < 9; ++n) {
    active.push_back(client());
    // The last byte is not sent, so the request stays incomplete and the connection active.
    const std::string text = Request().text();
    active.back().send(text.substr(0, text.size() - 1));
  }
  for (int n = 0; n < 5; ++n) {
    const Client more = client();
    Request request;
    request.trace = "00000000000000d" + std::to_string(n);
    more.send(request.text());
    ASSERT_TRUE(wait([&] { return more.answers() == 1; }));
    EXPECT_EQ(more.answer(0).result_int(), 503u);
    EXPECT_FALSE(more.answer(0).keep_alive());
  }
}

// When a client does not close its connection after the last response, its slot can be reused as soon as the
// response is acknowledged, and not only after the full linger time.
TEST_F(ConnectionLimitTest, EvictsClosingConnectionsOnceTheirResponsesAreAcknowledged) {
  start(1, kElevenConnections);
  std::vector<tcp::socket> staying;
  const auto from = Clock::now();
  for (int n = 0; n < 150; ++n) {
    staying.push_back(connectAhead("GET /ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n"));
    auto& socket = staying.back();
    ASSERT_TRUE(wait([&] { return socket.available() > 0; }));
  }
  // With the full linger time, eleven connections per 200 ms would take 2.6 s; a delayed acknowledgement
  // takes 40 ms.
  EXPECT_LT(Clock::now() - from, std::chrono::milliseconds(2300));
}

}  // namespace
}  // namespace ivypost
