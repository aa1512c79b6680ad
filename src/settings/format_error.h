// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_SETTINGS_FORMAT_ERROR_H_
#define IVYPOST_SETTINGS_FORMAT_ERROR_H_

#include <stdexcept>
#include <string_view>

namespace ivypost::settings {

/// Input from the platform, discovery or the simulator is malformed or has an invalid value. what() is one
/// line for a log, without a line end. It does not name the source of the text: the code that catches it adds
/// that.
struct FormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws FormatError with the message `what`, followed by the first 80 bytes of `value` in quotes.
[[noreturn]] void throwFormatError(std::string_view what, std::string_view value);

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_FORMAT_ERROR_H_
