// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Maps the platform's settings, by name and unit, to balancer::Settings; no other file does.
#ifndef IVYPOST_SETTINGS_SITE_H_
#define IVYPOST_SETTINGS_SITE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ivypost/balancer.h"
#include "settings/line.h"

namespace ivypost::settings {

/// Names with their numbers from 0; the decision module identifies them by number.
using Numbering = std::map<std::string, std::uint32_t, std::less<>>;

/// The number of a name. Throws FormatError if the settings don't have it; `what` is the kind of name for the
/// message.
[[nodiscard]] std::uint32_t lookUp(const Numbering& names, std::string_view what, std::string_view name);

/// The id of a name in messages between sidecars: its FNV-1a hash, since std::hash may differ between builds.
[[nodiscard]] std::uint64_t identity(std::string_view name);

/// The settings of one sidecar, with the names and load report columns that its messages use.
struct Site {
  balancer::Settings settings;  ///< Times in microseconds, fractions of 1.
  Numbering classes;            ///< Request classes; at least one.
  Numbering tenants;            ///< May be empty.
  Numbering zones;              ///< May be empty: then all endpoints are in zone 0.
  Numbering kinds;              ///< Machine types of upstreams; may be empty.
  /// Columns of a load report, in its order; none: an unknown column, whose values are ignored.
  std::vector<std::optional<balancer::ReportColumn>> columns;
  /// Invalid settings and the values used instead, one line each, for the program's log.
  std::vector<std::string> remarks;
};

/// Reads the settings from a line. Unknown keys are ignored; missing keys have a default, except the required
/// keys of the classes. Throws FormatError for the first value that is malformed or out of range.
[[nodiscard]] Site readSite(const Line& create);

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_SITE_H_
