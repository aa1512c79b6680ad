// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_CONFIGURATION_ERROR_H_
#define IVYPOST_CONFIGURATION_ERROR_H_

#include <optional>
#include <stdexcept>
#include <string>

namespace ivypost::configuration {

/// A position in a configuration file.
struct Location {
  std::string file;              ///< The file's name, as passed to the reader.
  std::optional<unsigned> line;  ///< From 1; none: the whole file, as when it can't be opened.
};

/// An error in a configuration file. what() is one line for a log, without a line end:
/// "file:line: key: problem; hint". An empty part is left out together with its punctuation.
class Error : public std::runtime_error {
 public:
  /// `key`: the key's path from the root, as in levels.protect.cpu_share; empty: the error concerns no single
  /// key. `problem`: what is wrong. `hint`: the allowed values, or the key that was probably meant; empty:
  /// the problem says enough by itself.
  Error(Location location, std::string key, std::string problem, std::string hint = {});

  /// The position of the key, or of its table if the key is missing.
  [[nodiscard]] const Location& location() const { return location_; }
  /// The key's dotted path from the root; empty: the error concerns no single key.
  [[nodiscard]] const std::string& key() const { return key_; }
  /// What is wrong.
  [[nodiscard]] const std::string& problem() const { return problem_; }
  /// The allowed values, or the key that was probably meant; may be empty.
  [[nodiscard]] const std::string& hint() const { return hint_; }

 private:
  Location location_;
  std::string key_;
  std::string problem_;
  std::string hint_;
};

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_ERROR_H_
