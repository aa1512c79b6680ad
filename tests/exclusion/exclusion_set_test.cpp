// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/exclusion_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ivypost::exclusion {
namespace {

using Change = ExclusionSet::Change;

TEST(ExclusionSet, TwoCallsOutNeedOneCallBack) {
  ExclusionSet exclusions;
  EXPECT_EQ(exclusions.exclude("a"), Change::Done);
  EXPECT_EQ(exclusions.exclude("a"), Change::None);
  EXPECT_TRUE(exclusions.isExcluded("a"));
  EXPECT_EQ(exclusions.include("a", 5), Change::Done);
  EXPECT_FALSE(exclusions.isExcluded("a"));
  EXPECT_EQ(exclusions.include("a", 9), Change::None);
  EXPECT_EQ(exclusions.startedAtMs("a", 0), 5) << "a call that changes nothing must not make it cold anew";
}

TEST(ExclusionSet, OneThatIsBackIsColdFromThenOrFromALaterStart) {
  ExclusionSet exclusions;
  EXPECT_EQ(exclusions.startedAtMs("a", 7), 7);
  exclusions.exclude("a");
  EXPECT_EQ(exclusions.startedAtMs("a", 7), 7);
  exclusions.include("a", 1000);
  EXPECT_EQ(exclusions.startedAtMs("a", 0), 1000);
  EXPECT_EQ(exclusions.startedAtMs("a", 900), 1000);
  EXPECT_EQ(exclusions.startedAtMs("a", 1100), 1100);
  EXPECT_EQ(exclusions.startedAtMs("b", 3), 3);
}

TEST(ExclusionSet, ItsSizeIsBounded) {
  ExclusionSet exclusions;
  EXPECT_EQ(exclusions.exclude(std::string(ExclusionSet::kMaxIdLength + 1, 'x')), Change::Full);
  for (std::size_t n = 0; n < ExclusionSet::kMaxEntries; ++n)
    ASSERT_EQ(exclusions.exclude("s" + std::to_string(n)), Change::Done);
  EXPECT_EQ(exclusions.exclude("one more"), Change::Full);
  EXPECT_FALSE(exclusions.isExcluded("one more"));
  // Those that came back long ago are forgotten first.
  for (std::size_t n = 0; n < ExclusionSet::kMaxEntries; ++n)
    exclusions.include("s" + std::to_string(n), 100 + static_cast<int>(n));
  exclusions.exclude("late");
  exclusions.include("late", 5000);
  EXPECT_EQ(exclusions.startedAtMs("s0", 0), 0);
  EXPECT_EQ(exclusions.startedAtMs("s1", 0), 101);
  EXPECT_EQ(exclusions.startedAtMs("late", 0), 5000);
  EXPECT_EQ(ExclusionSet::parse(exclusions.serialize()), exclusions);
}

TEST(ExclusionSet, DifferencesNameWhatReadsDifferently) {
  ExclusionSet a, b;
  a.exclude("both");
  b.exclude("both");
  a.exclude("mine");
  b.exclude("yours");
  b.exclude("back");
  b.include("back", 4);
  EXPECT_EQ(a.differences(b), (std::vector<std::string>{"back", "mine", "yours"}));
  EXPECT_EQ(b.differences(a), (std::vector<std::string>{"back", "mine", "yours"}));
  EXPECT_TRUE(a.differences(a).empty());
}

TEST(ExclusionSet, BadTextsAreRefusedInOneLine) {
  for (const char* text :
       {"", "{", "[]", "{\"version\":1}", "{\"version\":2,\"out\":[],\"back\":{}}",
        "{\"version\":1,\"out\":{},\"back\":{}}", "{\"version\":1,\"out\":[1],\"back\":{}}",
        "{\"version\":1,\"out\":[\"\"],\"back\":{}}", "{\"version\":1,\"out\":[],\"back\":{\"a\":\"b\"}}",
        "{\"version\":1,\"out\":[],\"back\":{\"a\":1.5}}", "\xff\xfe"}) {
    try {
      ExclusionSet::parse(text);
      ADD_FAILURE() << text << " was taken";
    } catch (const std::runtime_error& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
}

RC_GTEST_PROP(ExclusionSetText, CutAnywhereIsRefused, ()) {
  ExclusionSet exclusions;
  const auto ids =
      *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
  for (const auto& id : ids) {
    std::string plain;
    for (const char c : id) plain += static_cast<char>('a' + (static_cast<unsigned char>(c) % 26));
    exclusions.exclude(plain);
    if (plain.size() % 2 == 0) exclusions.include(plain, static_cast<std::int64_t>(plain.size()));
  }
  const std::string text = exclusions.serialize();
  RC_ASSERT(ExclusionSet::parse(text) == exclusions);
  // Without its last brace; a missing line end is all the same.
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
  RC_ASSERT_THROWS(ExclusionSet::parse(text.substr(0, length)));
}

}  // namespace
}  // namespace ivypost::exclusion
