// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Sheets: lists of upstreams that the simulator writes once and refers to from many registry messages.
#ifndef IVYPOST_SIMULATOR_SHEET_H_
#define IVYPOST_SIMULATOR_SHEET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ivypost/balancer.h"
#include "settings/line.h"

namespace ivypost::simulator {

/// One upstream of a sheet. Its names are the wire's, since each instance numbers them for itself.
struct SheetEntry {
  std::string upstream;               ///< Its address, not empty.
  std::string zone;                   ///< Empty: the first.
  std::string kind;                   ///< Of its machine; empty: the first.
  std::optional<std::uint32_t> cell;  ///< The group that fails together; none: unknown.
  balancer::EndpointState state = balancer::EndpointState::Serving;  ///< What the list says of it.
  double size = 1;                                                   ///< Relative capacity, not negative.
  balancer::Micros launchedAt = 0;  ///< By the simulator's clock; 0: unknown.
};

/// The upstreams of one sheet, in its order.
using Sheet = std::vector<SheetEntry>;

/// Reads an `entry` line. Throws settings::FormatError for one that is none, or has a value out of range.
SheetEntry parseSheetEntry(const settings::Line& line);

}  // namespace ivypost::simulator

#endif  // IVYPOST_SIMULATOR_SHEET_H_
