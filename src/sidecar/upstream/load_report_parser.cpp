// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/load_report_parser.h"

#include <algorithm>
#include <cstddef>
#include <string>

#include "settings/format_error.h"
#include "settings/line.h"
#include "settings/load_report_column.h"

namespace ivypost {

std::optional<balancer::LoadReport> parseLoadReport(std::string_view text) {
  balancer::LoadReport report;
  bool hasValue = false;
  std::string entries(text);
  std::replace(entries.begin(), entries.end(), ',', ' ');
  for (const std::string_view entry : settings::split(entries, ' ')) {
    const std::size_t equals = entry.find('=');
    if (equals == std::string_view::npos) continue;
    const auto column = settings::toColumn(entry.substr(0, equals));
    if (!column) continue;
    try {
      const double value = settings::toNumber("load", entry.substr(equals + 1));
      if (value < 0 || value > kMaxLoadValue) return std::nullopt;
      settings::setColumn(report, *column, value);
      hasValue = true;
    } catch (const settings::FormatError&) {
      return std::nullopt;
    }
  }
  return hasValue ? std::optional(report) : std::nullopt;
}

}  // namespace ivypost
