// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Attempts and idle connections at the moments when a time runs out.
#include <sys/socket.h>

#include <set>

#include "moments.h"

namespace ivypost {
namespace {

// Of this process's socket at this address.
void growSendBuffer(const tcp::endpoint& of) {
  for (int descriptor = 3; descriptor < 256; ++descriptor) {
    tcp::endpoint at;
    socklen_t size = static_cast<socklen_t>(at.capacity());
    if (::getsockname(descriptor, at.data(), &size) != 0 || at != of) continue;
    const int bytes = 200'000;
    ASSERT_EQ(::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes), 0);
    return;
  }
  FAIL() << "no such socket";
}

class PoolTest : public SidecarTest {
 protected:
  void open(const json& patch) {
    config.emplace(configure(patch));
    pool.emplace(io, *config, budget,
                 Upstreams::Callbacks{[](AttemptId) {},
                                      [this](AttemptEnd end) { ends.push_back(std::move(end)); },
                                      {},
                                      {},
                                      [this](orchiddrum::RequestId id) { return gone.count(id) > 0; }});
  }
  void send(orchiddrum::RequestId id, const std::string& body, const std::string& padding = "") {
    auto message = std::make_shared<Message>();
    message->method(http::verb::post);
    message->target("/cambio/7");
    message->version(11);
    message->set("X-Trace-Id", traceOf(static_cast<int>(id)));
    if (!padding.empty()) message->set("X-Props", padding);
    message->body() = body;
    AttemptOrder order;
    order.id = {id, 0};
    order.message = std::move(message);
    order.deadline = order.writeBy = Clock::now() + std::chrono::seconds(60);
    pool->send(std::move(order));
  }

  relay::Budget budget{1'000'000};
  std::optional<Config> config;
  std::optional<Upstreams> pool;
  std::vector<AttemptEnd> ends;
  std::set<orchiddrum::RequestId> gone;  // whose clients have left
};

// First attempts, retries and hedged requests all begin here: nobody's goes out on an idle connection, and
// that connection is still there for the next one.
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
  EXPECT_EQ(ends.size(), 1u) << "not from within the call";
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].id.request, 2u);
  EXPECT_EQ(ends[1].outcome, Outcome::Moot);
  send(3, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  EXPECT_EQ(upstream.requests[1].message["X-Trace-Id"], traceOf(3));
  EXPECT_EQ(upstream.lines.size(), 1u);
}

// It leaves while a connection comes up, and nobody has said so by then.
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

// The kernel takes the rest of a request in the turn in which its upstream is given up as one that does not
// read: a first piece before the handler of that time, and the last one with it already queued. Whatever has
// gone out whole may run, so the attempt must not end as one that never did.
TEST_F(PoolTest, WhatHasGoneOutWholeIsNeverTakenForUnsent) {
  tcp::acceptor node(io, tcp::v4());
  node.set_option(asio::socket_base::receive_buffer_size(2048));
  node.bind({asio::ip::address_v4::loopback(), 0});
  node.listen();
  open({{"settings", {{"limits", {{"connectTimeout", 100'000}}}}}});
  pool->setAddress(0, node.local_endpoint());
  std::optional<tcp::socket> line;
  node.async_accept([&](error_code, tcp::socket socket) { line = std::move(socket); });
  const auto sentAt = Clock::now();
  const std::string body(60'000, 'b');
  send(1, body, std::string(60'000, 'h'));
  ASSERT_TRUE(wait([&] { return line && line->available() > 0; }));
  pollAll(io);
  // While the loop stands still the kernel gets room for all of the rest, and the time runs out.
  growSendBuffer(line->remote_endpoint());
  standStill(sentAt + milliseconds(110) - Clock::now());
  pollAll(io);
  std::string got;
  std::array<char, 65536> bytes{};
  line->non_blocking(true);
  line->set_option(asio::socket_base::receive_buffer_size(1 << 20));
  const auto whole = [&] {
    error_code error;
    got.append(bytes.data(), line->read_some(asio::buffer(bytes), error));
    pollAll(io);
    return got.size() > 2 * body.size() || (error && error != asio::error::would_block);
  };
  ASSERT_TRUE(wait(whole));
  const bool came = got.size() > 2 * body.size();
  if (came) {
    EXPECT_TRUE(ends.empty());
  } else {
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].outcome, Outcome::ConnectFailed);
  }
}

// The idle time runs out while the loop stands still, and a request comes ahead of the handler that would
// close the connection: its upstream may be closing it just then.
TEST_F(PoolTest, AConnectionIsNotUsedPastItsIdleTime) {
  Peer upstream(io);
  open({{"settings", {{"limits", {{"idleClose", 200'000}}}}}});
  pool->setAddress(0, parseEndpoint(upstream.address()));
  send(1, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 1; }));
  upstream.requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  standStill(milliseconds(190));
  send(2, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 2; }));
  EXPECT_EQ(upstream.lines.size(), 2u);
  EXPECT_NE(upstream.requests[1].line, upstream.requests[0].line);
}

// What is over is taken back only as far as it has not gone out, and ends as never sent.
TEST_F(PoolTest, WithdrawingTakesBackWhatHasNotGoneOut) {
  Peer upstream(io);
  FullListener full(io);
  open(json::object());
  pool->setAddress(0, parseEndpoint(upstream.address()));
  send(1, "x");
  ASSERT_TRUE(wait([&] { return upstream.requests.size() == 1; }));
  pool->withdraw(1);
  pool->withdraw(9);
  pool->setAddress(0, parseEndpoint(full.address()));
  send(2, "x");
  ASSERT_EQ(pool->comingUp(), 1u);
  pool->withdraw(2);
  ASSERT_TRUE(wait([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].id.request, 2u);
  EXPECT_EQ(ends[0].outcome, Outcome::Moot);
  upstream.requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::Ok);
}

}  // namespace
}  // namespace ivypost
