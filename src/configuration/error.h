// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_CONFIGURATION_ERROR_H_
#define IVYPOST_CONFIGURATION_ERROR_H_

#include <optional>
#include <stdexcept>
#include <string>

namespace ivypost::configuration {

/// Where something stands.
struct Location {
  std::string file;              ///< The file's name, as the reader was given it.
  std::optional<unsigned> line;  ///< From 1; none: of the file as it is, as where it can't be opened.
};

/// What is wrong with a configuration file. what() is one line without a line end, made for a log:
/// "file:line: key: problem; mend". A part that is empty is left out with its mark.
class Error : public std::runtime_error {
 public:
  /// `key`: dotted from the root, as levels.protect.cpu_share; empty: none in particular. `problem`: what is
  /// wrong. `mend`: what is allowed, or what was probably meant; empty: the problem tells it itself.
  Error(Location location, std::string key, std::string problem, std::string mend = {});

  /// Where the key stands, or its table if the key is missing.
  [[nodiscard]] const Location& location() const { return location_; }
  /// The key, dotted from the root; empty: none in particular.
  [[nodiscard]] const std::string& key() const { return key_; }
  /// What is wrong.
  [[nodiscard]] const std::string& problem() const { return problem_; }
  /// What is allowed, or was probably meant; may be empty.
  [[nodiscard]] const std::string& mend() const { return mend_; }

 private:
  Location location_;
  std::string key_;
  std::string problem_;
  std::string mend_;
};

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_ERROR_H_
