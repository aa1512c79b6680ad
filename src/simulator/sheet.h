// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Sheets: endpoint lists that the simulator sends once and refers to in many registry messages.
#ifndef IVYPOST_SIMULATOR_SHEET_H_
#define IVYPOST_SIMULATOR_SHEET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ivypost/balancer.h"
#include "settings/line.h"

namespace ivypost::simulator {

/// One upstream of a sheet. Holds names as sent on the wire, not numbers, since each instance has its own
/// numbering.
struct SheetEntry {
  std::string upstream;               ///< Its address, not empty.
  std::string zone;                   ///< Empty: the settings' first zone.
  std::string kind;                   ///< Machine type; empty: the settings' first kind.
  std::optional<std::uint32_t> cell;  ///< The group of upstreams that fail together; none: unknown.
  balancer::EndpointState state = balancer::EndpointState::Serving;  ///< Its state in the list.
  double size = 1;                                                   ///< Relative capacity, not negative.
  balancer::Micros launchedAt = 0;  ///< Start time by the simulator's clock; 0: unknown.
};

/// The upstreams of one sheet, in the order sent.
using Sheet = std::vector<SheetEntry>;

/// Parses an `entry` line. Throws settings::FormatError for any other line, or for a value out of range.
SheetEntry parseSheetEntry(const settings::Line& line);

}  // namespace ivypost::simulator

#endif  // IVYPOST_SIMULATOR_SHEET_H_
