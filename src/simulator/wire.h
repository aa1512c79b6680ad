// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The simulator's wire: parses lines into events of the decision module and prints its actions as lines;
// makes no decisions. The format is an external interface and must not change.
#ifndef IVYPOST_SIMULATOR_WIRE_H_
#define IVYPOST_SIMULATOR_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ivypost/balancer.h"
#include "settings/format_error.h"
#include "settings/site.h"
#include "simulator/sheet.h"

namespace ivypost::simulator {

/// A line is malformed or has an invalid value.
using WireError = settings::FormatError;

/// The wire of one instance, which is one simulated sidecar, with its own numbering of upstreams.
class Wire {
 public:
  /// Reads the settings from a `create` line. Throws WireError.
  explicit Wire(const settings::Line& create);

  /// The settings of the instance.
  [[nodiscard]] const balancer::Settings& settings() const { return site_.settings; }
  /// The seed of the instance's random number generator.
  [[nodiscard]] std::uint64_t seed() const { return seed_; }

  /// Parses a line addressed to this instance into an event; none for a message that the decision module does
  /// not use. `sheet` is the sheet that a registry message refers to; null: no such sheet. Throws WireError.
  /// Assigns numbers to new upstreams of the sheet.
  std::optional<balancer::Event> parse(const settings::Line& line, const Sheet* sheet);

  /// Appends the line of an action, with its line end, to `out`. `instance`: this instance's number on the
  /// wire. Upstream ids in the action must come from events that this object parsed.
  void print(int instance, const balancer::Action& action, std::string& out) const;

 private:
  [[nodiscard]] balancer::NewRequest parseRequest(const settings::Line& line) const;
  [[nodiscard]] balancer::AttemptOutcome parseOutcome(const settings::Line& line) const;
  [[nodiscard]] balancer::ProbeResult parseProbeResult(const settings::Line& line) const;
  balancer::MembershipUpdate parseUpdate(const settings::Line& line, const Sheet* sheet);
  balancer::EndpointEntry toEndpoint(const SheetEntry& entry);
  [[nodiscard]] std::optional<balancer::LoadReport> parseReport(const settings::Line& line) const;

  balancer::EndpointId idOf(const std::string& name);
  [[nodiscard]] balancer::EndpointId knownUpstream(const settings::Line& line) const;

  settings::Site site_;
  std::uint64_t seed_ = 0;
  std::vector<std::string> upstreams_;  // names, indexed by id
  std::unordered_map<std::string, balancer::EndpointId>
      ids_;  // never iterated: its order differs between builds
};

}  // namespace ivypost::simulator

#endif  // IVYPOST_SIMULATOR_WIRE_H_
