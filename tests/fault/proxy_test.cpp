// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The proxy between real sockets on loopback.
#include "fault/proxy.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "fault/control.h"

namespace ivypost::fault {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

bool until(asio::io_context& io, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

// Either end of a connection: keeps what came and how it ended.
struct End : std::enable_shared_from_this<End> {
  explicit End(asio::io_context& io) : socket(io) {}
  void read() {
    buffer.resize(65536);
    socket.async_read_some(asio::buffer(buffer),
                           [self = shared_from_this()](error_code failed, std::size_t size) {
                             if (failed) {
                               self->error = failed;
                               return;
                             }
                             self->got.append(self->buffer, 0, size);
                             if (self->echo)
                               asio::write(self->socket, asio::buffer(self->buffer.data(), size), failed);
                             self->read();
                           });
  }
  void send(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  bool eof() const { return error == asio::error::eof; }
  bool reset() const { return error == asio::error::connection_reset || error == asio::error::broken_pipe; }
  Stream::socket socket;
  std::string buffer, got;
  error_code error;
  bool echo = false;
};

class ProxyTest : public testing::Test {
 protected:
  ProxyTest() : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) { accept(); }

  void start(Plan plan = {}, std::uint64_t seed = 1,
             Address listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Proxy::Options options;
    options.listen = listen;
    options.to = acceptor.local_endpoint();
    options.plan = std::move(plan);
    options.seed = seed;
    options.log = [this](std::uint64_t connection, const Done& done) { log.push_back({connection, done}); };
    proxy = std::make_unique<Proxy>(io, std::move(options));
  }

  static Plan one(Direction direction, Trigger trigger, Action action) {
    Plan plan;
    plan.rules.emplace_back();
    plan.rules[0].steps.push_back({direction, std::move(trigger), std::move(action)});
    return plan;
  }

  std::shared_ptr<End> connect() {
    const auto end = std::make_shared<End>(io);
    end->socket.connect(proxy->address());
    end->read();
    return end;
  }

  bool wait(const std::function<bool()>& condition) { return until(io, condition); }

  void accept() {
    const auto end = std::make_shared<End>(io);
    acceptor.async_accept(end->socket, [this, end](error_code error) {
      if (error) return;
      end->echo = echo;
      servers.push_back(end);
      if (reads) end->read();
      accept();
    });
  }

  asio::io_context io;
  asio::basic_socket_acceptor<tcp> acceptor;
  std::vector<std::shared_ptr<End>> servers;
  std::vector<std::pair<std::uint64_t, Done>> log;
  std::unique_ptr<Proxy> proxy;
  bool echo = false, reads = true;
};

TEST_F(ProxyTest, PassesBothWaysAndBothEnds) {
  start();
  const auto client = connect();
  client->send("question");
  ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->got == "question"; }));
  servers[0]->send("answer");
  ASSERT_TRUE(wait([&] { return client->got == "answer"; }));
  client->socket.shutdown(asio::socket_base::shutdown_send);
  ASSERT_TRUE(wait([&] { return servers[0]->eof(); }));
  servers[0]->send(" more");
  servers[0]->socket.close();
  ASSERT_TRUE(wait([&] { return client->eof() && proxy->counts().open == 0; }));
  EXPECT_EQ(client->got, "answer more");
  EXPECT_EQ(proxy->counts().requestBytes, 8u);
  EXPECT_EQ(proxy->counts().answerBytes, 11u);
}

// Guards the hard case: reset with the request whole at the server and no byte of the answer sent.
TEST_F(ProxyTest, ResetsBetweenTheLastByteAndTheAnswer) {
  start(one(Direction::Request, {AtLast{1}, {}}, Reset{Side::Client}));
  const auto client = connect();
  const std::string request = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
  client->send(request);
  ASSERT_TRUE(wait([&] { return client->reset(); }));
  ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->eof(); }));
  EXPECT_EQ(servers[0]->got, request);
  EXPECT_EQ(client->got, "");
  ASSERT_EQ(log.size(), 1u);
  EXPECT_EQ(log[0].second.offset, request.size());
}

