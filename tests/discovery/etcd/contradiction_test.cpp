// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/contradiction.h"

#include <gtest/gtest.h>

namespace ivypost::discovery::etcd {
namespace {

using Kind = Contradiction::Kind;

TEST(Contradiction, AnEmptyListIsAcceptedTheSecondTimeInARow) {
  Contradiction contradiction;
  const auto first = contradiction.add(Kind::Empty, {7, 1, 5}, 0, 3);
  EXPECT_TRUE(first.isNew);
  EXPECT_FALSE(first.isAccepted);
  EXPECT_TRUE(contradiction.isOpen());
  const auto second = contradiction.add(Kind::Empty, {7, 1, 5}, 0, 3);
  EXPECT_FALSE(second.isNew);
  EXPECT_TRUE(second.isAccepted);
}

TEST(Contradiction, AnotherHistoryIsAcceptedTheThirdTimeFromAMajority) {
  Contradiction contradiction;
  EXPECT_FALSE(contradiction.add(Kind::Older, {7, 1, 5}, 0, 3).isAccepted);
  EXPECT_FALSE(contradiction.add(Kind::Older, {7, 1, 5}, 0, 3).isAccepted);
  EXPECT_FALSE(contradiction.add(Kind::Older, {7, 1, 5}, 0, 3).isAccepted) << "one endpoint of three";
  EXPECT_TRUE(contradiction.add(Kind::Older, {7, 2, 6}, 1, 3).isAccepted);
}

TEST(Contradiction, AListThatDoesNotContinueTheContradictionStartsANewOne) {
  Contradiction contradiction;
  EXPECT_TRUE(contradiction.add(Kind::Empty, {7, 1, 5}, 0, 1).isNew);
  EXPECT_TRUE(contradiction.add(Kind::Empty, {8, 1, 5}, 0, 1).isNew) << "another cluster";
  EXPECT_TRUE(contradiction.add(Kind::Empty, {8, 1, 4}, 0, 1).isNew) << "a lower revision";
  EXPECT_TRUE(contradiction.add(Kind::Older, {8, 1, 4}, 0, 1).isNew) << "another kind";
  contradiction.clear();
  EXPECT_FALSE(contradiction.isOpen());
  EXPECT_TRUE(contradiction.add(Kind::Older, {8, 1, 4}, 0, 1).isNew) << "after a list was accepted";
}

}  // namespace
}  // namespace ivypost::discovery::etcd
