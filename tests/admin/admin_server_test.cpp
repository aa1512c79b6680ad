// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests the server over loopback sockets with callers that are slow, send invalid calls, are numerous or send
// nothing.
#include "admin/admin_server.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace ivypost::admin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class Caller {
 public:
  Caller(asio::io_context& io, std::uint16_t port) : connection_(std::make_shared<Connection>(io)) {
    connection_->socket.connect({asio::ip::address_v4::loopback(), port});
    read(connection_);
  }
  void send(const std::string& bytes) const { asio::write(connection_->socket, asio::buffer(bytes)); }
  const std::string& received() const { return connection_->received; }
  bool closed() const { return connection_->closed; }
  std::string status() const { return connection_->received.substr(0, 12); }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string received;
    std::array<char, 1024> bytes{};
    bool closed = false;
  };
  static void read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(asio::buffer(connection->bytes),
                                       [connection](error_code error, std::size_t size) {
                                         connection->received.append(connection->bytes.data(), size);
                                         connection->closed = static_cast<bool>(error);
                                         if (!error) read(connection);
                                       });
  }
  std::shared_ptr<Connection> connection_;
};

class AdminServerTest : public testing::Test {
 protected:
  AdminServerTest()
      : server(io, {asio::ip::address_v4::loopback(), 0},
               [this](const Call& call, const AdminServer::Answer& answer) {
                 calls.push_back(call);
                 if (isDeferred) {
                   answers.push_back(answer);
                   return;
                 }
                 answer({200, "done"});
                 answer({500, "a second answer"});
               }) {}

  bool wait(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
  }

  Caller call(const std::string& text) {
    Caller caller(io, server.port());
    caller.send(text);
    EXPECT_TRUE(wait([&] { return caller.closed(); })) << text;
    return caller;
  }

  asio::io_context io;
  std::vector<Call> calls;
  bool isDeferred = false;  // the handler does not answer; the test does
  std::vector<AdminServer::Answer> answers;
  AdminServer server;
};

TEST_F(AdminServerTest, AnswersOneCallToAConnection) {
  const std::string text = "POST /api/exclude/s-1 HTTP/1.1\r\nHost: x\r\n\r\n";
  const Caller caller = call(text + text);
  EXPECT_EQ(caller.status(), "HTTP/1.1 200");
  EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
  EXPECT_EQ(calls.size(), 1U);
  EXPECT_EQ(caller.received().find("HTTP/1.1", 1), std::string::npos) << "a second answer";
}

TEST_F(AdminServerTest, AnswersACallInSingleBytesAndOneWithABody) {
  Caller caller(io, server.port());
  for (const char byte : std::string("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
    EXPECT_TRUE(caller.received().empty());
    caller.send(std::string(1, byte));
    io.restart();
    io.poll();
  }
  EXPECT_TRUE(wait([&] { return caller.closed(); }));
  EXPECT_EQ(caller.status(), "HTTP/1.1 200");
  EXPECT_EQ(call("POST /api/rejoin HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello").status(),
            "HTTP/1.1 200");
  EXPECT_EQ(
      call("POST /api/rejoin HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n").status(),
      "HTTP/1.1 200");
  EXPECT_EQ(calls.size(), 3U);
}

TEST_F(AdminServerTest, InvalidCallsGetAnErrorStatusAndAreNotHandled) {
  EXPECT_EQ(call("BLAH\r\n\r\n").status(), "HTTP/1.1 400");
  EXPECT_EQ(call("GET /api/ready HTTP/9.9\r\n\r\n").status(), "HTTP/1.1 400");
  EXPECT_EQ(call("GET /api/ready HTTP/1.1\r\nA: " + std::string(9000, 'a') + "\r\n\r\n").status(),
            "HTTP/1.1 431");
  EXPECT_EQ(call("POST /api/rejoin HTTP/1.1\r\nContent-Length: 17000\r\n\r\n").status(), "HTTP/1.1 413");
  EXPECT_EQ(call("GET /api/evacuate HTTP/1.1\r\n\r\n").status(), "HTTP/1.1 405");
  EXPECT_EQ(call("GET /metrics HTTP/1.1\r\n\r\n").status(), "HTTP/1.1 404");
  EXPECT_TRUE(calls.empty());
}

// A truncated call must not be handled: its connection may have broken in the middle of an id.
TEST_F(AdminServerTest, ACallThatIsCutShortIsNotHandled) {
  {
    Caller caller(io, server.port());
    caller.send("POST /api/evacuate HTTP/1.1\r\nHost: x\r\n");
    ASSERT_TRUE(wait([&] { return server.connections() == 1; }));
  }
  EXPECT_EQ(call("GET /api/ready HTTP/1.1\r\n\r\n").status(), "HTTP/1.1 200");
  EXPECT_EQ(calls.size(), 1U);
}

// Hundreds of callers hold connections with an incomplete call. The server must close the oldest ones and
// answer a complete call.
TEST_F(AdminServerTest, IncompleteCallsDoNotBlockOtherCallers) {
  std::deque<Caller> holders;
  for (int n = 0; n < 300; ++n) {
    holders.emplace_back(io, server.port());
    holders.back().send("GET /api/rea");
  }
  const Caller caller = call("GET /api/ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(caller.status(), "HTTP/1.1 200");
  EXPECT_LE(server.connections(), AdminServer::kMaxConnections);
  EXPECT_TRUE(wait([&] { return holders.front().closed(); }));
  EXPECT_FALSE(holders.back().closed());
}

TEST_F(AdminServerTest, ALateAnswerIsSentOnceAndOthersAreServedMeanwhile) {
  isDeferred = true;
  Caller waits(io, server.port());
  waits.send("POST /api/exclude/s-1 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(wait([&] { return answers.size() == 1; }));
  isDeferred = false;
  EXPECT_EQ(call("GET /api/ready HTTP/1.1\r\n\r\n").status(), "HTTP/1.1 200");
  EXPECT_TRUE(waits.received().empty());
  answers[0]({503, "late"});
  answers[0]({200, "again"});
  ASSERT_TRUE(wait([&] { return waits.closed(); }));
  EXPECT_EQ(waits.status(), "HTTP/1.1 503");
  EXPECT_EQ(waits.received().find("HTTP/1.1", 1), std::string::npos) << "a second answer";
}

TEST(AdminServerLifetimeTest, ALateAnswerMayOutliveTheServer) {
  asio::io_context io;
  AdminServer::Answer kept;
  auto server =
      std::make_unique<AdminServer>(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                                    [&](const Call&, AdminServer::Answer answer) { kept = answer; });
  const Caller caller(io, server->port());
  caller.send("GET /api/ready HTTP/1.1\r\n\r\n");
  while (!kept) io.run_one_for(std::chrono::milliseconds(50));
  server.reset();
  kept({200, "too late"});
  io.restart();
  io.poll();
  EXPECT_TRUE(caller.received().empty());
}

TEST(AdminServerLifetimeTest, AnAddressInUseIsAnError) {
  asio::io_context io;
  const tcp::acceptor other(io, {asio::ip::address_v4::loopback(), 0});
  EXPECT_THROW(AdminServer(io, other.local_endpoint(), [](const Call&, const AdminServer::Answer&) {}),
               boost::system::system_error);
}

}  // namespace
}  // namespace ivypost::admin
