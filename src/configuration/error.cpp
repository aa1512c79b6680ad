// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/error.h"

#include <utility>

namespace ivypost::configuration {
namespace {

std::string formatMessage(const Location& location, const std::string& key, const std::string& problem,
                          const std::string& hint) {
  std::string line = location.file;
  if (location.line) line.append(":").append(std::to_string(*location.line));
  line.append(": ");
  if (!key.empty()) line.append(key).append(": ");
  line.append(problem);
  if (!hint.empty()) line.append("; ").append(hint);
  return line;
}

}  // namespace

Error::Error(Location location, std::string key, std::string problem, std::string hint)
    : std::runtime_error(formatMessage(location, key, problem, hint)),
      location_(std::move(location)),
      key_(std::move(key)),
      problem_(std::move(problem)),
      hint_(std::move(hint)) {}

}  // namespace ivypost::configuration
