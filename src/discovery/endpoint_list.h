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
/// A moment by this process's monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Unix time in whole milliseconds, as endpoint lists have it.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// An entry of an endpoint list, as a discovery source has it. "Instance" is the platform's own word.
struct Instance {
  /// Never empty; the same over all restarts of the endpoint's process.
  std::string id;
  /// Where it is reached; may be left out where `state` is Gone.
  Endpoint address;
  /// The zone's name, with an underscore for each space, comma and line end in it; empty: none was named.
  std::string zone;
  /// The machine type's name, likewise.
  std::string kind;
  /// None: the entry names none.
  std::optional<std::uint32_t> cell;
  /// What it is listed as.
  balancer::EndpointState state = balancer::EndpointState::Serving;
  /// Its size beside the others', 0 to 1,000,000.
  double weight = 1;
  /// When its process started, not before 1970; 0: long ago.
  WallTime startedAt{};

  /// Whether all members are the same.
  bool operator==(const Instance&) const = default;
};

/// What a source has to say of the endpoints: all of them, or those that have changed.
struct EndpointList {
  std::int64_t generation = 0;  ///< its version, by the source's own count
  bool isComplete = false;      ///< whoever is missing has gone; else it holds only what changed
  std::vector<Instance>
      instances;  ///< each id once where the list is complete; of changes the later one holds
  /// Until when the source's list before this one is known to have been current. None: there was none.
  std::optional<TimePoint> previousUntil = std::nullopt;
};

// The functions below throw settings::FormatError with a message for one line of the log.

/// Reads the JSON text of a list in the form of the platform's discovery: an object with `generation`,
/// `reset` (whether it is complete) and `instances`.
///
/// Throws also for a complete list that names an instance twice: which of the two holds, nobody knows.
[[nodiscard]] EndpointList parseEndpointList(std::string_view text);

/// The same for JSON that is parsed already. May also throw nlohmann::json::exception, for a member that is
/// missing or of another type.
[[nodiscard]] EndpointList toEndpointList(const nlohmann::json& object);

/// One entry of such a list. Members: `instanceId`, `lifecycle` ("up", "draining", "removed"), `hostPort`
/// (may be missing for one that is removed); optional `zone`, `machineType`, `cell`, `weight` (1 if missing),
/// `startedAtMs` (0 if missing). Others are left alone. May also throw nlohmann::json::exception.
[[nodiscard]] Instance toInstance(const nlohmann::json& item);

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_ENDPOINT_LIST_H_
