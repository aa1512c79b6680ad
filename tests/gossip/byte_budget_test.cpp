// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/byte_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <deque>
#include <utility>

namespace ivypost::gossip {
namespace {

RC_GTEST_PROP(ByteBudget, StaysWithinItsRateInAnySecond, ()) {
  constexpr ByteBudget::Micros kSecond = 1'000'000;
  ByteBudget budget(5100, 600, 300, 0);
  std::deque<std::pair<ByteBudget::Micros, std::size_t>> taken;
  ByteBudget::Micros now = 0;
  std::size_t sum = 0;
  for (int n = 0; n < 400; ++n) {
    now += *rc::gen::inRange<ByteBudget::Micros>(0, 20'000);
    const auto bytes = *rc::gen::inRange<std::size_t>(1, 400);
    if (!(n % 3 == 0 ? budget.takeWithDebt(bytes, now) : budget.take(bytes, now))) continue;
    taken.emplace_back(now, bytes);
    sum += bytes;
    for (; now - taken.front().first > kSecond; taken.pop_front()) sum -= taken.front().second;
    RC_ASSERT(sum <= 6000u);
  }
}

}  // namespace
}  // namespace ivypost::gossip
