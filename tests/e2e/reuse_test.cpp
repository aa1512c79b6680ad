// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Connections that are used again while something is wrong with them, and a discovery that tells nonsense.
#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "e2e/world.h"

namespace ivypost::e2e {
namespace {

using namespace fault;  // NOLINT: the plans' words

constexpr Direction kIn = Direction::Request, kOut = Direction::Answer;

// A connection that has served once is half-closed, in either direction or both, before, while and after it
// is used again. An unsafe request may fail, as it may have run, and must not arrive twice.
class ReuseTest : public testing::TestWithParam<std::tuple<int, int, Effect>> {};

TEST_P(ReuseTest, HalfClosedWhileItIsUsedAgain) {
  const auto& [direction, moment, effect] = GetParam();
  World world(2);
  Plan plan;
  plan.rules.push_back({{{1}, 1, 1}, {}});
  for (const Direction d : {kIn, kOut}) {
    if (direction != 2 && static_cast<int>(d) != direction) continue;
    Trigger trigger;
    if (moment == 0) trigger = {AtLast{1}, kOut};      // right behind the first answer
    if (moment == 1) trigger = {AtHead{2, 20}, kIn};   // while the second request comes
    if (moment == 2) trigger = {AtLast{2}, kIn};       // when it has come
    if (moment == 3) trigger = {AtHead{2, 20}, kOut};  // while the second answer goes
    plan.rules[0].steps.push_back({d, trigger, HalfClose{}});
  }
  world.lieInWait(plan);
  // Requests until one has met the fault, and some more.
  int after = 0;
  for (int n = 0; n < 40 && after < 3; ++n) {
    const auto answer = world.ask(callOf(effect, 400'000));
    EXPECT_NE(answer.status, 0u);
    if (effect == Effect::Unsafe) {
      EXPECT_LE(world.arrivalsOf(world.lastId), 1u);
    }
    if (world.faultDone()) ++after;
  }
  EXPECT_TRUE(world.faultDone());
  EXPECT_EQ(world.ask(callOf(effect, 2'000'000)).status, 200u);
  EXPECT_EQ(world.judged(), "");
}

INSTANTIATE_TEST_SUITE_P(HalfCloses, ReuseTest,
                         testing::Combine(testing::Range(0, 3), testing::Range(0, 4),
                                          testing::Values(Effect::Safe, Effect::Keyed, Effect::Unsafe)));

// Bytes on an idle connection: it is closed, and what comes next goes over another.
TEST(IdleBytes, CloseTheConnection) {
  World world(1);
  Plan plan;
  plan.rules.push_back(
      {{{1}, 1, 1},
       {{kOut, {AtCommand{"noise"}, {}}, Garble{Garble::How::Insert, 1, "HTTP/1.1 200 OK\r\n"}}}});
  world.proxies[0]->apply(plan);
  EXPECT_EQ(world.ask(callOf(Effect::Unsafe, 2'000'000)).status, 200u);
  world.proxies[0]->command("noise");
  EXPECT_TRUE(world.until([&] { return world.proxies[0]->counts().open == 0; }));
  EXPECT_EQ(world.ask(callOf(Effect::Unsafe, 2'000'000)).status, 200u);
  EXPECT_EQ(world.nodes[0]->connectionsAccepted(), 2u);
  EXPECT_EQ(world.judged(), "");
}

// A node that closes an idle connection costs no request.
TEST(IdleBytes, OrItsEndCostNothing) {
  for (const Action& action : {Action(End{}), Action(Reset{}), Action(HalfClose{})}) {
    World world(1);
    Plan plan;
    plan.rules.push_back({{{1}, 1, 1}, {{kOut, {AtCommand{"end"}, {}}, action}}});
    world.proxies[0]->apply(plan);
    EXPECT_EQ(world.ask(callOf(Effect::Unsafe, 2'000'000)).status, 200u);
    world.proxies[0]->command("end");
    EXPECT_TRUE(world.until([&] { return world.proxies[0]->counts().open == 0; })) << nameOf(action);
    EXPECT_EQ(world.ask(callOf(Effect::Unsafe, 2'000'000)).status, 200u);
    EXPECT_EQ(world.nodes[0]->connectionsAccepted(), 2u);
    EXPECT_EQ(world.judged(), "");
  }
}

// What comes right behind an answer, with it or later, is never read as the next one's.
TEST(IdleBytes, BehindAnAnswer) {
  for (const char* more : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "noise", "\r\n"}) {
    World world(1);
    Plan plan;
    plan.rules.push_back({{}, {{kOut, {AtLast{0}, {}}, Garble{Garble::How::Insert, 1, more}}}});
    world.proxies[0]->apply(plan);
    for (std::uint64_t n = 1; n <= 6; ++n) {
      EXPECT_EQ(world.ask(callOf(Effect::Unsafe, 2'000'000)).status, 200u);
      EXPECT_EQ(world.nodes[0]->connectionsAccepted(), n);
    }
    EXPECT_EQ(world.judged(), "");
  }
}

// ---- Discovery that tells nonsense ------------------------------------------------------------------------

class LyingDiscoveryTest : public testing::Test {
 protected:
  LyingDiscoveryTest() : world(2) {}
  bool serves() { return world.ask(callOf(Effect::Unsafe, 2'000'000)).status == 200; }
  // Makes a change, so that the watch ends, and waits until so many more calls were answered.
  void changeAndWait(std::uint64_t calls) {
    const auto before = world.discovery.calls();
    world.discovery.put(world.discovery.entry("n1"));
    EXPECT_TRUE(world.until([&] { return world.discovery.calls() >= before + calls; }));
  }
  World world;
};

// Half a list is no list: the last one stays, and the call is made again.
TEST_F(LyingDiscoveryTest, HalfAList) {
  world.discovery.tamper = [](const std::string& text) { return text.substr(0, text.size() / 2); };
  changeAndWait(2);
  EXPECT_TRUE(serves());
  world.discovery.tamper = {};
  changeAndWait(2);
  EXPECT_TRUE(serves());
  EXPECT_EQ(world.judged(), "");
}

// A generation older than the last is a copy that lags behind: what it says of the past is not taken, and the
// whole list is asked for. It must not bring a removed node back.
TEST_F(LyingDiscoveryTest, AnOldGeneration) {
  const std::string old = world.discovery.whole("s1").dump();
  auto gone = world.discovery.entry("n1");
  gone.state = standins::Discovery::State::Removed;
  const auto before = world.discovery.calls();
  world.discovery.put(gone);
  ASSERT_TRUE(world.until([&] { return world.discovery.calls() >= before + 1; }));
  ASSERT_TRUE(serves());
  const auto arrivals = world.nodes[0]->arrivals();
  // The watch is answered by a copy that has not heard of it, and nothing after that is answered at all.
  world.discovery.tamper = [&](const std::string&) {
    world.discovery.tamper = {};
    asio::post(world.io, [&] { world.discovery.silent(true); });
    return old;
  };
  auto other = world.discovery.entry("n2");
  other.weight = 2;
  const auto calls = world.discovery.calls();
  world.discovery.put(other);
  ASSERT_TRUE(world.until([&] { return world.discovery.calls() >= calls + 1; }));
  for (int n = 0; n < 10; ++n) EXPECT_TRUE(serves());
  EXPECT_EQ(world.nodes[0]->arrivals(), arrivals);
  world.discovery.silent(false);
  EXPECT_TRUE(serves());
  EXPECT_EQ(world.judged(), "");
}

// Where the whole list comes with an older generation twice, discovery has begun anew, and is followed.
TEST_F(LyingDiscoveryTest, AnewFromTheStart) {
  world.discovery.tamper = [](const std::string& text) {
    auto list = json::parse(text);
    list["generation"] = 3;
    list["reset"] = true;
    return list.dump();
  };
  // Told under the new count alone: who doesn't follow it goes on sending there.
  auto gone = world.discovery.entry("n1");
  gone.state = standins::Discovery::State::Draining;
  const auto calls = world.discovery.calls();
  world.discovery.put(gone);
  ASSERT_TRUE(world.until([&] { return world.discovery.calls() >= calls + 3; }));
  const auto arrivals = world.nodes[0]->arrivals();
  for (int n = 0; n < 10; ++n) EXPECT_TRUE(serves());
  EXPECT_EQ(world.nodes[0]->arrivals(), arrivals);
}

// Discovery moves while the sidecar runs: only the new one knows that a node has gone.
TEST_F(LyingDiscoveryTest, MovedElsewhere) {
  standins::Discovery other(world.io, world.ledger);
  other.put(world.discovery.entry("n2"));
  world.sidecar->reload(world.movedDiscovery("127.0.0.1:" + std::to_string(other.listen("s1").port())),
                        configuration::OperatorFile{});
  ASSERT_TRUE(world.until([&] { return other.calls() >= 2; }));
  const auto arrivals = world.nodes[0]->arrivals();
  for (int n = 0; n < 10; ++n) EXPECT_TRUE(serves());
  EXPECT_EQ(world.nodes[0]->arrivals(), arrivals);
  EXPECT_EQ(world.judged(), "");
}

// Another's list: of another service, or for another kind of reader. What is no list of instances is refused
// whole.
TEST_F(LyingDiscoveryTest, AnothersList) {
  const auto instance = [](const std::string& fields) {
    return R"({"generation":99,"reset":true,"instances":[{"instanceId":"n1",)" + fields + "}]}";
  };
  const std::vector<std::string> others = {R"({"generation":99,"reset":true,"services":[]})",
                                           R"({"generation":99,"reset":true,"instances":{"n1":1}})",
                                           R"({"generation":"99","reset":true,"instances":[]})",
                                           instance(R"("hostPort":"n1.internal:80","lifecycle":"up")"),
                                           instance(R"("hostPort":"127.0.0.1:1","lifecycle":"resting")"),
                                           "[]",
                                           "null",
                                           "<html>",
                                           ""};
  for (const std::string& text : others) {
    SCOPED_TRACE(text);
    world.discovery.tamper = [text](const std::string&) { return text; };
    changeAndWait(2);
    EXPECT_TRUE(serves());
  }
  EXPECT_EQ(world.judged(), "");
}

}  // namespace
}  // namespace ivypost::e2e
