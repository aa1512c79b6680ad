// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/endpoint_list.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "settings/format_error.h"
#include "settings/line.h"

namespace ivypost::discovery {
namespace {

using balancer::EndpointState;
using nlohmann::json;
using settings::throwFormatError;

// The largest weight of an endpoint: far above any sensible weight, and far below the values at which sums of
// weights lose precision.
constexpr double kMaxWeight = 1e6;
// The latest start of a process, in milliseconds; settings::kMaxTime is the same bound in microseconds.
constexpr std::int64_t kMaxStart = settings::kMaxTime / 1000;

// The settings name zones and machine types in a line of name=value pairs, in which a space ends a pair and
// a comma separates names.
std::string withoutSeparators(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](char one) { return one == ' ' || one == ',' || one == '\n'; }, '_');
  return name;
}

EndpointState toState(const std::string& lifecycle) {
  if (lifecycle == "up") return EndpointState::Serving;
  if (lifecycle == "draining") return EndpointState::Draining;
  if (lifecycle == "removed") return EndpointState::Gone;
  throwFormatError("unknown lifecycle", lifecycle);
}

double weightOf(const json& item) {
  const double weight = item.value("weight", 1.0);
  if (!std::isfinite(weight) || weight < 0 || weight > kMaxWeight)
    throwFormatError("weight is out of range:", item["weight"].dump());
  return weight;
}

WallTime startOf(const json& item) {
  const std::int64_t unixMillis = item.value("startedAtMs", std::int64_t{0});
  if (unixMillis < 0 || unixMillis > kMaxStart)
    throwFormatError("startedAtMs is out of range:", item["startedAtMs"].dump());
  return WallTime(std::chrono::milliseconds(unixMillis));
}

}  // namespace

Instance toInstance(const json& item) {
  Instance instance;
  instance.id = item.at("instanceId").get<std::string>();
  if (instance.id.empty()) throwFormatError("an instance without", "instanceId");
  instance.zone = withoutSeparators(item.value("zone", ""));
  instance.kind = withoutSeparators(item.value("machineType", ""));
  if (item.contains("cell") && !item["cell"].is_null()) instance.cell = item["cell"].get<std::uint32_t>();
  instance.state = toState(item.at("lifecycle").get<std::string>());
  // A removed instance does not need an address.
  if (instance.state != EndpointState::Gone || item.contains("hostPort"))
    instance.address = parseEndpoint(item.at("hostPort").get<std::string>());
  instance.weight = weightOf(item);
  instance.startedAt = startOf(item);
  return instance;
}

EndpointList toEndpointList(const json& object) {
  EndpointList list;
  list.generation = object.at("generation").get<std::int64_t>();
  list.isComplete = object.at("reset").get<bool>();
  std::set<std::string_view> ids;
  list.instances.reserve(object.at("instances").size());
  for (const json& item : object.at("instances")) {
    list.instances.push_back(toInstance(item));
    const std::string& id = list.instances.back().id;
    if (list.isComplete && !ids.insert(id).second)
      throwFormatError("the whole list names an instance twice:", id);
  }
  return list;
}

EndpointList parseEndpointList(std::string_view text) {
  try {
    return toEndpointList(json::parse(text));
  } catch (const json::parse_error& error) {
    throwFormatError("not JSON:", error.what());
  } catch (const json::exception& error) {
    throwFormatError("not a list of instances:", error.what());
  }
}

}  // namespace ivypost::discovery
