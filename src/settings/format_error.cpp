// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "settings/format_error.h"

#include <cstddef>
#include <string>

namespace ivypost::settings {
namespace {

// The longest part of a value, in bytes, that an error shows; values may have any length.
constexpr std::size_t kMaxShownBytes = 80;

}  // namespace

void throwFormatError(std::string_view what, std::string_view value) {
  throw FormatError(std::string(what) + " '" + std::string(value.substr(0, kMaxShownBytes)) + "'");
}

}  // namespace ivypost::settings
