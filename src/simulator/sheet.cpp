// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "simulator/sheet.h"

#include <string_view>

#include "settings/format_error.h"
#include "settings/line.h"

namespace ivypost::simulator {
namespace {

balancer::EndpointState toEndpointState(std::string_view mode) {
  if (mode == "SERVING") return balancer::EndpointState::Serving;
  if (mode == "DRAINING") return balancer::EndpointState::Draining;
  if (mode == "DELETED") return balancer::EndpointState::Gone;
  settings::throwFormatError("unknown upstream mode", mode);
}

}  // namespace

SheetEntry parseSheetEntry(const settings::Line& line) {
  if (line.name() != "entry") settings::throwFormatError("expected an entry line, got", line.name());
  SheetEntry entry;
  entry.upstream = line.text("upstream");
  entry.zone = line.find("locality").value_or("");
  entry.kind = line.find("hw").value_or("");
  if (line.find("group"))
    entry.cell = static_cast<std::uint32_t>(line.integer("group", 0, settings::kMaxCount));
  entry.state = toEndpointState(line.text("mode"));
  entry.size = line.number("size", 1);
  if (entry.size < 0) settings::throwFormatError("size is negative:", line.text("size"));
  entry.launchedAt = line.integer("launched", 0, settings::kMaxTime, 0);
  return entry;
}

}  // namespace ivypost::simulator
