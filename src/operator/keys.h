// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The table of the operator's file's keys: the only place that knows them.
#ifndef IVYPOST_OPERATOR_KEYS_H_
#define IVYPOST_OPERATOR_KEYS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "configfile/table.h"
#include "operator/file.h"

namespace ivypost::op {

struct Key {
  std::string path;  // dotted, as levels.protect.cpu_share
  std::string text;  // what it does, one line or more, each under 100 characters
  // Reads the leaf from its table, if it stands there, into the file; throws configfile::Error.
  std::function<void(File&, configfile::Table&, std::string_view)> read;
  // The value as TOML; empty: none.
  std::function<std::string(const File&)> show;

  std::string_view section() const;  // ahead of the last dot
  std::string_view leaf() const;     // behind it
};

// Section by section, the keys of one together.
const std::vector<Key>& keys();

}  // namespace ivypost::op

#endif  // IVYPOST_OPERATOR_KEYS_H_
