// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// An upstream as a source of membership names it, and the JSON forms that all sources share.
#ifndef IVYPOST_DISCOVERY_ENDPOINT_LIST_H_
#define IVYPOST_DISCOVERY_ENDPOINT_LIST_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ivypost/balancer.h"

namespace ivypost {

using Endpoint = boost::asio::ip::tcp::endpoint;

struct Instance {
  std::string id;
  Endpoint address;
  std::string zone, kind;
  std::optional<std::uint32_t> cell;
  balancer::EndpointState state = balancer::EndpointState::Serving;
  double weight = 1;
  std::int64_t startedAtMs = 0;  // Unix time; 0: long ago

  bool operator==(const Instance&) const = default;
};

struct EndpointList {
  std::int64_t generation = 0;
  bool isComplete = false;  // not only what changed
  std::vector<Instance> instances;
  // Until when the source's list before this one is known to have been current, by the monotonic clock in
  // microseconds; none: there was none.
  std::optional<std::int64_t> previousUntil = std::nullopt;
};

// All of these throw settings::FormatError with a message for one line of the log; those that take JSON may
// throw nlohmann::json::exception for a member that is missing or of another type.

// The form of the platform's discovery (docs of its protocol, "Discovery").
EndpointList parseEndpointList(const std::string& text);
EndpointList toEndpointList(const nlohmann::json& object);
// One entry of it. `instanceId` is required.
Instance toInstance(const nlohmann::json& item);
// "10.0.0.4:8080" or "[::1]:8080"; no names.
Endpoint parseEndpoint(const std::string& text);

}  // namespace ivypost

#endif  // IVYPOST_DISCOVERY_ENDPOINT_LIST_H_
