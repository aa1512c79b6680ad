// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/endpoint_list.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

#include "settings/settings.h"

namespace ivypost {
namespace {

using nlohmann::json;
using settings::bad;

constexpr double kMaxWeight = 1e6;

// The settings name zones and kinds in a line of name=value pairs, where a space would end them and a comma
// part them.
std::string word(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\n'; }, '_');
  return text;
}

}  // namespace

Instance toInstance(const json& item) {
  Instance instance;
  instance.id = item.at("instanceId").get<std::string>();
  if (instance.id.empty()) bad("an instance without", "instanceId");
  instance.zone = word(item.value("zone", ""));
  instance.kind = word(item.value("machineType", ""));
  if (item.contains("cell") && !item["cell"].is_null()) instance.cell = item["cell"].get<std::uint32_t>();
  const auto state = item.at("lifecycle").get<std::string>();
  if (state == "up") {
    instance.state = balancer::EndpointState::Serving;
  } else if (state == "draining") {
    instance.state = balancer::EndpointState::Draining;
  } else if (state == "removed") {
    instance.state = balancer::EndpointState::Gone;
  } else {
    bad("unknown lifecycle", state);
  }
  // One that is removed has no use for an address.
  if (instance.state != balancer::EndpointState::Gone || item.contains("hostPort"))
    instance.address = parseEndpoint(item.at("hostPort").get<std::string>());
  instance.weight = item.value("weight", 1.0);
  if (!std::isfinite(instance.weight) || instance.weight < 0 || instance.weight > kMaxWeight)
    bad("weight is out of range:", item["weight"].dump());
  instance.startedAtMs = item.value("startedAtMs", std::int64_t{0});
  if (instance.startedAtMs < 0 || instance.startedAtMs > settings::kMaxTime / 1000)
    bad("startedAtMs is out of range:", item["startedAtMs"].dump());
  return instance;
}

// Throws for a whole list that names an instance twice: which of the two holds, nobody knows. Among changes
// the later one does.
EndpointList toEndpointList(const json& object) {
  EndpointList list;
  list.generation = object.at("generation").get<std::int64_t>();
  list.isComplete = object.at("reset").get<bool>();
  std::set<std::string_view> named;
  list.instances.reserve(object.at("instances").size());
  for (const json& item : object.at("instances")) {
    list.instances.push_back(toInstance(item));
    const std::string& id = list.instances.back().id;
    if (list.isComplete && !named.insert(id).second) bad("the whole list names an instance twice:", id);
  }
  return list;
}

Endpoint parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) bad("not an address and port:", text);
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, failure] = std::from_chars(text.data() + colon + 1, last, port);
  if (error || failure != std::errc() || end != last) bad("not an address and port:", text);
  return {address, port};
}

EndpointList parseEndpointList(const std::string& text) {
  try {
    return toEndpointList(json::parse(text));
  } catch (const json::parse_error& error) {
    bad("not JSON:", error.what());
  } catch (const json::exception& error) {
    bad("not a list of instances:", error.what());
  }
}

}  // namespace ivypost
