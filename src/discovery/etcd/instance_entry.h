// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_INSTANCE_ENTRY_H_
#define IVYPOST_DISCOVERY_ETCD_INSTANCE_ENTRY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/endpoint_list.h"

namespace ivypost::discovery::etcd {

// Format of keys and values: the key <prefix>/<service>/<instanceId> holds the JSON of an instance, in the
// format of the platform's discovery. The key determines the id; an `instanceId` in the value must be equal
// to it.

/// Maximum size of an id in bytes. A key with a longer id names no instance.
constexpr std::size_t kMaxId = 256;
/// Maximum size of a value in bytes. A longer value is rejected.
constexpr std::size_t kMaxValue = 64UL * 1024;

/// Returns the instance id that a key names. None if the key does not begin with this prefix, or if the
/// rest is not a valid id (empty, with a '/', with control characters, longer than kMaxId).
[[nodiscard]] std::optional<std::string> instanceIdOf(std::string_view prefix, std::string_view key);

/// Parses the value of the key that names `id`.
///
/// Throws settings::FormatError, with a one-line message, for a value that is not JSON, is too long, or is
/// not an instance. The lifecycle "removed" is also rejected: an instance is removed by deleting its key.
[[nodiscard]] discovery::Instance parseInstance(std::string_view id, std::string_view value);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_INSTANCE_ENTRY_H_
