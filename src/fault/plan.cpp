// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/plan.h"

#include <algorithm>
#include <array>

namespace ivypost::fault {

const char* nameOf(const Action& action) {
  static constexpr std::array<const char*, std::variant_size_v<Action>> kNames = {
      "delay", "throttle",   "stop-reading", "swallow", "pass",   "reset",
      "end",   "half-close", "garble",       "split",   "refuse", "silent"};
  return kNames.at(action.index());
}

const char* nameOf(Direction direction) {
  return direction == Direction::Request ? "request" : "answer";
}

const Rule* ruleFor(const Plan& plan, std::uint64_t seed, std::uint64_t connection) {
  for (std::size_t n = 0; n < plan.rules.size(); ++n) {
    const Selector& which = plan.rules[n].connections;
    if (!which.numbers.empty()) {
      if (std::find(which.numbers.begin(), which.numbers.end(), connection) == which.numbers.end()) continue;
    } else if (connection < which.from) {
      continue;
    }
    // A draw for each rule and connection, so that no connection's depends on how many came before.
    SplitMix draw(seed ^ (connection * 0x9e3779b97f4a7c15u) ^ (n << 56));
    if (which.share >= 1 || draw.unit() < which.share) return &plan.rules[n];
  }
  return nullptr;
}

}  // namespace ivypost::fault
