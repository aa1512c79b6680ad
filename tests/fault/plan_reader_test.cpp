// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/plan_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace ivypost::fault {
namespace {

TEST(PlanReader, ReadsEachTriggerAndAction) {
  const Plan plan = parsePlan(R"(
listener = "full"
[[rule]]
connections = [1, 3]
[[rule.request]]
do = "stop-reading"
[[rule.request]]
at = { bytes = 10 }
do = { delay = "20ms", jitter = "5ms" }
[[rule.request]]
at = { last = "each" }
do = { reset = "client" }
[[rule.answer]]
at = { head = 2, offset = 9 }
do = { garble = "replace", bytes = "5" }
[[rule.answer]]
at = { body = 1, of = "request" }
do = "half-close"
[[rule.answer]]
at = { after = "1s" }
do = { split = [1, 2], gap = "1ms" }
[[rule.answer]]
at = { command = "go" }
do = { throttle = "1KiB" }
[[rule]]
from = 5
share = 0.5
[[rule.request]]
at = "connect"
do = "silent"
)",
                              "p");
  EXPECT_EQ(plan.listener, Listener::Full);
  ASSERT_EQ(plan.rules.size(), 2u);
  EXPECT_EQ(plan.rules[0].connections.numbers, (std::vector<std::uint64_t>{1, 3}));
  const auto& steps = plan.rules[0].steps;
  ASSERT_EQ(steps.size(), 7u);
  EXPECT_TRUE(std::holds_alternative<AtConnect>(steps[0].trigger.when));
  EXPECT_STREQ(nameOf(steps[0].action), "stop-reading");
  EXPECT_EQ(std::get<AtBytes>(steps[1].trigger.when).count, 10u);
  EXPECT_EQ(std::get<Delay>(steps[1].action).jitter, 5000);
  EXPECT_EQ(std::get<AtLast>(steps[2].trigger.when).number, 0u);
  EXPECT_EQ(std::get<Reset>(steps[2].action).side, Side::Client);
  EXPECT_EQ(steps[3].direction, Direction::Answer);
  EXPECT_EQ(std::get<AtHead>(steps[3].trigger.when).offset, 9u);
  EXPECT_EQ(std::get<Garble>(steps[3].action).bytes, "5");
  EXPECT_EQ(steps[4].trigger.of, Direction::Request);
  EXPECT_EQ(std::get<AtTime>(steps[5].trigger.when).after, 1'000'000);
  EXPECT_EQ(std::get<Split>(steps[5].action).sizes, (std::vector<std::uint32_t>{1, 2}));
  EXPECT_EQ(std::get<AtCommand>(steps[6].trigger.when).name, "go");
  EXPECT_EQ(std::get<Throttle>(steps[6].action).bytesPerSecond, 1024u);
  EXPECT_EQ(plan.rules[1].connections.from, 5u);
  EXPECT_EQ(plan.rules[1].connections.share, 0.5);
  EXPECT_TRUE(parsePlan("", "p").rules.empty());
}

TEST(PlanReader, HoldsToItsBounds) {
  const auto refused = [](const std::string& text) {
    try {
      parsePlan(text, "p");
    } catch (const configuration::Error& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  std::string rules, steps = "[[rule]]\n";
  for (std::size_t n = 0; n < kMaxRules; ++n) rules += "[[rule]]\n";
  for (std::size_t n = 0; n < kMaxSteps; ++n) steps += "[[rule.answer]]\ndo = \"pass\"\n";
  EXPECT_EQ(refused(rules), "");
  EXPECT_EQ(refused(steps), "");
  EXPECT_EQ(refused(rules + "[[rule]]\n"), "p:1: rule: there are 257 of them; allowed is 0 to 256");
  EXPECT_EQ(refused(steps + "[[rule.answer]]\ndo = \"pass\"\n"),
            "p:2: rule[1].answer: there are 257 of them; allowed is 0 to 256");
}

TEST(PlanReader, RefusesABadPlanWithOneLine) {
  const std::string step = "[[rule]]\n[[rule.request]]\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"listener = \"shut\"", "p:1: listener: \"shut\" is not allowed; allowed is accept, refuse, full"},
      {"[[rules]]", "p:1: rules: there is no such key; did you mean 'rule'?"},
      {"[[rule]]\nshare = 1.5", "p:2: rule[1].share: 1.5 is out of range; allowed is 0 to 1"},
      {"[[rule]]\nconnections = 0",
       "p:2: rule[1].connections: 0 is out of range; allowed is 1 to 9007199254740992"},
      {"[[rule]]\nconnections = 1\nfrom = 2",
       "p:3: rule[1].from: stands beside connections; allowed is one of them"},
      {step, "p:2: rule[1].request[1]: the key 'do' is missing"},
      {step + "do = \"explode\"",
       "p:3: rule[1].request[1].do: \"explode\" is not allowed; allowed is stop-reading, swallow, pass, "
       "reset, end, "
       "half-close, refuse, silent"},
      {step + "do = { delay = 20 }",
       "p:3: rule[1].request[1].do.delay: 20 is no time; allowed is a number with us, ms, s, min or h, as "
       "\"250ms\""},
      {step + "do = { throttle = \"0B\" }",
       "p:3: rule[1].request[1].do.throttle: 0 bytes a second; use stop-reading"},
      {step + "do = { garble = \"flop\" }",
       "p:3: rule[1].request[1].do.garble: \"flop\" is not allowed; allowed is flip, insert, drop, repeat, "
       "replace"},
      {step + "do = { garble = \"replace\" }",
       "p:3: rule[1].request[1].do: the key 'bytes' is missing: what goes out in their place"},
      {step + "do = { garble = \"flip\", count = 65537 }",
       "p:3: rule[1].request[1].do.count: 65537 is out of range; allowed is 1 to 65536"},
      {step + "do = { split = 0 }",
       "p:3: rule[1].request[1].do.split: 0 is out of range; allowed is 1 to 1048576"},
      {step + "do = {}",
       "p:3: rule[1].request[1].do: nothing to do; allowed is delay, throttle, reset, garble, split, or one "
       "of the "
       "words stop-reading, swallow, pass, reset, end, half-close, refuse, silent"},
      {step + "at = { head = 1, last = 1 }\ndo = \"end\"",
       "p:3: rule[1].request[1].at: one of bytes, head, body, last, after and command says when"},
      {step + "at = { head = 0 }\ndo = \"end\"",
       "p:3: rule[1].request[1].at.head: 0 is out of range; allowed is 1 to 9007199254740992"},
      {step + "at = { bytes = 1 }\ndo = \"refuse\"",
       "p:3: rule[1].request[1].at: refuse and silent are for at = \"connect\" only"},
      {step + "at = \"never\"\ndo = \"end\"",
       "p:3: rule[1].request[1].at: \"never\" is not allowed; allowed is connect"},
  };
  for (const auto& [text, expected] : cases) {
    try {
      parsePlan(text, "p");
      ADD_FAILURE() << "accepted: " << text;
    } catch (const configuration::Error& error) {
      EXPECT_EQ(error.what(), expected);
    }
  }
}

}  // namespace
}  // namespace ivypost::fault
