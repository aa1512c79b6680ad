// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The table of the operator's file's keys: the only place that knows them.
#ifndef IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_
#define IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/operator_file.h"
#include "configuration/toml_table.h"

namespace ivypost::configuration {

struct Key {
  std::string path;         // dotted, as levels.protect.cpu_share
  std::string description;  // what it does, one line or more, each under 100 characters
  // Reads the leaf from its table, if it stands there, into the file; throws configuration::Error.
  std::function<void(OperatorFile&, configuration::Table&, std::string_view)> read;
  // The value as TOML; empty: none.
  std::function<std::string(const OperatorFile&)> format;

  std::string_view section() const;  // ahead of the last dot
  std::string_view leaf() const;     // behind it
};

// Section by section, the keys of one together.
const std::vector<Key>& keys();

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_
