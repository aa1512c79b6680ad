// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/shared_trace_ids.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <string>

namespace ivypost::admission {
namespace {

class SharedTraceIdsTest : public testing::Test {
 protected:
  ~SharedTraceIdsTest() override { ::unlink(path.c_str()); }

  const std::string path = testing::TempDir() + "ivypost-shared-trace-ids-" + std::to_string(::getpid());
  // Two processes map the file each for itself.
  const std::unique_ptr<SharedTraceIds> first = SharedTraceIds::map(path);
  const std::unique_ptr<SharedTraceIds> second = SharedTraceIds::map(path);
};

TEST_F(SharedTraceIdsTest, AnIdIsInUseAtBothUntilItsRetentionIsOver) {
  EXPECT_TRUE(first->claim(7, 0));
  EXPECT_FALSE(first->claim(7, 1'000'000));
  EXPECT_FALSE(second->claim(7, 1'000'000));
  EXPECT_TRUE(second->claim(8, 1'000'000));
  first->release(7, 2'000'000);
  EXPECT_FALSE(second->claim(7, 2'000'000 + TraceIds::kRetention - 1));
  EXPECT_TRUE(second->claim(7, 2'000'000 + TraceIds::kRetention));
}

TEST_F(SharedTraceIdsTest, AnIdThatAKilledProcessHadClaimedExpires) {
  EXPECT_TRUE(first->claim(7, 0));
  EXPECT_FALSE(second->claim(7, SharedTraceIds::kMaxOpen - 1));
  EXPECT_TRUE(second->claim(7, SharedTraceIds::kMaxOpen));
}

// The expiry is stored modulo 2^24 ms: an id is in use across the overflow.
TEST_F(SharedTraceIdsTest, TimesOverflow) {
  constexpr Micros kOverflow = (Micros{1} << 24) * 1000;
  EXPECT_TRUE(first->claim(7, kOverflow - 1'000'000));
  EXPECT_FALSE(second->claim(7, kOverflow + 1'000'000));
  EXPECT_TRUE(second->claim(7, kOverflow + SharedTraceIds::kMaxOpen));
}

// The table's bound: beyond it the ids that expire first are forgotten, and what is claimed last is in use.
TEST_F(SharedTraceIdsTest, HoldsNoMoreThanItsSlots) {
  constexpr std::uint64_t kMany = 4 * SharedTraceIds::kBuckets * SharedTraceIds::kSlotsPerBucket;
  for (std::uint64_t id = 1; id <= kMany; ++id) {
    const auto time = static_cast<Micros>(id) * 1000;
    ASSERT_TRUE(first->claim(id, time));
    ASSERT_FALSE(second->claim(id, time)) << id;
  }
}

TEST(SharedTraceIds, AFolderThatIsNotThereGivesAnError) {
  EXPECT_EQ(SharedTraceIds::map("/nowhere/ids"), nullptr);
  EXPECT_EQ(errno, ENOENT);
}

}  // namespace
}  // namespace ivypost::admission
