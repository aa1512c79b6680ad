// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/toml_document.h"

#include <algorithm>
#include <fstream>

namespace ivypost::configuration {

Document Document::parse(std::string_view text, const std::string& name) {
  if (text.size() > kMaxFileBytes) throw Error({name, 1}, "", "the file has over 1 MiB");
  try {
    return {name, toml::parse(text, name)};
  } catch (const toml::parse_error& error) {
    std::string problem(error.description());
    std::replace(problem.begin(), problem.end(), '\n', ' ');
    throw Error({name, std::max<unsigned>(1, error.source().begin.line)}, "", problem);
  }
}

Document Document::read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  // One byte over the limit, so that parse() rejects a larger file.
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (!file && !file.eof())) throw Error({path, std::nullopt}, "", "cannot be read");
  text.resize(static_cast<std::size_t>(file.gcount()));
  return parse(text, path);
}

}  // namespace ivypost::configuration
