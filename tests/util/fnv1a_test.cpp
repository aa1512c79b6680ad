// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "util/fnv1a.h"

#include <gtest/gtest.h>

#include <string>

#include "gossip/message.h"
#include "settings/site.h"

namespace ivypost::util {
namespace {

// Published test vectors, and a byte above 127, which must be hashed as unsigned.
TEST(Fnv1aTest, HashesAsTheStandardSays) {
  const struct {
    std::string text;
    std::uint64_t hash;
  } rows[] = {{"", 0xcbf29ce484222325}, {"a", 0xaf63dc4c8601ec8c}, {"foobar", 0x85944171f73967e8}};
  for (const auto& row : rows) EXPECT_EQ(fnv1a(row.text), row.hash) << row.text;
  EXPECT_EQ(fnv1a("\xc3"), (0xcbf29ce484222325 ^ 0xc3U) * 0x100000001b3U);
}

// Sidecars of different versions exchange these ids, so that they must stay the same.
TEST(Fnv1aTest, IsTheIdOfEndpointsAndOfSidecars) {
  for (const std::string name : {"", "s1", "sidecar-0042", "node-1", "caf\xc3\xa9"}) {
    EXPECT_EQ(settings::identity(name), fnv1a(name)) << name;
    EXPECT_EQ(gossip::idOf(name), fnv1a(name)) << name;
  }
}

}  // namespace
}  // namespace ivypost::util
