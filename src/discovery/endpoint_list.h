// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ENDPOINT_LIST_H_
#define IVYPOST_DISCOVERY_ENDPOINT_LIST_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/endpoint_address.h"
#include "ivypost/balancer.h"

namespace ivypost::discovery {

/// A span of elapsed time.
using Duration = std::chrono::microseconds;
/// A point in time of this process's monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// A point in time of the wall clock, in milliseconds, the unit of times in endpoint lists.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// An entry of an endpoint list, as received from a discovery source. "Instance" is the platform's term.
struct Instance {
  /// Never empty; unchanged when the endpoint's process restarts.
  std::string id;
  /// Address that requests are sent to; may be absent if `state` is Gone.
  Endpoint address;
  /// Name of the zone, with an underscore in place of each space, comma and line end; empty if the entry
  /// names no zone.
  std::string zone;
  /// Name of the machine type, with the same replacements; empty if the entry names none.
  std::string kind;
  /// Number of the cell; none if the entry has no cell.
  std::optional<std::uint32_t> cell;
  /// State given by the entry's lifecycle.
  balancer::EndpointState state = balancer::EndpointState::Serving;
  /// Relative capacity, 0 to 1,000,000.
  double weight = 1;
  /// When the endpoint's process started, not before 1970; 0 if the process started long ago or its start is
  /// not known.
  WallTime startedAt{};

  /// Equal if all members are equal.
  bool operator==(const Instance&) const = default;
};

/// A list from a source: either all endpoints, or those that have changed.
struct EndpointList {
  std::int64_t generation = 0;  ///< version of the list, counted by the source
  bool isComplete =
      false;  ///< instances that are missing have been removed; otherwise the list holds only changes
  std::vector<Instance>
      instances;  ///< each id once if the list is complete; among changes, the last entry of an id applies
  /// The time until which the source's previous list is known to have been current. None if there was no
  /// previous list.
  std::optional<TimePoint> previousUntil = std::nullopt;
};

// The functions below throw settings::FormatError with a one-line message for the log.

/// Parses the JSON text of a list in the format of the platform's discovery: an object with `generation`,
/// `reset` (whether the list is complete) and `instances`.
///
/// Also throws for a complete list that names an instance twice, since nothing says which of the two
/// entries applies.
[[nodiscard]] EndpointList parseEndpointList(std::string_view text);

/// Converts a list that is already parsed. May also throw nlohmann::json::exception, for a member that is
/// missing or of another type.
[[nodiscard]] EndpointList toEndpointList(const nlohmann::json& object);

/// Converts one entry of such a list. Members: `instanceId`, `lifecycle` ("up", "draining", "removed"),
/// `hostPort` (may be missing for a removed instance); optional `zone`, `machineType`, `cell`, `weight` (1
/// if missing), `startedAtMs` (0 if missing). Other members are ignored. May also throw
/// nlohmann::json::exception.
[[nodiscard]] Instance toInstance(const nlohmann::json& item);

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_ENDPOINT_LIST_H_
