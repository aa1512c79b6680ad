// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_SETTINGS_LOAD_REPORT_COLUMN_H_
#define IVYPOST_SETTINGS_LOAD_REPORT_COLUMN_H_

#include <optional>
#include <string_view>

#include "ivypost/balancer.h"

namespace ivypost::settings {

/// The column of a load report by its name, in the settings' words or in those that upstreams use on sockets;
/// none: unknown, to be passed over.
[[nodiscard]] std::optional<balancer::ReportColumn> toColumn(std::string_view name);

/// Sets a report's value of one column, in that column's unit.
void setColumn(balancer::LoadReport& report, balancer::ReportColumn column, double value);

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_LOAD_REPORT_COLUMN_H_
