// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The connection limit of a complete sidecar, over loopback sockets.
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
  // A connection that is there, with this written to it, before the loop runs again.
  tcp::socket connectAhead(const std::string& bytes) {
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), sidecar->port()});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }
  // Whether a reset takes the place of the answer is up to the network; what counts is the node.
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

// Incident r88fa20: clients that ask once, and then hold their connections without using them, take all
// slots from the others for two seconds each. Now they get theirs one after the other.
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

// A client that uses its connection again keeps it, while one that came for the first time does not.
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

// A connection that its client has left while it stood in the kernel's queue goes no further, complete
// request or not: it would cost a node's work that nobody waits for.
TEST_F(ConnectionLimitTest, DropsConnectionsThatClosedInTheAcceptQueue) {
  start(1);
  for (int n = 0; n < 20; ++n) connectAhead(Request().text()).close();
  tcp::socket half = connectAhead(Request().text());
  half.shutdown(tcp::socket::shutdown_send);
  serveOne("00000000000000b2");
  EXPECT_EQ(arrived(), 1u);
}

// A sidecar that was paused finds requests whose time is up: they are rejected at once, and none reaches a
// node. One with time left is served within what is left of it.
TEST_F(ConnectionLimitTest, ARequestsTimeCountsWhileItIsUnread) {
  start(1);
  std::vector<tcp::socket> late;
  Request request;
  for (int n = 0; n < 20; ++n) {
    request.trace = "00000000000000" + std::to_string(10 + n);
    request.expiresInMs = 30;
    late.push_back(connectAhead(request.text()));
  }
  // The kernel's clock is the one that counts here; nothing is awaited.
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

// When nearly all connections are active, further requests are rejected at once: they would wait in the
// kernel's queue until their time is up.
TEST_F(ConnectionLimitTest, RejectsAtOnceWhenNearlyAllConnectionsAreActive) {
  start(1, kElevenConnections);
  std::vector<Client> active;
  for (int n = 0; n < 9; ++n) {
    active.push_back(client());
    // Its last byte is yet to come.
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

// Slots of clients that don't close their connections after the last response are free as soon as that is
// acknowledged, not after the complete time of lingering.
TEST_F(ConnectionLimitTest, EvictsClosingConnectionsOnceTheirResponsesAreAcknowledged) {
  start(1, kElevenConnections);
  std::vector<tcp::socket> staying;
  const auto from = Clock::now();
  for (int n = 0; n < 150; ++n) {
    staying.push_back(connectAhead("GET /ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n"));
    auto& socket = staying.back();
    ASSERT_TRUE(wait([&] { return socket.available() > 0; }));
  }
  // Eleven at a time, 200 ms each, would take 2.6 s; a late acknowledgement takes 40 ms.
  EXPECT_LT(Clock::now() - from, std::chrono::milliseconds(2300));
}

}  // namespace
}  // namespace ivypost
