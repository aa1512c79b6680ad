// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The form of keys and values: <prefix>/<service>/<instanceId> holds the JSON of an instance, as the
// platform's discovery has it. The id is the key's; a value that names one has to name the same.
#ifndef IVYPOST_ETCD_INSTANCE_ENTRY_H_
#define IVYPOST_ETCD_INSTANCE_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>

#include "discovery/endpoint_list.h"

namespace ivypost::etcd {

constexpr std::size_t kMaxId = 256;             // bytes
constexpr std::size_t kMaxValue = 64UL * 1024;  // bytes

// The id that a key names; none: the key has not this prefix, or what follows is no id (empty, with a '/',
// with control characters, over kMaxId).
std::optional<std::string> instanceIdOf(std::string_view prefix, std::string_view key);

// Throws settings::FormatError with one line for a value that is no JSON, too long, or no instance (also
// one whose lifecycle is "removed": an instance that has gone is a key that has gone).
discovery::Instance parseInstance(const std::string& id, const std::string& value);

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_INSTANCE_ENTRY_H_
