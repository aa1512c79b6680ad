// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_INSTANCE_ENTRY_H_
#define IVYPOST_DISCOVERY_ETCD_INSTANCE_ENTRY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/endpoint_list.h"

namespace ivypost::discovery::etcd {

// The form of keys and values: <prefix>/<service>/<instanceId> holds the JSON of an instance, as the
// platform's discovery has it. The id is the key's; a value that names one has to name the same.

/// Of an id, in bytes. A key with a longer one names no instance.
constexpr std::size_t kMaxId = 256;
/// Of a value, in bytes. A longer one names no instance.
constexpr std::size_t kMaxValue = 64UL * 1024;

/// The id that a key names. None: the key has not this prefix, or what follows is no id (empty, with a '/',
/// with control characters, over kMaxId).
[[nodiscard]] std::optional<std::string> instanceIdOf(std::string_view prefix, std::string_view key);

/// Reads the value of the key that names `id`.
///
/// Throws settings::FormatError with one line for a value that is no JSON, too long, or no instance (also one
/// whose lifecycle is "removed": an instance that has gone is a key that has gone).
[[nodiscard]] discovery::Instance parseInstance(std::string_view id, std::string_view value);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_INSTANCE_ENTRY_H_
