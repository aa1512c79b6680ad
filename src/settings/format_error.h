// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_SETTINGS_FORMAT_ERROR_H_
#define IVYPOST_SETTINGS_FORMAT_ERROR_H_

#include <stdexcept>
#include <string_view>

namespace ivypost::settings {

/// What the platform, discovery or the simulator said can't be read or can't be meant. what() is one line for
/// a log, without a line end; whoever catches it knows where the text came from, and says so.
struct FormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws FormatError: `what` is wrong with, and behind it in quotes, the first 80 bytes of `value`.
[[noreturn]] void bad(std::string_view what, std::string_view value);

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_FORMAT_ERROR_H_
