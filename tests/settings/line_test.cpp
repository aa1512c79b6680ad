// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "settings/line.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "settings/format_error.h"

namespace ivypost::settings {
namespace {

using Parts = std::vector<std::string_view>;

TEST(LineTest, ReadsEveryKindOfValue) {
  const Line line("create n=7 x=0.5 yes=true no=0 empty= id=00000000000000ff n=8 text=a=b");
  EXPECT_EQ(line.name(), "create");
  EXPECT_EQ(line.fields().size(), 8U);
  EXPECT_EQ(line.integer("n", 0, 9), 7) << "the first of two";
  EXPECT_EQ(line.integer("missing", 0, 9, -1), -1);
  EXPECT_EQ(line.number("x", 0), 0.5);
  EXPECT_EQ(line.number("missing", 2), 2);
  EXPECT_TRUE(line.flag("yes"));
  EXPECT_FALSE(line.flag("no"));
  EXPECT_FALSE(line.flag("missing"));
  EXPECT_EQ(line.find("empty"), "");
  EXPECT_EQ(line.find("missing"), std::nullopt);
  EXPECT_EQ(line.request("id"), 255U);
  EXPECT_EQ(line.text("text"), "a=b");
}

TEST(LineTest, NameAloneIsALine) {
  EXPECT_EQ(Line("go").name(), "go");
  EXPECT_TRUE(Line("go").fields().empty());
}

TEST(LineTest, RejectsWhatIsNoLine) {
  for (const char* const text : {"", " a=1", "a=1", "go a", "go =1", "go a=1  b=2", "go "})
    EXPECT_THROW(static_cast<void>(Line(text)), FormatError) << text;
}

TEST(LineTest, ErrorNamesKeyAndValue) {
  const Line line("l n=12 x=nan f=maybe id=00000000000000FF short=ff empty=");
  const auto errorOf = [&](const auto& read) -> std::string {
    try {
      static_cast<void>(read());
    } catch (const FormatError& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(errorOf([&] { return line.integer("n", 0, 9); }), "n is out of range: '12'");
  EXPECT_EQ(errorOf([&] { return line.integer("x", 0, 9); }), "x is no integer: 'nan'");
  EXPECT_EQ(errorOf([&] { return line.number("x", 0); }), "x is no number: 'nan'");
  EXPECT_EQ(errorOf([&] { return line.flag("f"); }), "f is no bool: 'maybe'");
  EXPECT_EQ(errorOf([&] { return line.text("empty"); }), "missing value: 'empty'");
  EXPECT_EQ(errorOf([&] { return line.request("id"); }),
            "request id is not lower-case hex: '00000000000000FF'");
  EXPECT_EQ(errorOf([&] { return line.request("short"); }), "request id has not 16 digits: 'ff'");
}

TEST(LineTest, ErrorShowsTheFirst80BytesOfAValue) {
  try {
    throwFormatError("too long:", std::string(1000, 'a'));
  } catch (const FormatError& error) {
    EXPECT_EQ(error.what(), "too long: '" + std::string(80, 'a') + "'");
  }
}

TEST(SplitTest, GivesThePartsBetweenSeparators) {
  EXPECT_EQ(split("", ','), Parts());
  EXPECT_EQ(split("a", ','), Parts({"a"}));
  EXPECT_EQ(split("a,,b", ','), Parts({"a", "", "b"}));
  EXPECT_EQ(split("a,", ','), Parts({"a"}));
}

}  // namespace
}  // namespace ivypost::settings
