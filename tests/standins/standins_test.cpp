// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The stand-ins over loopback, each against the platform's protocol page.
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/client.h"
#include "standins/clock.h"
#include "standins/discovery.h"
#include "standins/node.h"

namespace ivypost::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

bool until(asio::io_context& io, const std::function<bool()>& condition) {
  const auto end = SteadyClock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (SteadyClock::now() > end) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

// A connection that a test writes to by hand.
struct Caller {
  Caller(asio::io_context& loop, const tcp::endpoint& to) : io(loop), socket(loop) { socket.connect(to); }
  void send(const std::string& text) {
    error_code ended;  // is seen by answer()
    asio::write(socket, asio::buffer(text), ended);
  }
  // The next whole answer; status 0 when the connection ended.
  http::response<http::string_body> answer() {
    http::response<http::string_body> message;
    message.result(0);
    bool over = false;
    http::response_parser<http::string_body> parser;
    http::async_read(socket, buffer, parser, [&](error_code error, std::size_t) {
      over = true;
      if (!error) message = parser.release();
    });
    EXPECT_TRUE(until(io, [&] { return over; }));
    return message;
  }
  http::response<http::string_body> ask(const std::string& text) {
    send(text);
    return answer();
  }
  asio::io_context& io;
  tcp::socket socket;
  beast::flat_buffer buffer;
};

std::string get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}
std::string post(const std::string& trace, const std::string& key = "") {
  return "POST /reserva/1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + trace + "\r\n" +
         (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: 1\r\n\r\nx";
}

class StandinTest : public testing::Test {
 protected:
  std::unique_ptr<Node> node(NodeSettings model = {}, const std::string& id = "n1", Micros work = 0) {
    Node::Settings settings;
    settings.id = id;
    settings.model = model;
    settings.defaultWork = work;
    settings.reportsInAnswers = true;
    return std::make_unique<Node>(io, settings, ledger, keys);
  }
  asio::io_context io;
  Ledger ledger;
  KeyMemory keys{600'000};
};

TEST_F(StandinTest, NodeServesAndKeepsTheConnection) {
  const auto one = node();
  Caller caller(io, one->listen("s1"));
  for (const char* trace : {"a1", "a2"}) {
    ledger.sent(trace, Effect::Unsafe, nowMicros() + 1'000'000, nowMicros());
    const auto answer = caller.ask(post(trace));
    EXPECT_EQ(answer.result_int(), 200u);
    EXPECT_NE(answer.body().find(trace), std::string::npos);
    EXPECT_EQ(std::string(answer["Endpoint-Load-Metrics"]).rfind("TEXT eps=", 0), 0u);
  }
  EXPECT_EQ(one->connectionsAccepted(), 1u);
  EXPECT_EQ(one->arrivalsOf("a1"), 1u);
  EXPECT_TRUE(ledger.breaches().empty());
  EXPECT_EQ(caller.ask(get("/reserva/1")).result_int(), 404u);
}

TEST_F(StandinTest, NodeAnswersProbes) {
  const auto one = node();
  Caller caller(io, one->listen("s1"));
  EXPECT_EQ(caller.ask(get("/health")).result_int(), 200u);
  EXPECT_EQ(caller.ask(get("/status/load")).body().rfind("TEXT eps=0.00, latency_ms=", 0), 0u);
  EXPECT_EQ(one->probes(), 2u);
}

TEST_F(StandinTest, NodeFailsOnPurpose) {
  const auto one = node();
  const auto at = one->listen("s1");
  struct Case {
    Node::Once once;
    unsigned status;
    bool neverRan;
  };
  for (const Case& c : {Case{Node::Once::Error, 500, false}, Case{Node::Once::TurnAway503, 503, true},
                        Case{Node::Once::TurnAway504, 504, true}, Case{Node::Once::Bare503, 503, false},
                        Case{Node::Once::Bare504, 504, false}, Case{Node::Once::Reset, 0, false},
                        Case{Node::Once::Close, 0, false}}) {
    Caller caller(io, at);
    one->once(c.once);
    const auto answer = caller.ask(post("a1"));
    EXPECT_EQ(answer.result_int(), c.status);
    EXPECT_EQ(answer.count("X-Never-Ran") > 0, c.neverRan);
  }
  EXPECT_EQ(one->arrivalsOf("a1"), 7u);
}

TEST_F(StandinTest, NodeTurnsAwayWhenFullOrDraining) {
  const auto one = node({.cores = 1, .waitingRoom = 0}, "n1", 5'000'000);
  const auto at = one->listen("s1");
  Caller busy(io, at), other(io, at);
  busy.send(post("a1"));
  ASSERT_TRUE(until(io, [&] { return one->arrivals() == 1; }));
  EXPECT_EQ(std::string(other.ask(post("a2"))["X-Never-Ran"]), "1");
  one->drain();
  const auto answer = other.ask(post("a3"));
  EXPECT_EQ(answer.result_int(), 503u);
  EXPECT_EQ(std::string(answer["X-Never-Ran"]), "1");
  // Given up by its client, the work stops.
  busy.socket.close();
  EXPECT_TRUE(until(io, [&] { return one->model().figures(nowMicros()).inflight == 0; }));
}

TEST_F(StandinTest, NodeHangsDiesAndComesBack) {
  const auto one = node();
  const auto at = one->listen("s1");
  Caller caller(io, at);
  one->hang(true);
  caller.send(post("a1"));
  ASSERT_TRUE(until(io, [&] { return one->arrivals() == 1; }));
  one->hang(false);
  EXPECT_EQ(caller.answer().result_int(), 200u);
  one->die();
  EXPECT_EQ(caller.ask(post("a2")).result_int(), 0u);
  tcp::socket refused(io);
  error_code error;
  refused.connect(at, error);
  EXPECT_EQ(error, asio::error::connection_refused);
  one->start();
  Caller again(io, at);
  EXPECT_EQ(again.ask(post("a3")).result_int(), 200u);
}

TEST_F(StandinTest, NodeFallsOverByTooMuch) {
  const auto one =
      node({.cores = 1, .coldShare = 0.3, .warm = 60'000'000, .fallMultiple = 1, .fallWindow = 1'000'000},
           "n1", 50'000'000);
  const auto at = one->listen("s1");
  one->start();
  Caller caller(io, at);
  EXPECT_EQ(caller.ask(post("a1")).result_int(), 0u);
  EXPECT_TRUE(one->model().fallen());
}

TEST_F(StandinTest, NodesOfAGroupDropRepeats) {
  const auto first = node({}, "n1"), second = node({}, "n2");
  Caller one(io, first->listen("s1")), two(io, second->listen("s1"));
  EXPECT_EQ(one.ask(post("a1", "k1")).body().find("a repeat"), std::string::npos);
  EXPECT_NE(two.ask(post("a1", "k1")).body().find("a repeat"), std::string::npos);
  EXPECT_EQ(keys.effects("k1"), 1u);
  EXPECT_EQ(first->arrivalsOfKey("k1") + second->arrivalsOfKey("k1"), 2u);
  EXPECT_EQ(first->arrivalsOfKey("k2"), 0u);
}

// ---- Discovery --------------------------------------------------------------------------------------------

class DiscoveryTest : public StandinTest {
 protected:
  DiscoveryTest() : discovery(io, ledger) {}
  void put(const std::string& id, Discovery::State state = Discovery::State::Up, Micros delay = 0) {
    Discovery::Entry entry;
    entry.id = id;
    entry.state = state;
    entry.addresses[""] = tcp::endpoint(asio::ip::address_v4::loopback(), 1000);
    entry.addresses["s2"] = tcp::endpoint(asio::ip::address_v4::loopback(), 2000);
    discovery.put(std::move(entry), delay);
  }
  static std::string watch(std::int64_t after, int wait) {
    return get("/v1/endpoints?index=" + std::to_string(after) + "&wait=" + std::to_string(wait));
  }
  Discovery discovery;
};

TEST_F(DiscoveryTest, GivesTheListAndEachSidecarItsAddresses) {
  put("n1");
  Caller one(io, discovery.listen("s1")), two(io, discovery.listen("s2"));
  const json list = json::parse(one.ask(get("/v1/endpoints")).body());
  EXPECT_EQ(list["generation"], 41);
  EXPECT_EQ(list["reset"], true);
  EXPECT_EQ(list["instances"][0]["instanceId"], "n1");
  EXPECT_EQ(list["instances"][0]["hostPort"], "127.0.0.1:1000");
  EXPECT_EQ(json::parse(two.ask(get("/v1/endpoints")).body())["instances"][0]["hostPort"], "127.0.0.1:2000");
}

TEST_F(DiscoveryTest, WatchesTellWhatChangedAndNothingElse) {
  put("n1");
  put("n2");
  Caller caller(io, discovery.listen("s1"));
  caller.send(watch(42, 20'000));
  ASSERT_TRUE(until(io, [&] { return discovery.calls() == 1; }));
  put("n1", Discovery::State::Draining, 1000);
  const json change = json::parse(caller.answer().body());
  EXPECT_EQ(change["generation"], 43);
  EXPECT_EQ(change["reset"], false);
  ASSERT_EQ(change["instances"].size(), 1u);
  EXPECT_EQ(change["instances"][0]["lifecycle"], "draining");
  // A wait that ends with no news, and one that is behind.
  EXPECT_TRUE(json::parse(caller.ask(watch(43, 1)).body())["instances"].empty());
  EXPECT_EQ(json::parse(caller.ask(watch(41, 20'000)).body())["instances"].size(), 2u);
  // One that has left stands in changes only.
  put("n1", Discovery::State::Removed);
  EXPECT_EQ(json::parse(caller.ask(watch(43, 0)).body())["instances"][0]["lifecycle"], "removed");
  EXPECT_EQ(json::parse(caller.ask(get("/v1/endpoints")).body())["instances"].size(), 1u);
}

TEST_F(DiscoveryTest, TellsTheLedgerWhatItTold) {
  put("n1", Discovery::State::Draining);
  ledger.sent("a", Effect::Safe, nowMicros() + 9'000'000, nowMicros());
  ledger.touched("a", "n1", "s1", nowMicros() + 9'000'000);
  EXPECT_TRUE(ledger.breaches().empty());
  Caller caller(io, discovery.listen("s1"));
  caller.ask(get("/v1/endpoints"));
  ledger.touched("a", "n1", "s2", nowMicros() + 9'000'000);
  EXPECT_TRUE(ledger.breaches().empty());
  ledger.touched("a", "n1", "s1", nowMicros() + 9'000'000);
  EXPECT_EQ(ledger.breaches().size(), 1u);
}

TEST_F(DiscoveryTest, FailsInItsWays) {
  put("n1");
  const auto at = discovery.listen("s1");
  Caller caller(io, at);
  discovery.silent(true);
  caller.send(get("/v1/endpoints"));
  ASSERT_TRUE(until(io, [&] { return discovery.calls() == 1; }));
  discovery.silent(false);
  EXPECT_EQ(caller.answer().result_int(), 200u);
  discovery.status = 503;
  EXPECT_EQ(caller.ask(get("/v1/endpoints")).result_int(), 503u);
  discovery.status = 0;
  discovery.tamper = [](const std::string& text) { return text.substr(0, text.size() / 2); };
  EXPECT_FALSE(json::accept(caller.ask(get("/v1/endpoints")).body()));
  discovery.down();
  EXPECT_EQ(caller.answer().result_int(), 0u);
  tcp::socket refused(io);
  error_code error;
  refused.connect(at, error);
  EXPECT_EQ(error, asio::error::connection_refused);
  discovery.up();
  discovery.tamper = {};
  Caller again(io, at);
  EXPECT_EQ(again.ask(get("/v1/endpoints")).result_int(), 200u);
  EXPECT_EQ(again.ask(get("/v2/endpoints")).result_int(), 404u);
}

// ---- Client -----------------------------------------------------------------------------------------------

class ClientTest : public StandinTest {
 protected:
  // In the place of a sidecar: answers as a test says.
  ClientTest()
      : server(io, [this](std::shared_ptr<HttpServer::Exchange> e) { seen.push_back(e), handler(e); }) {}
  std::unique_ptr<Client> client() { return std::make_unique<Client>(io, server.listen(""), 1, 7, ledger); }
  static Call call(Effect effect, Micros deadline = 5'000'000) {
    Call one;
    one.requestClass = "reserva";
    one.effect = effect;
    one.tenant = "nalon";
    one.deadline = deadline;
    return one;
  }
  std::vector<std::shared_ptr<HttpServer::Exchange>> seen;
  std::function<void(std::shared_ptr<HttpServer::Exchange>)> handler = [](const auto&) {};
  HttpServer server;
};

TEST_F(ClientTest, SendsInTheProtocolsForm) {
  handler = [](const auto& e) { e->reply(502, "failed\n"); };
  const auto one = client();
  int over = 0;
  for (const Effect effect : {Effect::Safe, Effect::Keyed, Effect::Unsafe})
    one->send(call(effect), [&](const Client::Result& result) {
      EXPECT_EQ(result.status, 502u);
      ++over;
    });
  ASSERT_TRUE(until(io, [&] { return over == 3; }));
  EXPECT_EQ(server.accepted(), 3u);  // one request at a time on a connection
  int keyed = 0, gets = 0;
  for (const auto& e : seen) {
    EXPECT_EQ(e->header("X-Trace-Id").size(), 16u);
    EXPECT_EQ(e->header("X-Qos"), "reserva");
    EXPECT_EQ(e->header("X-Customer"), "nalon");
    EXPECT_EQ(e->header("X-Expires-In-Ms"), "5000");
    keyed += e->header("Idempotency-Key").empty() ? 0 : 1;
    gets += e->request.method() == http::verb::get ? 1 : 0;
  }
  EXPECT_EQ(keyed, 1);
  EXPECT_EQ(gets, 1);
  bool again = false;
  one->send(call(Effect::Safe), [&](const auto&) { again = true; });
  ASSERT_TRUE(until(io, [&] { return again; }));
  EXPECT_EQ(server.accepted(), 3u);  // and connections are kept
  EXPECT_EQ(ledger.tally().failed, 4u);
}

TEST_F(ClientTest, SendsOnceMoreWhenACloseCrossedIt) {
  handler = [this](const auto& e) {
    if (seen.size() == 2) return e->drop(true);
    e->reply(502, "");
  };
  const auto one = client();
  int over = 0;
  for (int n = 0; n < 2; ++n) {
    one->send(call(Effect::Unsafe), [&](const auto& result) {
      EXPECT_EQ(result.status, 502u);
      ++over;
    });
    ASSERT_TRUE(until(io, [&] { return over == n + 1; }));
  }
  ASSERT_EQ(seen.size(), 3u);
  EXPECT_EQ(seen[1]->header("X-Trace-Id"), seen[2]->header("X-Trace-Id"));
  EXPECT_TRUE(ledger.breaches().empty());
  EXPECT_EQ(ledger.tally().sent, 2u);
}

TEST_F(ClientTest, NoticesLossAndSurplus) {
  handler = [this](const auto& e) {
    if (seen.size() == 1) return e->replyRaw("HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\nHTTP/1.1", true);
    e->replyRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false);
  };
  const auto one = client();
  int over = 0;
  one->send(call(Effect::Safe), [&](const auto&) { ++over; });
  ASSERT_TRUE(until(io, [&] { return over == 1; }));
  ASSERT_EQ(ledger.breaches().size(), 1u);
  EXPECT_EQ(ledger.breaches()[0].what, "more than its answer was sent");
  one->send(call(Effect::Safe), [&](const auto& result) {
    EXPECT_EQ(result.status, 0u);
    ++over;
  });
  ASSERT_TRUE(until(io, [&] { return over == 2; }));
  EXPECT_EQ(ledger.breaches().back().what, "lost: its connection ended with no whole answer");
}

TEST_F(ClientTest, GivesUpWhenItsTimeIsUp) {
  const auto one = client();
  bool over = false;
  one->send(call(Effect::Safe, 20'000), [&](const auto& result) {
    EXPECT_EQ(result.status, 0u);
    over = true;
  });
  ASSERT_TRUE(until(io, [&] { return over; }));
  ledger.settle(nowMicros() + 1'000'000);
  ASSERT_EQ(ledger.breaches().size(), 1u);
  EXPECT_EQ(ledger.breaches()[0].what, "lost: no answer before the client's time ran out");
}

// The same seed gives the same arrivals; refusals are retried under ids of their own, failures of what may
// not run twice are not.
TEST_F(ClientTest, ArrivesBySeedAndRetries) {
  handler = [](const auto& e) {
    e->reply(e->header("X-Second-Try").empty() ? 503 : 502, "", "Retry-After: 0.001\r\n");
  };
  const auto one = client();
  Client::Load load;
  load.rate = 500;
  load.retries = 2;
  load.backoff = 1000;
  load.shares = {{call(Effect::Unsafe), 1}, {call(Effect::Keyed), 3}};
  one->start(load);
  ASSERT_TRUE(until(io, [&] { return one->counts().retries >= 40; }));
  one->stop();
  ASSERT_TRUE(until(io, [&] { return one->open() == 0; }));
  EXPECT_GE(ledger.tally().failed, 35u);
  EXPECT_EQ(ledger.tally().sent, one->counts().sent);
  std::size_t keyed = 0, first = 0;
  for (const auto& e : seen) {
    if (!e->header("X-Second-Try").empty()) continue;
    ++first;
    keyed += e->header("Idempotency-Key").empty() ? 0 : 1;
  }
  EXPECT_GT(keyed * 10, first * 5);
  EXPECT_LT(keyed * 10, first * 10);
}

TEST_F(ClientTest, SomeLeaveEarly) {
  const auto one = client();
  Client::Load load;
  load.rate = 500;
  load.impatient = 1;
  load.shares = {{call(Effect::Safe, 30'000), 1}};
  one->start(load);
  ASSERT_TRUE(until(io, [&] { return ledger.tally().left >= 20; }));
  one->stop();
  ASSERT_TRUE(until(io, [&] { return one->open() == 0; }));
  EXPECT_TRUE(ledger.breaches().empty());
}

}  // namespace
}  // namespace ivypost::standins
