// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/credentials.h"

#include <fstream>
#include <iterator>

#include "settings/format_error.h"

namespace ivypost::discovery::etcd {
namespace {

// `key` is the name of the setting, for the message.
std::string readFile(const std::string& path, const char* key) {
  if (path.empty()) return "";
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file || text.empty())
    settings::throwFormatError(std::string(key) + " can't be read or is empty:", path);
  return text;
}

}  // namespace

Credentials readCredentials(const Options& options) {
  Credentials credentials{readFile(options.ca, "ca"), readFile(options.certificate, "certificate"),
                          readFile(options.key, "key"), readFile(options.passwordFile, "password_file")};
  std::string& password = credentials.password;
  while (!password.empty() && (password.back() == '\n' || password.back() == '\r')) password.pop_back();
  return credentials;
}

}  // namespace ivypost::discovery::etcd
