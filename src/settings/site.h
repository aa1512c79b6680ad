// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The one place that knows the platform's settings by name and unit.
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

/// Names numbered from 0, as the decision module knows them.
using Numbering = std::map<std::string, std::uint32_t, std::less<>>;

/// The number of a name. Throws FormatError, which says `what` it is, for one that the settings don't have.
[[nodiscard]] std::uint32_t lookUp(const Numbering& names, std::string_view what, std::string_view name);

/// What stands for a name where sidecars tell each other of it: FNV-1a, since std::hash may differ from one
/// build to another.
[[nodiscard]] std::uint64_t identity(std::string_view name);

/// The settings of one sidecar, with the names and columns that its messages use.
struct Site {
  balancer::Settings settings;  ///< Times in microseconds, fractions of 1.
  Numbering classes;            ///< Of requests; at least one.
  Numbering tenants;            ///< May be empty.
  Numbering zones;              ///< May be empty: then all is in zone 0.
  Numbering kinds;              ///< Of upstreams' machines; may be empty.
  /// Of a load report, in its order; none: unknown, its values are passed over.
  std::vector<std::optional<balancer::ReportColumn>> columns;
  /// What the settings say and can't mean, and what is taken instead: a line each, for the program's log.
  std::vector<std::string> remarks;
};

/// Reads the settings out of a line. Keys that are unknown are passed over, those that are missing have a
/// default, but for the classes. Throws FormatError for the first value that can't be read or is out of
/// range.
[[nodiscard]] Site readSite(const Line& create);

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_SITE_H_
