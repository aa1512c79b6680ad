// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The fault plan as a state machine, with made-up time.
#include "fault/connection.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

namespace ivypost::fault {
namespace {

constexpr Direction kIn = Direction::Request, kOut = Direction::Answer;

Step step(Trigger trigger, Action action, Direction direction = kIn) {
  return {direction, std::move(trigger), std::move(action)};
}

// What comes out of a direction, as text: bytes, and `<fin>` or `<reset>` where it ends.
std::string drain(Connection& c, Direction d, Micros now) {
  std::string text;
  while (const auto output = c.take(d, now)) {
    text += output->bytes;
    if (output->kind == Output::Kind::Fin) text += "<fin>";
    if (output->kind == Output::Kind::Reset) text += "<reset>";
  }
  return text;
}

std::vector<std::string> pieces(Connection& c, Direction d, Micros now) {
  std::vector<std::string> all;
  while (const auto output = c.take(d, now)) all.push_back(output->bytes);
  return all;
}

const std::string kPost = "POST /r/1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd";
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST(FaultConnection, PassesAllWithoutARule) {
  Connection c(nullptr, 1, 1, 0);
  c.feed(kIn, kPost, 5);
  c.feed(kOut, kOk, 6);
  EXPECT_EQ(c.next(), 5);
  EXPECT_EQ(drain(c, kIn, 5), kPost);
  EXPECT_EQ(drain(c, kOut, 6), kOk);
  c.end(kIn, 7);
  EXPECT_FALSE(c.finished());
  c.end(kOut, 8);
  EXPECT_EQ(drain(c, kIn, 8) + drain(c, kOut, 8), "<fin><fin>");
  EXPECT_TRUE(c.finished());
  EXPECT_TRUE(c.takeLog().empty());
}

// Where the request is cut, byte by byte, for each trigger that names a place in it.
TEST(FaultConnection, CutsAtTheByteThatIsNamed) {
  const std::size_t head = kPost.find("abcd");
  const std::vector<std::pair<Trigger, std::size_t>> cases = {{{AtConnect{}, {}}, 0},
                                                              {{AtBytes{7}, {}}, 7},
                                                              {{AtHead{1, 0}, {}}, 0},
                                                              {{AtHead{1, 5}, {}}, 5},
                                                              {{AtBody{1, 0}, {}}, head},
                                                              {{AtBody{1, 3}, {}}, head + 3},
                                                              {{AtLast{1}, {}}, kPost.size()},
                                                              {{AtHead{2, 0}, {}}, kPost.size()},
                                                              {{AtHead{2, 4}, {}}, kPost.size() + 4}};
  for (const auto& [trigger, at] : cases) {
    Rule rule;
    rule.steps.push_back(step(trigger, Reset{}));
    Connection c(&rule, 1, 1, 0);
    c.feed(kIn, kPost + kPost, 1);
    EXPECT_EQ(drain(c, kIn, 1), (kPost + kPost).substr(0, at) + "<reset>") << at;
    const auto log = c.takeLog();
    ASSERT_EQ(log.size(), 1u);
    EXPECT_EQ(log[0].offset, at);
    EXPECT_STREQ(log[0].action, "reset");
  }
}

TEST(FaultConnection, DoesAStepForEachMessage) {
  Rule rule;
  rule.steps.push_back(step({AtHead{0, 0}, {}}, Garble{Garble::How::Replace, 0, "G"}));
  Connection c(&rule, 1, 1, 0);
  for (int n = 0; n < 3; ++n) c.feed(kIn, kPost, n);
  const std::string once = "G" + kPost.substr(1);
  EXPECT_EQ(drain(c, kIn, 9), once + once + once);
}

// What happens in one direction moves the other: the node has read the request's last byte, and never writes.
TEST(FaultConnection, ActsOnTheOtherDirection) {
  Rule rule;
  rule.steps.push_back(step({AtLast{1}, kIn}, HalfClose{}, kOut));
  Connection c(&rule, 1, 1, 0);
  c.feed(kIn, kPost.substr(0, kPost.size() - 1), 1);
  EXPECT_EQ(drain(c, kOut, 1), "");
  c.feed(kIn, "d", 2);
  EXPECT_EQ(drain(c, kOut, 2), "<fin>");
  c.feed(kOut, kOk, 3);
  EXPECT_EQ(drain(c, kOut, 3), "");
  c.feed(kIn, kPost, 4);
  EXPECT_EQ(drain(c, kIn, 4), kPost + kPost);
}

TEST(FaultConnection, CountsInformationalAnswers) {
  Rule rule;
  rule.steps.push_back(step({AtHead{2, 9}, {}}, Garble{Garble::How::Replace, 0, "5"}, kOut));
  Connection c(&rule, 1, 1, 0);
  c.feed(kOut, "HTTP/1.1 103 Early\r\n\r\n" + kOk, 1);
  EXPECT_EQ(drain(c, kOut, 1), "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 500 OK\r\nContent-Length: 2\r\n\r\nok");
}

TEST(FaultConnection, GarblesAsItIsTold) {
  const std::vector<std::pair<Garble, std::string>> cases = {
      {{Garble::How::Insert, 1, "+++"}, "ab+++cdef"},
      {{Garble::How::Drop, 2, ""}, "abef"},
      {{Garble::How::Repeat, 2, ""}, "abcdcdef"},
      {{Garble::How::Replace, 1, "XY"}, "abXYef"},
  };
  for (const auto& [garble, expected] : cases) {
    Rule rule;
    rule.steps.push_back(step({AtBytes{2}, {}}, garble));
    Connection c(&rule, 1, 1, 0);
    c.feed(kIn, "abcdef", 1);
    EXPECT_EQ(drain(c, kIn, 1), expected);
  }
  Rule rule;
  rule.steps.push_back(step({AtBytes{2}, {}}, Garble{Garble::How::Flip, 3, ""}));
  Connection c(&rule, 1, 1, 0);
  c.feed(kIn, "abcdef", 1);
  const std::string out = drain(c, kIn, 1);
  ASSERT_EQ(out.size(), 6u);
  EXPECT_EQ(out.substr(0, 2) + out.substr(5), "abf");
  for (const std::size_t n : {2u, 3u, 4u}) EXPECT_NE(out[n], "abcdef"[n]);
}

TEST(FaultConnection, SplitsIntoPieces) {
  Rule rule;
  rule.steps.push_back(step({AtBytes{1}, {}}, Split{{2, 1}, 10}));
  Connection c(&rule, 1, 1, 0);
  c.feed(kIn, "abcdefg", 100);
  EXPECT_EQ(pieces(c, kIn, 100), (std::vector<std::string>{"a", "bc"}));
  EXPECT_EQ(c.next(), 110);
  EXPECT_EQ(pieces(c, kIn, 110), (std::vector<std::string>{"d"}));
  EXPECT_EQ(pieces(c, kIn, 1000), (std::vector<std::string>{"ef", "g"}));
}

TEST(FaultConnection, DelaysInOrder) {
  Rule rule;
  rule.steps.push_back(step({}, Delay{1000, 500}));
  Connection c(&rule, 7, 1, 0);
  std::string sent;
  Micros last = 0;
  for (int n = 0; n < 50; ++n) {
    c.feed(kIn, std::string(1, static_cast<char>('a' + n % 26)), n * 10);
    sent += static_cast<char>('a' + n % 26);
  }
  std::string got;
  while (const auto at = c.next()) {
    EXPECT_GE(*at, last);
    EXPECT_EQ(drain(c, kIn, *at - 1), "");
    last = *at;
    got += drain(c, kIn, *at);
  }
  EXPECT_EQ(got, sent);
  EXPECT_GE(last, 49 * 10 + 1000);
  EXPECT_LE(last, 49 * 10 + 1500);
}

TEST(FaultConnection, ThrottlesToItsRate) {
  Rule rule;
  rule.steps.push_back(step({}, Throttle{10'000}));
  Connection c(&rule, 1, 1, 0);
  std::string got;
  Micros at = 0;
  for (std::string left(20'000, 'x'); !left.empty();) {
    const std::size_t room = std::min(c.room(kIn), left.size());
    c.feed(kIn, left.substr(0, room), at);
    left.erase(0, room);
    at = c.next().value_or(at);
    got += drain(c, kIn, at);
  }
  while (const auto next = c.next()) got += drain(c, kIn, at = *next);
  EXPECT_EQ(got.size(), 20'000u);
  EXPECT_GE(at, 2'000'000);
  EXPECT_LE(at, 2'010'000);
}

TEST(FaultConnection, StopsReadingAndSwallows) {
  Rule rule;
  rule.steps.push_back(step({AtBytes{3}, {}}, StopReading{}));
  rule.steps.push_back(step({AtHead{1, 0}, {}}, Swallow{}, kOut));
  Connection c(&rule, 1, 1, 0);
  EXPECT_GT(c.room(kIn), 0u);
  c.feed(kIn, "abcd", 1);  // what was read in the same piece goes on
  EXPECT_EQ(drain(c, kIn, 1), "abcd");
  EXPECT_EQ(c.room(kIn), 0u);
  c.feed(kOut, kOk, 2);
  c.end(kOut, 3);
  EXPECT_EQ(drain(c, kOut, 3), "");
  EXPECT_GT(c.room(kOut), 0u);
  EXPECT_FALSE(c.finished());
  c.end(kIn, 4);
  drain(c, kIn, 4);
  EXPECT_TRUE(c.finished());
}

TEST(FaultConnection, ActsAtATimeAndOnCommand) {
  Rule rule;
  rule.steps.push_back(step({AtTime{500}, {}}, Swallow{}));
  rule.steps.push_back(step({AtCommand{"back"}, {}}, Pass{}));
  Connection c(&rule, 1, 1, 1000);
  EXPECT_EQ(c.next(), 1500);
  c.advance(1499);
  c.feed(kIn, "a", 1499);
  c.advance(1500);
  EXPECT_EQ(c.next(), 1499);  // the byte still waits
  c.feed(kIn, "b", 1501);
  c.command("other", 1502);
  c.feed(kIn, "c", 1502);
  c.command("back", 1503);
  c.feed(kIn, "d", 1503);
  EXPECT_EQ(drain(c, kIn, 2000), "ad");
  EXPECT_EQ(c.next(), std::nullopt);
}

// A plan that is replaced while bytes are held loses none of them and keeps their order.
TEST(FaultConnection, KeepsWhatItHoldsWhenThePlanIsReplaced) {
  Rule slow;
  slow.steps.push_back(step({}, Delay{1000, 0}));
  Connection c(&slow, 1, 1, 0);
  c.feed(kIn, "held", 1);
  Rule cut;
  cut.steps.push_back(step({AtBytes{6}, {}}, Reset{}));
  cut.steps.push_back(step({AtBytes{2}, {}}, Swallow{}));  // has passed: never done
  c.replace(&cut, 2);
  c.feed(kIn, "now", 2);
  EXPECT_EQ(drain(c, kIn, 1000), "");
  EXPECT_EQ(drain(c, kIn, 1001), "heldno<reset>");
}

TEST(FaultConnection, EndsBothSidesOnceEach) {
  Rule rule;
  rule.steps.push_back(step({AtBytes{1}, {}}, End{}));
  Connection c(&rule, 1, 1, 0);
  c.feed(kIn, "abc", 1);
  c.end(kIn, 1);
  c.end(kOut, 1);
  EXPECT_EQ(drain(c, kIn, 1), "a<fin>");
  EXPECT_EQ(drain(c, kOut, 1), "<fin>");
  EXPECT_TRUE(c.finished());
}

TEST(FaultConnection, PassesAResetOnBehindWhatIsHeld) {
  Rule rule;
  rule.steps.push_back(step({}, Delay{100, 0}, kOut));
  Connection c(&rule, 1, 1, 0);
  c.feed(kOut, "ok", 1);
  c.broken(kOut, 2);
  EXPECT_EQ(drain(c, kOut, 100), "");
  EXPECT_EQ(drain(c, kOut, 101), "ok<reset>");
}

// The bound: at kMaxHeld there is no room, and one garbled stretch at the most comes on top.
TEST(FaultConnection, HoldsNoMoreThanItsBound) {
  Rule rule;
  rule.steps.push_back(step({}, Delay{1'000'000, 0}));
  rule.steps.push_back(step({AtBytes{kMaxHeld - 1}, {}}, Garble{Garble::How::Insert, kMaxGarbled, ""}));
  Connection c(&rule, 1, 1, 0);
  while (c.room(kIn) > 0) c.feed(kIn, std::string(std::min<std::size_t>(c.room(kIn), 16384), 'x'), 1);
  EXPECT_GE(c.held(kIn), kMaxHeld);
  EXPECT_LE(c.held(kIn), kMaxHeld + kMaxGarbled);
  EXPECT_GT(drain(c, kIn, 2'000'000).size(), kMaxHeld);
  EXPECT_EQ(c.held(kIn), 0u);
  EXPECT_EQ(c.room(kIn), kMaxHeld);
  // Pieces are bounded too, whatever they hold.
  Rule split;
  split.steps.push_back(step({}, Split{{1}, 1}));
  Connection s(&split, 1, 1, 0);
  while (s.room(kIn) > 0) s.feed(kIn, std::string(100, 'x'), 1);
  EXPECT_LE(s.held(kIn), 4096u + 100u);
}

TEST(FaultPlan, PicksConnectionsByNumberAndShare) {
  Plan plan;
  plan.rules.resize(3);
  plan.rules[0].connections.numbers = {2, 4};
  plan.rules[1].connections.from = 6;
  plan.rules[1].connections.share = 0.25;
  plan.rules[2].connections.from = 100;
  EXPECT_EQ(ruleFor(plan, 1, 1), nullptr);
  EXPECT_EQ(ruleFor(plan, 1, 2), &plan.rules[0]);
  int hit = 0, same = 0;
  for (std::uint64_t n = 100; n < 4100; ++n) {
    const Rule* const rule = ruleFor(plan, 1, n);
    ASSERT_NE(rule, nullptr);
    hit += rule == &plan.rules[1] ? 1 : 0;
    same += rule == ruleFor(plan, 2, n) ? 1 : 0;
  }
  EXPECT_NEAR(hit, 1000, 120);
  EXPECT_LT(same, 3000);  // another seed picks others
}

// ---- Properties -------------------------------------------------------------------------------------------

rc::Gen<Trigger> anyTrigger() {
  const auto number = [](int most) { return rc::gen::cast<std::uint64_t>(rc::gen::inRange(0, most)); };
  const auto of = rc::gen::element<std::optional<Direction>>(std::nullopt, kIn, kOut);
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 6), number(4), number(60), of),
                      [](const std::tuple<int, std::uint64_t, std::uint64_t, std::optional<Direction>>& t) {
                        const auto& [kind, n, offset, whose] = t;
                        Trigger trigger;
                        trigger.of = whose;
                        if (kind == 1) trigger.when = AtBytes{offset * 3};
                        if (kind == 2) trigger.when = AtHead{n, offset};
                        if (kind == 3) trigger.when = AtBody{n, offset % 5};
                        if (kind == 4) trigger.when = AtLast{n};
                        if (kind == 5) trigger.when = AtCommand{"go"};
                        return trigger;
                      });
}

rc::Gen<Action> anyAction() {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 13), rc::gen::inRange(1, 9), rc::gen::inRange(1, 9)),
                      [](const std::tuple<int, int, int>& t) -> Action {
                        const auto [kind, a, b] = t;
                        const auto count = static_cast<std::uint64_t>(a);
                        switch (kind) {
                          case 0:
                            return Delay{a * 10, b * 10};
                          case 1:
                            return Throttle{static_cast<std::uint64_t>(a * 1000)};
                          case 2:
                            return Swallow{};
                          case 3:
                            return Pass{};
                          case 4:
                            return Reset{};
                          case 5:
                            return End{};
                          case 6:
                            return HalfClose{};
                          case 7:
                            return Split{{static_cast<std::uint32_t>(a), static_cast<std::uint32_t>(b)}, b};
                          default:
                            return Garble{static_cast<Garble::How>(kind - 8), count,
                                          std::string(static_cast<std::size_t>(b), 'z')};
                        }
                      });
}

rc::Gen<Rule> anyRule() {
  const auto one = rc::gen::map(rc::gen::tuple(rc::gen::element(kIn, kOut), anyTrigger(), anyAction()),
                                [](const std::tuple<Direction, Trigger, Action>& t) {
                                  return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
                                });
  return rc::gen::map(rc::gen::resize(6, rc::gen::container<std::vector<Step>>(one)),
                      [](std::vector<Step> steps) {
                        Rule rule;
                        rule.steps = std::move(steps);
                        return rule;
                      });
}

struct Played {
  std::string request, answer;
  std::vector<std::pair<Micros, std::string>> times;
  bool operator==(const Played&) const = default;
};

// Three requests and their answers, each cut into pieces of the given sizes.
Played play(const Rule& rule, std::uint64_t seed, const std::vector<std::size_t>& sizes) {
  Connection c(&rule, seed, 3, 0);
  Played run;
  Micros now = 0;
  std::size_t turn = 0;
  const auto take = [&] {
    for (const Direction d : {kIn, kOut}) {
      const std::string text = drain(c, d, now);
      if (text.empty()) continue;
      (d == kIn ? run.request : run.answer) += text;
      run.times.emplace_back(now, text);
    }
  };
  for (int n = 0; n < 3; ++n) {
    for (const Direction d : {kIn, kOut}) {
      std::string left = d == kIn ? kPost : kOk;
      while (!left.empty()) {
        const std::size_t size = std::min(sizes[turn++ % sizes.size()], left.size());
        c.feed(d, left.substr(0, size), ++now);
        left.erase(0, size);
        take();
      }
    }
    if (n == 1) c.command("go", now);
  }
  while (const auto at = c.next()) {
    now = std::max(now, *at);
    take();
  }
  return run;
}

TEST(FaultProperty, SameSeedSamePlanSameBytesAtTheSameTimes) {
  EXPECT_TRUE(rc::check("the same events give the same outputs", [] {
    const Rule rule = *anyRule();
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(play(rule, seed, {7}) == play(rule, seed, {7}));
  }));
}

TEST(FaultProperty, BytesDoNotDependOnHowTheyWereCut) {
  EXPECT_TRUE(rc::check("bytes out depend on bytes in alone", [] {
    const Rule rule = *anyRule();
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto sizes = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
    const Played whole = play(rule, seed, {1000}), cut = play(rule, seed, sizes);
    RC_ASSERT(whole.request == cut.request);
    RC_ASSERT(whole.answer == cut.answer);
  }));
}

}  // namespace
}  // namespace ivypost::fault
