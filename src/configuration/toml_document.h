// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_CONFIGURATION_TOML_DOCUMENT_H_
#define IVYPOST_CONFIGURATION_TOML_DOCUMENT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "configuration/toml_table.h"

namespace ivypost::configuration {

/// The largest size of a file, in bytes; a larger one is rejected unparsed. No file written by hand is near
/// it.
constexpr std::size_t kMaxFileBytes = 1024UL * 1024;

/// A parsed TOML file. Copies share the parsed tree, which is immutable.
class Document {
 public:
  /// Reads the file at `path`, which errors show as its name. Throws Error if it can't be read, or as
  /// parse().
  static Document read(const std::string& path);
  /// Parses a text. Throws Error if it is not valid TOML or over kMaxFileBytes. `name` is the file name shown
  /// in errors.
  static Document parse(std::string_view text, const std::string& name);

  /// The root table, with no key marked as read. It must not outlive the document.
  [[nodiscard]] Table root() const { return {name_, "", *table_}; }

 private:
  Document(std::string name, toml::table table)
      : name_(std::move(name)), table_(std::make_shared<const toml::table>(std::move(table))) {}

  std::string name_;
  std::shared_ptr<const toml::table> table_;
};

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_TOML_DOCUMENT_H_
