// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/exclusion_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>

#include "exclusion/error.h"

namespace ivypost::exclusion {
namespace {

WallTime at(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

// Excludes an endpoint that is in the endpoint list.
Outcome exclude(ExclusionSet& set, const std::string& endpoint) {
  return set.apply({Change::Kind::Exclude, endpoint, true, {}, at(1)});
}

Outcome include(ExclusionSet& set, const std::string& endpoint, std::int64_t now) {
  return set.apply({Change::Kind::Include, endpoint, true, {}, at(now)});
}

TEST(ExclusionSet, OneIncludeEndsRepeatedExcludes) {
  ExclusionSet set;
  EXPECT_EQ(exclude(set, "a"), Outcome::Changed);
  EXPECT_EQ(exclude(set, "a"), Outcome::Unchanged);
  EXPECT_TRUE(set.isExcluded("a"));
  EXPECT_EQ(include(set, "a", 5), Outcome::Changed);
  EXPECT_FALSE(set.isExcluded("a"));
  EXPECT_EQ(include(set, "a", 9), Outcome::Unchanged);
  EXPECT_EQ(set.effectiveStart("a", at(0)), at(5))
      << "a call that changes nothing must not restart the slow start";
}

TEST(ExclusionSet, RejectsAnEndpointThatIsNeitherListedNorExcluded) {
  ExclusionSet set;
  for (const auto kind : {Change::Kind::Exclude, Change::Kind::Include})
    EXPECT_EQ(set.apply({kind, "a", false, {}, at(1)}), Outcome::UnknownEndpoint);
  EXPECT_TRUE(set.isEmpty());
  exclude(set, "a");
  EXPECT_EQ(set.apply({Change::Kind::Exclude, "a", false, {}, at(1)}), Outcome::Unchanged);
  EXPECT_EQ(set.apply({Change::Kind::Include, "a", false, {}, at(2)}), Outcome::Changed)
      << "it is excluded, though not listed";
  EXPECT_EQ(set.apply({Change::Kind::Include, "a", false, {}, at(3)}), Outcome::UnknownEndpoint);
}

TEST(ExclusionSet, AnIncludedEndpointStartsAtTheIncludeOrAtALaterListedStart) {
  ExclusionSet set;
  EXPECT_EQ(set.effectiveStart("a", at(7)), at(7));
  exclude(set, "a");
  EXPECT_EQ(set.effectiveStart("a", at(7)), at(7));
  include(set, "a", 1000);
  EXPECT_EQ(set.effectiveStart("a", at(0)), at(1000));
  EXPECT_EQ(set.effectiveStart("a", at(900)), at(1000));
  EXPECT_EQ(set.effectiveStart("a", at(1100)), at(1100));
  EXPECT_EQ(set.effectiveStart("b", at(3)), at(3));
}

// The wall clock of this process may be behind that of the process that makes the lists, or before 1970.
TEST(ExclusionSet, AnIncludedEndpointStartsLaterThanListedWhateverTheClock) {
  for (const std::int64_t now : {std::int64_t{-5000}, std::int64_t{0}, std::int64_t{6999}}) {
    ExclusionSet set;
    exclude(set, "a");
    ASSERT_EQ(set.apply({Change::Kind::Include, "a", true, at(7000), at(now)}), Outcome::Changed);
    EXPECT_GT(set.effectiveStart("a", at(7000)), at(7000)) << now;
    const auto stored = ExclusionSet::parse(set.serialize());
    ASSERT_TRUE(stored);
    EXPECT_EQ(stored.value(), set);
  }
}

TEST(ExclusionSet, ItsSizeIsBounded) {
  ExclusionSet set;
  EXPECT_EQ(exclude(set, std::string(ExclusionSet::kMaxIdLength + 1, 'x')), Outcome::Full);
  for (std::size_t n = 0; n < ExclusionSet::kMaxEntries; ++n)
    ASSERT_EQ(exclude(set, "s" + std::to_string(n)), Outcome::Changed);
  EXPECT_EQ(exclude(set, "one more"), Outcome::Full);
  EXPECT_FALSE(set.isExcluded("one more"));
  // The earliest inclusions are evicted first.
  for (std::size_t n = 0; n < ExclusionSet::kMaxEntries; ++n)
    ASSERT_EQ(include(set, "s" + std::to_string(n), 100 + static_cast<int>(n)), Outcome::Changed);
  exclude(set, "late");
  include(set, "late", 5000);
  EXPECT_EQ(set.effectiveStart("s0", at(0)), at(0));
  EXPECT_EQ(set.effectiveStart("s1", at(0)), at(101));
  EXPECT_EQ(set.effectiveStart("late", at(0)), at(5000));
  const auto stored = ExclusionSet::parse(set.serialize());
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored.value(), set);
}

TEST(ExclusionSet, DifferingEndpointsAreThoseWithAnotherStateOrStart) {
  ExclusionSet a, b;
  exclude(a, "both");
  exclude(b, "both");
  exclude(a, "mine");
  exclude(b, "yours");
  exclude(b, "back");
  include(b, "back", 4);
  EXPECT_EQ(a.differingEndpoints(b), (std::vector<std::string>{"back", "mine", "yours"}));
  EXPECT_EQ(b.differingEndpoints(a), (std::vector<std::string>{"back", "mine", "yours"}));
  EXPECT_TRUE(a.differingEndpoints(a).empty());
}

// Guards the format of the files that deployed sidecars have stored.
TEST(ExclusionSet, HasAFixedStoredFormat) {
  ExclusionSet set;
  exclude(set, "b");
  exclude(set, "a");
  exclude(set, "c");
  include(set, "c", 1700000000123);
  const std::string text = "{\"back\":{\"c\":1700000000123},\"out\":[\"a\",\"b\"],\"version\":1}\n";
  EXPECT_EQ(set.serialize(), text);
  EXPECT_EQ(ExclusionSet().serialize(), "{\"back\":{},\"out\":[],\"version\":1}\n");
  const auto stored = ExclusionSet::parse(text);
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored.value(), set);
}

TEST(ExclusionSet, InvalidTextsGiveErrorsOfOneLine) {
  const std::string tooMany = [] {
    std::string ids = "\"0\"";
    for (std::size_t n = 1; n <= ExclusionSet::kMaxEntries; ++n) ids += ",\"" + std::to_string(n) + "\"";
    return "{\"version\":1,\"out\":[" + ids + "],\"back\":{}}";
  }();
  const std::string longId(ExclusionSet::kMaxIdLength + 1, 'x');
  const std::pair<std::string, Error> cases[] = {
      {"", Error::NotJson},
      {"{", Error::NotJson},
      {"[]", Error::NotJson},
      {"\xff\xfe", Error::NotJson},
      {"{\"out\":[],\"back\":{}}", Error::UnknownVersion},
      {"{\"version\":2,\"out\":[],\"back\":{}}", Error::UnknownVersion},
      {"{\"version\":1}", Error::NoLists},
      {"{\"version\":1,\"out\":{},\"back\":{}}", Error::NoLists},
      {"{\"version\":1,\"out\":[],\"back\":[]}", Error::NoLists},
      {tooMany, Error::TooManyEntries},
      {"{\"version\":1,\"out\":[1],\"back\":{}}", Error::IdNotText},
      {"{\"version\":1,\"out\":[\"\"],\"back\":{}}", Error::InvalidId},
      {"{\"version\":1,\"out\":[\"" + longId + "\"],\"back\":{}}", Error::InvalidId},
      {"{\"version\":1,\"out\":[],\"back\":{\"\":1}}", Error::InvalidId},
      {"{\"version\":1,\"out\":[],\"back\":{\"a\":\"b\"}}", Error::InvalidTime},
      {"{\"version\":1,\"out\":[],\"back\":{\"a\":1.5}}", Error::InvalidTime}};
  for (const auto& [text, error] : cases) {
    const auto set = ExclusionSet::parse(text);
    EXPECT_FALSE(set) << text;
    EXPECT_EQ(set.error(), error) << text;
    EXPECT_EQ(set.error().message().find('\n'), std::string::npos);
    EXPECT_NE(set.error().message(), "unknown error");
  }
}

// Stored times must not overflow when converted to microseconds.
TEST(ExclusionSet, ClampsStoredTimesThatAreOutOfRange) {
  const auto startOf = [](const std::string& number) {
    const auto set = ExclusionSet::parse("{\"version\":1,\"out\":[],\"back\":{\"a\":" + number + "}}");
    return set ? set.value().effectiveStart("a", at(0)) : at(-1);
  };
  EXPECT_EQ(startOf("-9223372036854775808"), at(0));
  EXPECT_EQ(startOf("9223372036854775807"), ExclusionSet::kMaxTime);
  EXPECT_EQ(startOf("18446744073709551615"), ExclusionSet::kMaxTime);
}

RC_GTEST_PROP(ExclusionSetText, IsInvalidWhenTruncatedAnywhere, ()) {
  ExclusionSet set;
  const auto ids =
      *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
  for (const auto& id : ids) {
    std::string plain;
    for (const char c : id) plain += static_cast<char>('a' + (static_cast<unsigned char>(c) % 26));
    exclude(set, plain);
    if (plain.size() % 2 == 0) include(set, plain, static_cast<std::int64_t>(plain.size()));
  }
  const std::string text = set.serialize();
  const auto complete = ExclusionSet::parse(text);
  RC_ASSERT(complete.hasValue());
  RC_ASSERT(complete.value() == set);
  // Cuts at least the last brace, since a text that lacks only the line end is valid.
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
  RC_ASSERT(ExclusionSet::parse(text.substr(0, length)).error() == Error::NotJson);
}

}  // namespace
}  // namespace ivypost::exclusion
