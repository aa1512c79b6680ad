// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/trace_ids.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace ivypost::admission {
namespace {

TEST(TraceIds, AnIdIsTakenWhileItsRequestIsOpenAndForAWhileAfter) {
  TraceIds ids;
  EXPECT_TRUE(ids.open(7, 0));
  EXPECT_FALSE(ids.open(7, 60'000'000)) << "however long it is open: corrib-quotes' deadlines reach 6 s";
  EXPECT_TRUE(ids.open(8, 0));
  ids.close(7, 60'000'000);
  EXPECT_FALSE(ids.open(7, 60'000'000 + TraceIds::kRetention));
  EXPECT_TRUE(ids.open(7, 60'000'001 + TraceIds::kRetention));
  ids.close(9, 0);  // never opened
  EXPECT_EQ(ids.size(), 2u);
}

TEST(TraceIds, RemembersNoMoreClosedOnesThanItsBound) {
  TraceIds ids;
  constexpr std::uint64_t kOpen = 100;
  for (std::uint64_t id = 0; id < kOpen; ++id) ASSERT_TRUE(ids.open(id, 0));
  for (std::uint64_t id = kOpen; id < kOpen + 3 * TraceIds::kMaxClosed; ++id) {
    ASSERT_TRUE(ids.open(id, 1));
    ids.close(id, 1);
    ASSERT_LE(ids.size(), kOpen + TraceIds::kMaxClosed);
  }
  EXPECT_EQ(ids.size(), kOpen + TraceIds::kMaxClosed);
  EXPECT_TRUE(ids.isFree(kOpen, 1)) << "the one closed longest ago is forgotten";
  EXPECT_FALSE(ids.isFree(kOpen + 3 * TraceIds::kMaxClosed - 1, 1));
  for (std::uint64_t id = 0; id < kOpen; ++id)
    EXPECT_FALSE(ids.isFree(id, 1)) << "open ones are never forgotten";
  EXPECT_TRUE(ids.isFree(kOpen + 3 * TraceIds::kMaxClosed - 1, 2 + TraceIds::kRetention));
  EXPECT_EQ(ids.size(), kOpen);
}

// Compares TraceIds with a plain map from each id to the time when its request was closed.
RC_GTEST_PROP(TraceIds, AgreesWithAPlainMap, ()) {
  TraceIds ids;
  std::map<std::uint64_t, Micros> ended;  // -1: the request is open
  Micros now = 0;
  for (const auto step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 12))) {
    const auto id = static_cast<std::uint64_t>(step % 4);
    now += step * TraceIds::kRetention / 10;
    const auto found = ended.find(id);
    const bool free =
        found == ended.end() || (found->second >= 0 && now - found->second > TraceIds::kRetention);
    RC_ASSERT(ids.isFree(id, now) == free);
    if (step < 6) {
      RC_ASSERT(ids.open(id, now) == free);
      if (free) ended[id] = -1;
    } else {
      ids.close(id, now);
      if (found != ended.end() && found->second < 0) found->second = now;
    }
  }
}

}  // namespace
}  // namespace ivypost::admission
