// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
//
// The simulator's wire: parses its lines into the module's events and prints the module's actions. Decides
// nothing. Each sidecar has a Wire of its own, with its own numbering of upstreams.
#ifndef ORCHIDDRUM_WIRE_H_
#define ORCHIDDRUM_WIRE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "settings.h"

namespace orchiddrum::wire {

using WireError = FormatError;

// One upstream of a sheet, still in the wire's words.
struct SheetEntry {
  std::string upstream, zone, kind;
  std::optional<std::uint32_t> cell;
  UpstreamState state = UpstreamState::Serving;
  double size = 1;
  Micros launchedAt = 0;
};
SheetEntry parseSheetEntry(const Line& line);

class Wire {
 public:
  // Reads the settings out of a `create` line.
  explicit Wire(const Line& create);
  const Settings& settings() const { return site_.settings; }
  std::uint64_t seed() const { return seed_; }

  // The module's event for one line addressed to this instance; none for messages it has no use for.
  // `sheet` is only looked at for registry events.
  std::optional<Event> parse(const Line& line, const std::vector<SheetEntry>* sheet);
  void print(int instance, const Action& action, std::string& out) const;

 private:
  UpstreamId intern(const std::string& name);
  UpstreamId known(const Line& line) const;
  std::optional<LoadReport> report(const Line& line) const;

  Site site_;
  std::uint64_t seed_ = 0;
  std::vector<std::string> upstreams_;
  std::unordered_map<std::string, UpstreamId> ids_;  // looked up only, never iterated
};

}  // namespace orchiddrum::wire

#endif  // ORCHIDDRUM_WIRE_H_
