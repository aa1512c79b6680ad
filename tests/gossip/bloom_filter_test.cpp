// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/bloom_filter.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace ivypost::gossip {
namespace {

TEST(BloomFilter, HoldsAddedKeysAndFewOthers) {
  for (const std::size_t keys : {1, 20, 84, 268}) {
    BloomFilter filter(keys, 99);
    for (std::uint64_t n = 1; n <= keys; ++n) filter.add(mix(n));
    int falsePositives = 0, repeatedFalsePositives = 0;
    BloomFilter other(keys, 100);
    for (std::uint64_t n = 1; n <= keys; ++n) other.add(mix(n));
    for (std::uint64_t n = 1; n <= keys; ++n) ASSERT_TRUE(filter.holds(mix(n)));
    for (std::uint64_t n = 1001; n <= 11'000; ++n) {
      falsePositives += filter.holds(mix(n)) ? 1 : 0;
      repeatedFalsePositives += filter.holds(mix(n)) && other.holds(mix(n)) ? 1 : 0;
    }
    EXPECT_LE(falsePositives, 1300)
        << keys;  // of 10'000 lookups, one in 11 is expected for the fullest filter, plus random variation
    EXPECT_LE(repeatedFalsePositives, falsePositives / 3 + 5)
        << keys << ": another salt has other false positives";
    EXPECT_LE(filter.bytes().size(), BloomFilter::kMaxBytes);
  }
}

}  // namespace
}  // namespace ivypost::gossip
