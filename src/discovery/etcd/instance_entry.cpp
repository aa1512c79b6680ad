// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/instance_entry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "settings/format_error.h"

namespace ivypost::discovery::etcd {
namespace {

using settings::throwFormatError;

bool isForbidden(char one) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7f;
  return one == '/' || static_cast<unsigned char>(one) < kFirstPrintable || one == kDelete;
}

}  // namespace

std::optional<std::string> instanceIdOf(std::string_view prefix, std::string_view key) {
  if (key.substr(0, prefix.size()) != prefix) return std::nullopt;
  const std::string_view id = key.substr(prefix.size());
  if (id.empty() || id.size() > kMaxId || std::any_of(id.begin(), id.end(), isForbidden)) return std::nullopt;
  return std::string(id);
}

discovery::Instance parseInstance(std::string_view id, std::string_view value) {
  if (value.size() > kMaxValue)
    throwFormatError("the value is too long, bytes:", std::to_string(value.size()));
  try {
    nlohmann::json item = nlohmann::json::parse(value);
    if (!item.is_object()) throwFormatError("the value is no object but", item.type_name());
    if (!item.contains("instanceId")) item["instanceId"] = std::string(id);
    discovery::Instance instance = discovery::toInstance(item);
    if (instance.id != id) throwFormatError("the value names another instance:", instance.id);
    if (instance.state == balancer::EndpointState::Gone)
      throwFormatError("a key can't say that it is", "removed");
    return instance;
  } catch (const nlohmann::json::exception& error) {
    throwFormatError("the value is no instance:", error.what());
  }
}

}  // namespace ivypost::discovery::etcd
