// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Parses the load reports of upstreams, which are received in a header of their answers or as the answer to
/// a probe.
#ifndef IVYPOST_UPSTREAM_LOAD_REPORT_PARSER_H_
#define IVYPOST_UPSTREAM_LOAD_REPORT_PARSER_H_

#include <optional>
#include <string_view>

#include "ivypost/balancer.h"

namespace ivypost {

/// The largest valid value; a larger one indicates an error of the sender.
constexpr double kMaxLoadValue = 1e9;

/// Parses a report such as `TEXT inflight=7, queue=2`.
///
/// Entries are separated by commas, spaces or both. Entries that are not `name=value` with a known name are
/// skipped.
/// \return the known values; none if there is no known value, or if any known value is not a number, is
///     negative or above kMaxLoadValue: one invalid value invalidates the whole report.
[[nodiscard]] std::optional<balancer::LoadReport> parseLoadReport(std::string_view text);

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_LOAD_REPORT_PARSER_H_