// Guards the hard case: a server that reads on and never writes, seen from the client as a half-close.
TEST_F(ProxyTest, HalfClosesOneDirectionAndKeepsTheOther) {
  start(one(Direction::Answer, {}, HalfClose{}));
  const auto client = connect();
  ASSERT_TRUE(wait([&] { return client->eof(); }));
  client->send("still read");
  ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->got == "still read"; }));
  servers[0]->send("never seen");
  client->send("!");
  ASSERT_TRUE(wait([&] { return servers[0]->got == "still read!"; }));
  EXPECT_EQ(client->got, "");
}

TEST_F(ProxyTest, RefusesAndStaysSilent) {
  Plan plan = one(Direction::Request, {}, Reject{});
  plan.rules[0].connections.numbers = {1};
  plan.rules.push_back({{{2}, 1, 1}, {{Direction::Request, {}, Silent{}}}});
  start(std::move(plan));
  const auto refused = connect();
  ASSERT_TRUE(wait([&] { return refused->reset(); }));
  const auto silent = connect();
  silent->send("hello");
  const auto usual = connect();
  usual->send("x");
  ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->got == "x"; }));
  EXPECT_FALSE(silent->error);
  // Without the plan it is connected on, and nothing was lost.
  proxy->apply({});
  ASSERT_TRUE(wait([&] { return servers.size() == 2 && servers[1]->got == "hello"; }));
}

TEST_F(ProxyTest, ListenerRefusesAndFillsUp) {
  Plan plan;
  plan.listener = Listener::Reject;
  start(plan);
  const auto address = proxy->address();
  error_code error;
  Stream::socket first(io);
  first.connect(address, error);
  EXPECT_EQ(error, asio::error::connection_refused);
  // Full: a connect gets no answer. It has none either way within a moment, so a time stands in for never.
  plan.listener = Listener::Full;
  proxy->apply(plan);
  Stream::socket waiting(io);
  bool up = false;
  waiting.async_connect(address, [&up](error_code failed) { up = !failed; });
  asio::steady_timer pause(io, std::chrono::milliseconds(200));
  bool over = false;
  pause.async_wait([&over](error_code) { over = true; });
  ASSERT_TRUE(wait([&] { return over; }));
  EXPECT_FALSE(up);
  // Open again: the same connect comes up by itself.
  plan.listener = Listener::Accept;
  proxy->apply(plan);
  ASSERT_TRUE(wait([&] { return up; }));
}

// Guards the bound: a client that never reads stops the server's reading, and memory stays.
TEST_F(ProxyTest, AClientThatNeverReadsHoldsUpTheServer) {
  start();
  Stream::socket client(io);
  client.connect(proxy->address());
  ASSERT_TRUE(wait([&] { return servers.size() == 1; }));
  auto& server = servers[0]->socket;
  server.non_blocking(true);
  const std::string block(1 << 16, 'x');
  std::size_t sent = 0;
  // Until the server's writes have stood still over many turns of the loop.
  for (int still = 0; still < 200; ++still) {
    error_code error;
    const std::size_t size = server.write_some(asio::buffer(block), error);
    if (!error) sent += size, still = 0;
    io.restart();
    io.run_for(std::chrono::milliseconds(1));
  }
  EXPECT_LE(proxy->list(1)[0].held, kMaxHeld);
  EXPECT_GE(proxy->list(1)[0].held, kMaxHeld / 2);
  // Read at last, all of it comes.
  std::size_t got = 0;
  client.non_blocking(true);
  std::string buffer(1 << 16, 0);
  ASSERT_TRUE(wait([&] {
    error_code error;
    const std::size_t size = client.read_some(asio::buffer(buffer), error);
    if (!error) got += size;
    asio::post(io, [] {});
    return got == sent;
  }));
}

