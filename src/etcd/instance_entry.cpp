// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd/instance_entry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "settings/settings.h"

namespace ivypost::etcd {

using settings::bad;

std::optional<std::string> instanceIdOf(std::string_view prefix, std::string_view key) {
  if (key.substr(0, prefix.size()) != prefix) return std::nullopt;
  const std::string_view id = key.substr(prefix.size());
  if (id.empty() || id.size() > kMaxId) return std::nullopt;
  const bool odd = std::any_of(id.begin(), id.end(), [](char c) {
    return c == '/' || static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
  return odd ? std::nullopt : std::optional(std::string(id));
}

discovery::Instance parseInstance(const std::string& id, const std::string& value) {
  if (value.size() > kMaxValue) bad("the value is too long, bytes:", std::to_string(value.size()));
  try {
    nlohmann::json item = nlohmann::json::parse(value);
    if (!item.is_object()) bad("the value is no object but", item.type_name());
    if (!item.contains("instanceId")) item["instanceId"] = id;
    discovery::Instance instance = discovery::toInstance(item);
    if (instance.id != id) bad("the value names another instance:", instance.id);
    if (instance.state == balancer::EndpointState::Gone) bad("a key can't say that it is", "removed");
    return instance;
  } catch (const nlohmann::json::exception& error) {
    bad("the value is no instance:", error.what());
  }
}

}  // namespace ivypost::etcd
