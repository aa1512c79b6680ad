// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_SETTINGS_LOAD_REPORT_COLUMN_H_
#define IVYPOST_SETTINGS_LOAD_REPORT_COLUMN_H_

#include <optional>
#include <string_view>

#include "ivypost/balancer.h"

namespace ivypost::settings {

/// The column of a load report by its name in the settings or by its name in load reports of upstreams.
/// Returns none for an unknown name, whose values are to be ignored.
[[nodiscard]] std::optional<balancer::ReportColumn> toColumn(std::string_view name);

/// Sets the value of one column of a report, in that column's unit.
void setColumn(balancer::LoadReport& report, balancer::ReportColumn column, double value);

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_LOAD_REPORT_COLUMN_H_