// Guards against one direction that waits for its socket and holds up the other, which waits for a time.
TEST_F(ProxyTest, ABlockedDirectionDoesNotHoldUpTheOther) {
  reads = false;
  start(one(Direction::Answer, {}, Delay{50'000, 0}));
  const auto client = connect();
  ASSERT_TRUE(wait([&] { return servers.size() == 1; }));
  client->socket.non_blocking(true);
  const std::string block(1 << 16, 'x');
  for (int still = 0; still < 50; ++still) {
    error_code error;
    client->socket.write_some(asio::buffer(block), error);
    if (!error) still = 0;
    io.restart();
    io.run_for(std::chrono::milliseconds(1));
  }
  ASSERT_GT(proxy->list(1)[0].held, 0u);
  servers[0]->send("answer");
  EXPECT_TRUE(wait([&] { return client->got == "answer"; }));
}

TEST_F(ProxyTest, CarriesAThousandConnections) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < 5000) GTEST_SKIP() << "needs 5,000 descriptors";
  echo = true;
  start(one(Direction::Request, {}, Split{{3}, 0}));
  std::vector<std::shared_ptr<End>> clients;
  for (int n = 0; n < 1000; ++n) {
    clients.push_back(connect());
    clients.back()->send("hello " + std::to_string(n));
    if (n % 50 == 0) {
      io.restart();
      io.poll();
    }
  }
  ASSERT_TRUE(wait([&] {
    for (int n = 0; n < 1000; ++n) {
      if (clients[static_cast<std::size_t>(n)]->got != "hello " + std::to_string(n)) return false;
    }
    return true;
  }));
  EXPECT_EQ(proxy->counts().open, 1000u);
  for (const auto& client : clients) client->socket.close();
  for (const auto& server : servers) server->socket.close();
  EXPECT_TRUE(wait([&] { return proxy->counts().open == 0; }));
}

// Guards against a lost byte: the plan changes while bytes wait for their time.
TEST_F(ProxyTest, APlanIsReplacedWhileBytesAreHeld) {
  start(one(Direction::Request, {}, Delay{100'000, 0}));
  const auto client = connect();
  client->send("held");
  ASSERT_TRUE(wait([&] { return proxy->counts().requestBytes == 4; }));
  proxy->apply({});
  client->send(" now");
  ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->got == "held now"; }));
}

TEST_F(ProxyTest, BothSidesEndAtOnce) {
  start();
  for (int n = 0; n < 100; ++n) {
    servers.clear();
    const auto client = connect();
    client->send("x");
    ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->got == "x"; }));
    if (n % 2 == 0) {
      client->socket.close();
      servers[0]->socket.close();
    } else {
      for (auto* socket : {&client->socket, &servers[0]->socket}) {
        socket->set_option(asio::socket_base::linger(true, 0));
        socket->close();
      }
    }
    ASSERT_TRUE(wait([&] { return proxy->counts().open == 0; }));
  }
}

TEST_F(ProxyTest, TellsWhenTheServerIsUnreachable) {
  start();
  acceptor.close();
  const auto client = connect();
  ASSERT_TRUE(wait([&] { return client->reset(); }));
  EXPECT_EQ(proxy->counts().unreachable, 1u);
}

std::string temporaryPath(const char* name) {
  const char* const dir = std::getenv("TMPDIR");
  return std::string(dir != nullptr ? dir : "/tmp") + "/ivyfault-" + std::to_string(::getpid()) + "-" + name;
}

TEST_F(ProxyTest, ListensOnUnixSockets) {
  const std::string path = temporaryPath("listen");
  for (const std::string& where : {"unix:" + path, "unix:@ivyfault-" + std::to_string(::getpid())}) {
    servers.clear();
    start({}, 1, parseAddress(where));
    EXPECT_EQ(formatAddress(proxy->address()), where);
    const auto client = connect();
    client->send("x");
    ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->got == "x"; }));
    proxy.reset();
  }
  EXPECT_NE(::access(path.c_str(), F_OK), 0);
  // A file that is no socket stays, and is an error.
  std::ofstream(path) << "mine";
  EXPECT_THROW(start({}, 1, parseAddress("unix:" + path)), boost::system::system_error);
  EXPECT_EQ(::access(path.c_str(), F_OK), 0);
  ::unlink(path.c_str());
}

