// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Reads the load reports of upstreams, which come in a header of their answers and as the answer to a probe.
#ifndef IVYPOST_UPSTREAM_LOAD_REPORT_PARSER_H_
#define IVYPOST_UPSTREAM_LOAD_REPORT_PARSER_H_

#include <optional>
#include <string_view>

#include "ivypost/balancer.h"

namespace ivypost {

/// The largest value that is believed: a larger one is a mistake of its sender's.
constexpr double kMaxLoadValue = 1e9;

/// Parses a report such as `TEXT inflight=7, queue=2`.
///
/// Entries are separated by commas, spaces or both. What is not `name=value` with a known name is skipped.
/// \return the known values; none if there is no known one, or if any of them is no number, negative or above
///     kMaxLoadValue: a report that is wrong in one place is not believed in the others.
[[nodiscard]] std::optional<balancer::LoadReport> parseLoadReport(std::string_view text);

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_LOAD_REPORT_PARSER_H_
