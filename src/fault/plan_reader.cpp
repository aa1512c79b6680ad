// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/plan_reader.h"

#include <algorithm>
#include <array>

#include "configuration/toml_document.h"

namespace ivypost::fault {
namespace {

using configuration::Table;

constexpr std::int64_t kMaxCount = std::int64_t{1} << 53;
constexpr std::size_t kMaxSizes = 1024;

// Number 0, each message, is written as "each".
std::uint64_t message(Table& at, std::string_view key) {
  if (!at.isText(key)) return static_cast<std::uint64_t>(at.integer(key, 1, kMaxCount));
  at.choice(key, {"each"});
  return 0;
}

Trigger readTrigger(Table& step) {
  Trigger trigger;
  if (!step.has("at") || step.isText("at")) {
    step.choice("at", {"connect"}, 0);
    return trigger;
  }
  Table at = *step.table("at");
  const auto offset = [&] { return static_cast<std::uint64_t>(at.integer("offset", 0, kMaxCount, 0)); };
  const std::array<const char*, 6> kinds{"bytes", "head", "body", "last", "after", "command"};
  if (std::count_if(kinds.begin(), kinds.end(), [&](const char* kind) { return at.has(kind); }) != 1)
    at.fail("", "one of bytes, head, body, last, after and command says when");
  if (at.has("bytes")) {
    trigger.when = AtBytes{static_cast<std::uint64_t>(at.integer("bytes", 0, kMaxCount))};
  } else if (at.has("head")) {
    const auto number = message(at, "head");
    trigger.when = AtHead{number, offset()};
  } else if (at.has("body")) {
    const auto number = message(at, "body");
    trigger.when = AtBody{number, offset()};
  } else if (at.has("last")) {
    trigger.when = AtLast{message(at, "last")};
  } else if (at.has("after")) {
    trigger.when = AtTime{at.duration("after").count()};
  } else {
    trigger.when = AtCommand{at.text("command")};
  }
  if (at.has("of"))
    trigger.of = at.choice("of", {"request", "answer"}) == 0 ? Direction::Request : Direction::Answer;
  at.finish();
  return trigger;
}

Action readPlain(Table& step) {
  const std::vector<std::string_view> words = {"stop-reading", "swallow",    "pass",   "reset",
                                               "end",          "half-close", "refuse", "silent"};
  const std::array<Action, 8> actions = {StopReading{}, Swallow{},   Pass{},   Reset{},
                                         End{},         HalfClose{}, Reject{}, Silent{}};
  return actions.at(step.choice("do", words));
}

Action readAction(Table& step) {
  if (step.isText("do")) return readPlain(step);
  auto table = step.table("do");
  if (!table) step.fail("", "the key 'do' is missing");
  Table& what = *table;
  Action action;
  if (what.has("delay")) {
    Delay delay;
    delay.fixed = what.duration("delay").count();
    delay.jitter = what.duration("jitter", {}).count();
    action = delay;
  } else if (what.has("throttle")) {
    const std::uint64_t rate = what.size("throttle");
    if (rate == 0) what.fail("throttle", "0 bytes a second; use stop-reading");
    action = Throttle{rate};
  } else if (what.has("reset")) {
    const std::array<Side, 3> sides = {Side::Both, Side::Client, Side::Server};
    action = Reset{sides.at(what.choice("reset", {"both", "client", "server"}))};
  } else if (what.has("garble")) {
    Garble garble;
    const std::array<Garble::How, 5> hows = {Garble::How::Flip, Garble::How::Insert, Garble::How::Drop,
                                             Garble::How::Repeat, Garble::How::Replace};
    garble.how = hows.at(what.choice("garble", {"flip", "insert", "drop", "repeat", "replace"}));
    garble.bytes = what.text("bytes", "");
    garble.count = static_cast<std::uint64_t>(what.integer("count", 1, kMaxGarbled, 1));
    if (garble.bytes.size() > kMaxGarbled) what.fail("bytes", "over 64 KiB");
    if (garble.how == Garble::How::Replace && garble.bytes.empty())
      what.fail("", "the key 'bytes' is missing: what goes out in their place");
    action = garble;
  } else if (what.has("split")) {
    Split split;
    split.sizes.clear();
    for (const std::int64_t size : what.integers("split", 1, 1 << 20, kMaxSizes))
      split.sizes.push_back(static_cast<std::uint32_t>(size));
    split.gap = what.duration("gap", {}).count();
    action = split;
  } else {
    what.fail(
        "",
        "nothing to do; allowed is delay, throttle, reset, garble, split, or one of the words stop-reading, "
        "swallow, pass, reset, end, half-close, refuse, silent");
  }
  what.finish();
  return action;
}

void readSteps(Table& rule, Direction direction, std::vector<Step>& steps) {
  for (Table& table : rule.tables(nameOf(direction), kMaxSteps)) {
    Step step;
    step.direction = direction;
    step.trigger = readTrigger(table);
    step.action = readAction(table);
    const bool whole =
        std::holds_alternative<Reject>(step.action) || std::holds_alternative<Silent>(step.action);
    if (whole && !std::holds_alternative<AtConnect>(step.trigger.when))
      table.fail("at", "refuse and silent are for at = \"connect\" only");
    table.finish();
    steps.push_back(std::move(step));
  }
}

}  // namespace

Plan readPlan(Table& table) {
  Plan plan;
  const std::array<Listener, 3> listeners = {Listener::Accept, Listener::Reject, Listener::Full};
  plan.listener = listeners.at(table.choice("listener", {"accept", "refuse", "full"}, 0));
  for (Table& one : table.tables("rule", kMaxRules)) {
    Rule rule;
    for (const std::int64_t number : one.integers("connections", 1, kMaxCount, kMaxSizes))
      rule.connections.numbers.push_back(static_cast<std::uint64_t>(number));
    rule.connections.from = static_cast<std::uint64_t>(one.integer("from", 1, kMaxCount, 1));
    rule.connections.share = one.number("share", 0, 1, 1);
    if (!rule.connections.numbers.empty() && one.has("from"))
      one.fail("from", "stands beside connections; allowed is one of them");
    readSteps(one, Direction::Request, rule.steps);
    readSteps(one, Direction::Answer, rule.steps);
    one.finish();
    plan.rules.push_back(std::move(rule));
  }
  return plan;
}

Plan parsePlan(std::string_view text, const std::string& name) {
  const auto document = configuration::Document::parse(text, name);
  Table root = document.root();
  Plan plan = readPlan(root);
  root.finish();
  return plan;
}

Plan readPlan(const std::string& path) {
  const auto document = configuration::Document::read(path);
  Table root = document.root();
  Plan plan = readPlan(root);
  root.finish();
  return plan;
}

}  // namespace ivypost::fault
