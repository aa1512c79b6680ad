// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The simulator's wire: parses its lines into the module's events and prints the module's actions. Decides
// nothing. Each sidecar has a Wire of its own, with its own numbering of upstreams.
#ifndef IVYPOST_SIMULATOR_WIRE_H_
#define IVYPOST_SIMULATOR_WIRE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "settings/format_error.h"
#include "settings/site.h"

namespace ivypost::simulator {

using WireError = settings::FormatError;

// One upstream of a sheet, still in the wire's words.
struct SheetEntry {
  std::string upstream, zone, kind;
  std::optional<std::uint32_t> cell;
  balancer::EndpointState state = balancer::EndpointState::Serving;
  double size = 1;
  balancer::Micros launchedAt = 0;
};
SheetEntry parseSheetEntry(const settings::Line& line);

class Wire {
 public:
  // Reads the settings out of a `create` line.
  explicit Wire(const settings::Line& create);
  const balancer::Settings& settings() const { return site_.settings; }
  std::uint64_t seed() const { return seed_; }

  // The module's event for one line addressed to this instance; none for messages it has no use for.
  // `sheet` is only looked at for registry events.
  std::optional<balancer::Event> parse(const settings::Line& line, const std::vector<SheetEntry>* sheet);
  void print(int instance, const balancer::Action& action, std::string& out) const;

 private:
  balancer::EndpointId intern(const std::string& name);
  balancer::EndpointId known(const settings::Line& line) const;
  std::optional<balancer::LoadReport> report(const settings::Line& line) const;

  settings::Site site_;
  std::uint64_t seed_ = 0;
  std::vector<std::string> upstreams_;
  std::unordered_map<std::string, balancer::EndpointId> ids_;  // looked up only, never iterated
};

}  // namespace ivypost::simulator

#endif  // IVYPOST_SIMULATOR_WIRE_H_
