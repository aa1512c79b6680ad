// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Each fault at each moment for each kind of request: a plan lies in wait between the sidecar and its nodes,
// one request meets it, and the ledger judges what came of it. A row says what the sidecar can know: that the
// request never ran, or that it may have, or that nothing was wrong with it.
#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <vector>

#include "e2e/world.h"

namespace ivypost::e2e {
namespace {

using namespace fault;  // NOLINT: the plans' words

enum class Knows { MayHaveRun, Fine };

struct Row {
  const char* name;
  Step step;
  Knows knows;
};

constexpr Direction kIn = Direction::Request, kOut = Direction::Answer;

Garble replace(const char* bytes) {
  return {Garble::How::Replace, 1, bytes};
}
Garble change(Garble::How how, std::uint64_t count = 1, const char* bytes = "") {
  return {how, count, bytes};
}

// Moments in the request: its head is some 170 bytes, its body (where it has one) 40. What a kernel has taken
// may have run, for all that the sidecar can see, also when the other side has read only half of it.
std::vector<Row> rows() {
  std::vector<Row> all;
  std::string interims;
  for (int n = 0; n < 50; ++n) interims += "HTTP/1.1 102 Processing\r\n\r\n";
  const auto add = [&all](const char* name, Direction d, Trigger trigger, Action action, Knows knows) {
    all.push_back({name, {d, std::move(trigger), std::move(action)}, knows});
  };
  // Before a byte has gone.
  add("refused", kIn, {}, Reject{},
      Knows::MayHaveRun);  // accepted and reset: the first bytes may be on their way
  // Cuts while the request goes out. It is written at once, so that each of them may have run.
  const std::vector<std::pair<const char*, Trigger>> inRequest = {{"at the head", {AtHead{1, 0}, {}}},
                                                                  {"in the head", {AtHead{1, 40}, {}}},
                                                                  {"behind the request", {AtLast{1}, {}}}};
  for (const auto& [where, trigger] : inRequest) {
    add("reset both", kIn, trigger, Reset{Side::Both}, Knows::MayHaveRun);
    add("reset the sidecar", kIn, trigger, Reset{Side::Client}, Knows::MayHaveRun);
    add("reset the node", kIn, trigger, Reset{Side::Server}, Knows::MayHaveRun);
    add("end both", kIn, trigger, End{}, Knows::MayHaveRun);
  }
  add("swallow at connect", kIn, {AtConnect{}, {}}, Swallow{}, Knows::MayHaveRun);
  add("swallow in the head", kIn, {AtHead{1, 40}, {}}, Swallow{}, Knows::MayHaveRun);
  add("half-close in the head", kIn, {AtHead{1, 40}, {}}, HalfClose{}, Knows::MayHaveRun);
  add("stop reading", kIn, {AtConnect{}, {}}, StopReading{}, Knows::MayHaveRun);
  add("silent", kIn, {AtConnect{}, {}}, Silent{}, Knows::MayHaveRun);
  add("drop a byte of the head's end", kIn, {AtHead{1, 60}, {}}, change(Garble::How::Drop, 4096),
      Knows::MayHaveRun);
  // Slow but sound.
  add("split the request", kIn, {AtConnect{}, {}}, Split{{1}, 50}, Knows::Fine);
  add("delay the request", kIn, {AtConnect{}, {}}, Delay{5'000, 5'000}, Knows::Fine);
  add("throttle the request", kIn, {AtConnect{}, {}}, Throttle{20'000}, Knows::Fine);
  add("split the answer", kOut, {AtConnect{}, {}}, Split{{1}, 50}, Knows::Fine);
  add("split the answer in threes", kOut, {AtConnect{}, {}}, Split{{3, 1, 2}, 100}, Knows::Fine);
  add("delay the answer", kOut, {AtConnect{}, {}}, Delay{5'000, 5'000}, Knows::Fine);
  add("throttle the answer", kOut, {AtConnect{}, {}}, Throttle{20'000}, Knows::Fine);
  // The answer is cut.
  const std::vector<std::pair<const char*, Trigger>> inAnswer = {{"before the answer", {AtHead{1, 0}, {}}},
                                                                 {"in the status line", {AtHead{1, 9}, {}}},
                                                                 {"in the head", {AtHead{1, 30}, {}}},
                                                                 {"before the body", {AtBody{1, 0}, {}}},
                                                                 {"in the body", {AtBody{1, 7}, {}}}};
  for (const auto& [where, trigger] : inAnswer) {
    add("reset", kOut, trigger, Reset{}, Knows::MayHaveRun);
    add("end", kOut, trigger, End{}, Knows::MayHaveRun);
    add("half-close", kOut, trigger, HalfClose{}, Knows::MayHaveRun);
    add("swallow", kOut, trigger, Swallow{}, Knows::MayHaveRun);
  }
  // The node reads on and never writes.
  add("half-close at connect", kOut, {AtConnect{}, {}}, HalfClose{}, Knows::MayHaveRun);
  add("half-close behind the request", kOut, {AtLast{1}, kIn}, HalfClose{}, Knows::MayHaveRun);
  add("swallow behind the request", kOut, {AtLast{1}, kIn}, Swallow{}, Knows::MayHaveRun);
  // The answer is garbled. Its head begins `HTTP/1.1 200 OK`, `Content-Length: ` stands behind that.
  add("another version", kOut, {AtHead{1, 5}, {}}, replace("7"), Knows::MayHaveRun);
  add("no protocol", kOut, {AtHead{1, 0}, {}}, replace("X"), Knows::MayHaveRun);
  add("status 500", kOut, {AtHead{1, 9}, {}}, replace("5"), Knows::MayHaveRun);
  add("status 503", kOut, {AtHead{1, 9}, {}}, replace("503"), Knows::MayHaveRun);
  add("status 2x0", kOut, {AtHead{1, 10}, {}}, replace("x"), Knows::MayHaveRun);
  add("status 100", kOut, {AtHead{1, 9}, {}}, replace("1"), Knows::MayHaveRun);
  add("status 204", kOut, {AtHead{1, 9}, {}}, replace("204"), Knows::MayHaveRun);
  add("a longer length", kOut, {AtHead{1, 33}, {}}, change(Garble::How::Insert, 1, "9"), Knows::MayHaveRun);
  add("a huge length", kOut, {AtHead{1, 33}, {}}, change(Garble::How::Insert, 1, "99999999999999999999"),
      Knows::MayHaveRun);
  add("a negative length", kOut, {AtHead{1, 33}, {}}, change(Garble::How::Insert, 1, "-"), Knows::MayHaveRun);
  add("a length that is no number", kOut, {AtHead{1, 33}, {}}, replace("z"), Knows::MayHaveRun);
  add("a length's name", kOut, {AtHead{1, 17}, {}}, replace("X"), Knows::MayHaveRun);
  add("a space before the colon", kOut, {AtHead{1, 31}, {}}, change(Garble::How::Insert, 1, " "),
      Knows::MayHaveRun);
  add("two lengths", kOut, {AtHead{1, 17}, {}}, change(Garble::How::Insert, 1, "Content-Length: 7\r\n"),
      Knows::MayHaveRun);
  add("a length and chunks", kOut, {AtHead{1, 17}, {}},
      change(Garble::How::Insert, 1, "Transfer-Encoding: chunked\r\n"), Knows::MayHaveRun);
  add("a head without end", kOut, {AtHead{1, 17}, {}}, change(Garble::How::Insert, 32768, ""),
      Knows::MayHaveRun);
  add("a NUL in the head", kOut, {AtHead{1, 20}, {}}, replace("\x01"), Knows::MayHaveRun);
  add("a missing line end", kOut, {AtHead{1, 15}, {}}, change(Garble::How::Drop, 2), Knows::MayHaveRun);
  add("a body cut short", kOut, {AtBody{1, 3}, {}}, change(Garble::How::Drop, 4), Knows::MayHaveRun);
  add("a coding beside the length", kOut, {AtHead{1, 17}, {}},
      change(Garble::How::Insert, 1, "Transfer-Encoding: gzip\r\n"), Knows::MayHaveRun);
  add("a body over the limit", kOut, {AtHead{1, 33}, {}}, replace("65537\r\nX-A: "), Knows::MayHaveRun);
  add("an answer of 3 GB", kOut, {AtHead{1, 33}, {}}, replace("3000000000\r\nX-A: "), Knows::MayHaveRun);
  add("a body that ends with its connection", kOut, {AtHead{1, 17}, {}}, replace("X-Xxxxx-Length"),
      Knows::MayHaveRun);
  add("a switch of protocols", kOut, {AtHead{1, 0}, {}},
      change(Garble::How::Insert, 1, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
      Knows::MayHaveRun);
  add("interim answers without end", kOut, {AtHead{1, 0}, {}},
      change(Garble::How::Insert, 1, interims.c_str()), Knows::MayHaveRun);
  add("two interim answers", kOut, {AtHead{1, 0}, {}},
      change(Garble::How::Insert, 1, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"),
      Knows::Fine);
  add("a report that can't be read", kOut, {AtHead{1, 17}, {}},
      change(Garble::How::Insert, 1, "Endpoint-Load-Metrics: TEXT inflight=NaN, qps=-1e999\r\n"),
      Knows::Fine);
  add("an early hint ahead", kOut, {AtHead{1, 0}, {}},
      change(Garble::How::Insert, 1, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), Knows::Fine);
  add("noise behind the answer", kOut, {AtLast{1}, {}}, change(Garble::How::Insert, 1, "noise"), Knows::Fine);
  add("a second copy behind", kOut, {AtLast{1}, {}},
      change(Garble::How::Insert, 1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"), Knows::Fine);
  return all;
}

const std::vector<Row>& table() {
  static const std::vector<Row> all = rows();
  return all;
}

class MatrixTest : public testing::TestWithParam<std::tuple<std::size_t, Effect>> {};

TEST_P(MatrixTest, KeepsTheRules) {
  const auto& [n, effect] = GetParam();
  const Row& row = table().at(n);
  SCOPED_TRACE(std::string(row.name) + ", " + nameOf(row.step.action) + " of the " +
               nameOf(row.step.direction));
  World world(3);
  Plan plan;
  plan.rules.push_back({{{1}, 1, 1}, {row.step}});
  world.lieInWait(plan);
  const auto answer = world.ask(callOf(effect, 300'000));
  EXPECT_TRUE(world.faultDone()) << "the request never met its fault";
  EXPECT_NE(answer.status, 0u);
  const std::string id = world.lastId;
  if (row.knows == Knows::Fine) {
    EXPECT_EQ(answer.status, 200u);
    EXPECT_EQ(world.arrivalsOf(id), 1u);
  } else if (effect == Effect::Unsafe) {
    EXPECT_TRUE(answer.status >= 500 && answer.status != 503) << answer.status;
    EXPECT_LE(world.arrivalsOf(id), 1u);
  }
  // And the next one is served, whatever the fault left of the connection.
  const auto next = world.ask(callOf(effect, 2'000'000));
  EXPECT_EQ(next.status, 200u);
  EXPECT_EQ(world.judged(), "");
}

std::string nameOfCase(const testing::TestParamInfo<std::tuple<std::size_t, Effect>>& info) {
  const auto& [n, effect] = info.param;
  std::string name = std::to_string(n) + "_" + table().at(n).name;
  name += effect == Effect::Safe ? "_safe" : effect == Effect::Keyed ? "_keyed" : "_unsafe";
  for (char& c : name) {
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
  }
  return name;
}

INSTANTIATE_TEST_SUITE_P(Faults, MatrixTest,
                         testing::Combine(testing::Range<std::size_t>(0, rows().size()),
                                          testing::Values(Effect::Safe, Effect::Keyed, Effect::Unsafe)),
                         nameOfCase);

TEST(Matrix, HasTheCombinationsThatAreAskedFor) {
  EXPECT_GE(table().size() * 3, 150u);
}

// What a node itself says of a request. Only where it says so has it never run.
class OutcomeTest : public testing::TestWithParam<std::tuple<standins::Node::Once, Effect>> {};

TEST_P(OutcomeTest, IsWhatTheNodeSays) {
  using Once = standins::Node::Once;
  const auto& [once, effect] = GetParam();
  World world(3);
  for (const auto& node : world.nodes) node->once(once);
  const auto answer = world.ask(callOf(effect, 500'000));
  const bool neverRan = once == Once::TurnAway503 || once == Once::TurnAway504;
  if (neverRan) {
    // All three turned it away: it never ran, and may be refused.
    EXPECT_EQ(world.arrivalsOf(world.lastId), 3u);
    EXPECT_EQ(answer.status, 503u);
  } else if (effect == Effect::Unsafe) {
    EXPECT_EQ(answer.status, 502u);
    EXPECT_EQ(world.arrivalsOf(world.lastId), 1u);
  }
  for (int n = 0; n < 3; ++n) world.ask(callOf(effect, 2'000'000));
  EXPECT_EQ(world.ask(callOf(effect, 2'000'000)).status, 200u);
  EXPECT_EQ(world.judged(), "");
}
INSTANTIATE_TEST_SUITE_P(
    Nodes, OutcomeTest,
    testing::Combine(testing::Values(standins::Node::Once::Error, standins::Node::Once::TurnAway503,
                                     standins::Node::Once::TurnAway504, standins::Node::Once::Bare503,
                                     standins::Node::Once::Bare504, standins::Node::Once::Reset,
                                     standins::Node::Once::Close),
                     testing::Values(Effect::Safe, Effect::Keyed, Effect::Unsafe)));

// Guards against waiting for a node that answers nothing: the client hears by its deadline, the answer
// promises nothing, and the attempt's connection is closed.
TEST(Hangs, FailsByTheDeadline) {
  World world(1);
  Plan plan;
  plan.rules.push_back({{{1}, 1, 1}, {{kOut, {AtConnect{}, {}}, Swallow{}}}});
  world.lieInWait(plan);
  const auto answer = world.ask(callOf(Effect::Unsafe, 300'000));
  EXPECT_EQ(answer.status, 502u);
  EXPECT_EQ(world.arrivalsOf(world.lastId), 1u);
  EXPECT_TRUE(world.until([&] { return world.proxies[0]->counts().open == 0; }));
  EXPECT_EQ(world.judged(), "");
}

// Guards the difference that an unsafe request hangs on. A node that stops reading in the middle of the body
// has never had its last byte, and nobody else will send it: it goes elsewhere. One that stops right behind
// it may have run: it fails.
TEST(StopsReading, InTheBodyNeverRan) {
  World world(2, json::object(), 4096);
  Plan plan;
  plan.rules.push_back({{{1}, 1, 1}, {{kIn, {AtBody{1, 100}, {}}, StopReading{}}}});
  world.lieInWait(plan);
  const auto answer = world.ask(callOf(Effect::Unsafe, 3'000'000, 60'000));
  EXPECT_TRUE(world.faultDone());
  EXPECT_EQ(answer.status, 200u);
  EXPECT_EQ(world.arrivalsOf(world.lastId), 1u);
  EXPECT_EQ(world.judged(), "");
}

TEST(StopsReading, BehindTheRequestMayHaveRun) {
  World world(2, json::object(), 4096);
  Plan plan;
  plan.rules.push_back({{{1}, 1, 1}, {{kOut, {AtLast{1}, kIn}, Swallow{}}}});
  world.lieInWait(plan);
  const auto answer = world.ask(callOf(Effect::Unsafe, 600'000, 60'000));
  EXPECT_TRUE(world.faultDone());
  EXPECT_GE(answer.status, 500u);
  EXPECT_NE(answer.status, 503u);
  EXPECT_EQ(world.arrivalsOf(world.lastId), 1u);
  EXPECT_EQ(world.judged(), "");
}

// A listener that refuses, and one whose backlog is full: nothing was ever written, so each class goes
// elsewhere.
class NoConnectionTest : public testing::TestWithParam<std::tuple<fault::Listener, Effect>> {};

TEST_P(NoConnectionTest, GoesElsewhere) {
  const auto& [listener, effect] = GetParam();
  World world(2);
  Plan plan;
  plan.listener = listener;
  world.proxies[0]->apply(plan);
  for (int n = 0; n < 4; ++n) {
    const auto answer = world.ask(callOf(effect, 3'000'000));
    EXPECT_EQ(answer.status, 200u);
    EXPECT_EQ(world.arrivalsOf(world.lastId), 1u);
  }
  EXPECT_EQ(world.judged(), "");
}
INSTANTIATE_TEST_SUITE_P(Listeners, NoConnectionTest,
                         testing::Combine(testing::Values(fault::Listener::Reject, fault::Listener::Full),
                                          testing::Values(Effect::Safe, Effect::Keyed, Effect::Unsafe)));

// Guards drains and departures where a connection may take longer to come up than the grace: corrib-quotes
// allows 500 ms, and only by luck no more than 250 ms for a connection. What waits for one goes elsewhere at
// once, and arrives once, though the first node's listener takes connections again.
class ComingUpTest : public testing::TestWithParam<std::tuple<standins::Discovery::State, Effect>> {};

TEST_P(ComingUpTest, IsTakenBackWhenItsNodeWantsNothingNew) {
  const auto& [state, effect] = GetParam();
  World world(1, {{"settings", {{"limits", {{"connectTimeout", 25'000'000}}}}}});
  Plan full;
  full.listener = fault::Listener::Full;
  world.proxies[0]->apply(full);
  std::optional<Client::Result> answer;
  const std::string id =
      world.client->send(callOf(effect, 20'000'000), [&](const Client::Result& r) { answer = r; });
  ASSERT_TRUE(world.until([&] { return world.sidecar->comingUp() == 1; }));
  world.addNode("n2");
  auto entry = world.discovery.entry("n1");
  entry.state = state;
  world.discovery.put(entry);
  ASSERT_TRUE(world.until([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->status, 200u);
  EXPECT_EQ(world.nodes[1]->arrivalsOf(id), 1u);
  world.proxies[0]->apply({});
  EXPECT_EQ(world.ask(callOf(effect, 3'000'000)).status, 200u);
  EXPECT_EQ(world.nodes[0]->arrivalsOf(id), 0u);
  EXPECT_EQ(world.judged(), "");
}
INSTANTIATE_TEST_SUITE_P(States, ComingUpTest,
                         testing::Combine(testing::Values(standins::Discovery::State::Draining,
                                                          standins::Discovery::State::Removed),
                                          testing::Values(Effect::Keyed, Effect::Unsafe)));

// The answer cut into two at every offset, with a pause between them.
TEST(Splits, AnAnswerAtEveryOffset) {
  World world(1);
  std::uint32_t size = 1;
  for (; size < 140; ++size) {
    Plan plan;
    plan.rules.push_back({{}, {{kOut, {AtHead{0, 0}, {}}, Split{{size, 1'000'000}, 300}}}});
    world.proxies[0]->apply(plan);
    ASSERT_EQ(world.ask(callOf(Effect::Unsafe, 3'000'000)).status, 200u) << "split at " << size;
  }
  EXPECT_EQ(world.nodes[0]->connectionsAccepted(), 1u);  // and the connection is kept
  EXPECT_EQ(world.judged(), "");
}

// The same for a chunked answer, one byte a segment, then with each byte of its framing changed: served whole
// or failed, never with anything else.
TEST(Splits, AChunkedAnswerByteByByte) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body = "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: 1\r\n\r\n";
  const std::string whole = head + body;
  for (std::size_t flaw = 0; flaw <= whole.size(); ++flaw) {
    asio::io_context io;
    standins::HttpServer server(
        io, [&](const std::shared_ptr<standins::HttpServer::Exchange>& e) { e->replyRaw(whole, true); });
    Plan plan;
    plan.rules.push_back({{}, {{kOut, {AtConnect{}, {}}, Split{{1}, 0}}}});
    if (flaw < whole.size()) {
      plan.rules[0].steps.push_back({kOut, {AtBytes{flaw}, {}}, replace(whole[flaw] == '~' ? "!" : "~")});
    }
    Proxy::Options options;
    options.listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    options.to = server.listen("s1");
    options.plan = plan;
    Proxy proxy(io, std::move(options));
    ConnectionPool* pool = nullptr;
    Config config;
    config.sockets = 64;
    std::optional<AttemptEnd> end;
    streaming::ByteBudget budget(1'000'000);
    ConnectionPool upstreams(io, config, budget,
                             {[](AttemptId) {}, [&](AttemptEnd one) { end = std::move(one); },
                              [](const StreamBegin&) {}, [](const ProbeEnd&) {}});
    pool = &upstreams;
    pool->setAddress(0, parseEndpoint(formatAddress(proxy.address())));
    AttemptOrder order;
    order.message = std::make_shared<const Message>(boost::beast::http::verb::get, "/x", 11);
    order.deadline = order.writeBy = std::chrono::steady_clock::now() + std::chrono::milliseconds(150);
    pool->send(order);
    while (!end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    // A changed byte of the content itself can't be noticed; one of the reason, an extension or a trailer
    // need not be.
    const std::string got = end->body;
    if (end->outcome == balancer::Outcome::Ok) {
      EXPECT_EQ(got.size(), 11u) << "flaw at " << flaw;
    }
    if (flaw == whole.size()) {
      EXPECT_EQ(end->outcome, balancer::Outcome::Ok);
      EXPECT_EQ(got, "hello world");
    }
  }
}

}  // namespace
}  // namespace ivypost::e2e
