// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/error.h"

#include <utility>

namespace ivypost::configuration {
namespace {

std::string lineOf(const Location& location, const std::string& key, const std::string& problem,
                   const std::string& mend) {
  std::string line = location.file;
  if (location.line) line.append(":").append(std::to_string(*location.line));
  line.append(": ");
  if (!key.empty()) line.append(key).append(": ");
  line.append(problem);
  if (!mend.empty()) line.append("; ").append(mend);
  return line;
}

}  // namespace

Error::Error(Location location, std::string key, std::string problem, std::string mend)
    : std::runtime_error(lineOf(location, key, problem, mend)),
      location_(std::move(location)),
      key_(std::move(key)),
      problem_(std::move(problem)),
      mend_(std::move(mend)) {}

}  // namespace ivypost::configuration
