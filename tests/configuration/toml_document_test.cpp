// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/toml_document.h"

#include <gtest/gtest.h>

#include <string>

namespace ivypost::configuration {
namespace {

std::string errorOf(const std::string& text) {
  try {
    Document::parse(text, "f.toml").root().finish();
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

TEST(DocumentTest, RejectsWhatIsNoTomlTooLargeOrMissing) {
  for (const char* text : {"a = 1\na = 2", "= 1", "a = ", "[a", "a = \"x", "\xff\xfe"}) {
    const std::string error = errorOf(text);
    EXPECT_EQ(error.rfind("f.toml:", 0), 0u) << text << ": " << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << error;
  }
  EXPECT_EQ(errorOf(std::string(kMaxFileBytes + 1, '#')), "f.toml:1: the file has over 1 MiB");
  EXPECT_THROW(Document::read("/nowhere/at/all.toml"), Error);
}

}  // namespace
}  // namespace ivypost::configuration
