// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "rotation/rotation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ivypost::rotation {
namespace {

using Change = Rotation::Change;

TEST(Rotation, TwoCallsOutNeedOneCallBack) {
  Rotation rotation;
  EXPECT_EQ(rotation.exclude("a"), Change::Done);
  EXPECT_EQ(rotation.exclude("a"), Change::None);
  EXPECT_TRUE(rotation.isOut("a"));
  EXPECT_EQ(rotation.include("a", 5), Change::Done);
  EXPECT_FALSE(rotation.isOut("a"));
  EXPECT_EQ(rotation.include("a", 9), Change::None);
  EXPECT_EQ(rotation.startedAtMs("a", 0), 5) << "a call that changes nothing must not make it cold anew";
}

TEST(Rotation, OneThatIsBackIsColdFromThenOrFromALaterStart) {
  Rotation rotation;
  EXPECT_EQ(rotation.startedAtMs("a", 7), 7);
  rotation.exclude("a");
  EXPECT_EQ(rotation.startedAtMs("a", 7), 7);
  rotation.include("a", 1000);
  EXPECT_EQ(rotation.startedAtMs("a", 0), 1000);
  EXPECT_EQ(rotation.startedAtMs("a", 900), 1000);
  EXPECT_EQ(rotation.startedAtMs("a", 1100), 1100);
  EXPECT_EQ(rotation.startedAtMs("b", 3), 3);
}

TEST(Rotation, ItsSizeIsBounded) {
  Rotation rotation;
  EXPECT_EQ(rotation.exclude(std::string(Rotation::kMaxId + 1, 'x')), Change::Full);
  for (std::size_t n = 0; n < Rotation::kMost; ++n)
    ASSERT_EQ(rotation.exclude("s" + std::to_string(n)), Change::Done);
  EXPECT_EQ(rotation.exclude("one more"), Change::Full);
  EXPECT_FALSE(rotation.isOut("one more"));
  // Those that came back long ago are forgotten first.
  for (std::size_t n = 0; n < Rotation::kMost; ++n)
    rotation.include("s" + std::to_string(n), 100 + static_cast<int>(n));
  rotation.exclude("late");
  rotation.include("late", 5000);
  EXPECT_EQ(rotation.startedAtMs("s0", 0), 0);
  EXPECT_EQ(rotation.startedAtMs("s1", 0), 101);
  EXPECT_EQ(rotation.startedAtMs("late", 0), 5000);
  EXPECT_EQ(Rotation::parse(rotation.text()), rotation);
}

TEST(Rotation, DifferencesNameWhatReadsDifferently) {
  Rotation a, b;
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

TEST(Rotation, BadTextsAreRefusedInOneLine) {
  for (const char* text :
       {"", "{", "[]", "{\"version\":1}", "{\"version\":2,\"out\":[],\"back\":{}}",
        "{\"version\":1,\"out\":{},\"back\":{}}", "{\"version\":1,\"out\":[1],\"back\":{}}",
        "{\"version\":1,\"out\":[\"\"],\"back\":{}}", "{\"version\":1,\"out\":[],\"back\":{\"a\":\"b\"}}",
        "{\"version\":1,\"out\":[],\"back\":{\"a\":1.5}}", "\xff\xfe"}) {
    try {
      Rotation::parse(text);
      ADD_FAILURE() << text << " was taken";
    } catch (const std::runtime_error& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
}

RC_GTEST_PROP(RotationText, CutAnywhereIsRefused, ()) {
  Rotation rotation;
  const auto ids =
      *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
  for (const auto& id : ids) {
    std::string plain;
    for (const char c : id) plain += static_cast<char>('a' + (static_cast<unsigned char>(c) % 26));
    rotation.exclude(plain);
    if (plain.size() % 2 == 0) rotation.include(plain, static_cast<std::int64_t>(plain.size()));
  }
  const std::string text = rotation.text();
  RC_ASSERT(Rotation::parse(text) == rotation);
  // Without its last brace; a missing line end is all the same.
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
  RC_ASSERT_THROWS(Rotation::parse(text.substr(0, length)));
}

}  // namespace
}  // namespace ivypost::rotation