TEST(Address, ReadsTheFormsAndRefusesOthers) {
  for (const char* text : {"127.0.0.1:80", "[::1]:443", "unix:/tmp/x", "unix:@name"})
    EXPECT_EQ(formatAddress(parseAddress(text)), text);
  for (const std::string& text : {std::string("localhost:80"), std::string("127.0.0.1"), std::string(":80"),
                                  std::string("127.0.0.1:65536"), std::string("127.0.0.1:"),
                                  std::string("unix:"), "unix:/" + std::string(107, 'x'), std::string()})
    EXPECT_THROW(parseAddress(text), std::invalid_argument) << text;
}

TEST_F(ProxyTest, TakesSoManyControllersAndNoMore) {
  start();
  const std::string path = temporaryPath("controllers");
  Control control(io, path, *proxy);
  std::vector<std::shared_ptr<End>> controllers;
  for (std::size_t n = 0; n <= kMaxControllers; ++n) {
    controllers.push_back(std::make_shared<End>(io));
    controllers.back()->socket.connect(asio::local::stream_protocol::endpoint(path));
    controllers.back()->read();
  }
  ASSERT_TRUE(wait([&] { return controllers.back()->eof(); }));
  controllers.front()->send("{\"do\":\"counts\"}\n");
  ASSERT_TRUE(wait([&] { return !controllers.front()->got.empty(); }));
  for (std::size_t n = 0; n < kMaxControllers; ++n) EXPECT_FALSE(controllers[n]->error);
}

// Commands: each answered by one line, bad ones with a reason and nothing changed.
TEST_F(ProxyTest, AnswersCommands) {
  start(one(Direction::Request, {AtCommand{"cut"}, {}}, Reset{}));
  const std::string path = temporaryPath("control");
  Control control(io, path, *proxy);
  const auto controller = std::make_shared<End>(io);
  controller->socket.connect(asio::local::stream_protocol::endpoint(path));
  controller->read();
  const auto ask = [&](const std::string& line) {
    controller->got.clear();
    controller->send(line + "\n");
    EXPECT_TRUE(wait([&] { return !controller->got.empty() && controller->got.back() == '\n'; }));
    return nlohmann::json::parse(controller->got);
  };
  const auto client = connect();
  client->send("x");
  ASSERT_TRUE(wait([&] { return servers.size() == 1 && servers[0]->got == "x"; }));
  EXPECT_EQ(ask(R"({"do":"list"})")["connections"][0]["request_bytes"], 1);
  const auto reason = [&](const std::string& line) {
    const auto answer = ask(line);
    EXPECT_EQ(answer["ok"], false) << line;
    return answer["error"].get<std::string>();
  };
  EXPECT_EQ(reason(R"({"do":"dance"})"),
            "'dance' is no command; allowed is apply, clear, command, list, counts");
  EXPECT_EQ(reason(R"({"do":"apply","plan":"rule = 1"})"),
            "plan:1: rule: 1 stands where tables belong: [[rule]]");
  for (const char* line : {"", "{", "[]", "{\"do\":1}", "{\"do\":\"apply\"}", "\xff\xfe"})
    EXPECT_NE(reason(line), "");
  EXPECT_FALSE(client->error);
  EXPECT_EQ(ask(R"({"do":"command","name":"cut"})")["ok"], true);
  ASSERT_TRUE(wait([&] { return client->reset(); }));
  EXPECT_EQ(ask(R"({"do":"counts"})")["faults"]["reset"], 1);
  const std::string plan = R"([[rule]]\n[[rule.request]]\ndo = \"refuse\")";
  EXPECT_EQ(ask(R"({"do":"apply","plan":")" + plan + "\"}")["rules"], 1);
  const auto refused = connect();
  ASSERT_TRUE(wait([&] { return refused->reset(); }));
  EXPECT_EQ(ask(R"({"do":"clear"})")["ok"], true);
  // A line without end is cut off at its bound.
  controller->socket.non_blocking(true);
  const std::string endless(1 << 16, 'x');
  ASSERT_TRUE(wait([&] {
    error_code error;
    controller->socket.write_some(asio::buffer(endless), error);
    asio::post(io, [] {});
    return static_cast<bool>(controller->error);
  }));
}

}  // namespace
}  // namespace ivypost::fault
