// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
//
// The simulator's wire: parses its lines into the module's events and prints the module's actions. Decides
// nothing. Each sidecar has a Wire of its own, with its own numbering of upstreams.
#ifndef ORCHIDDRUM_WIRE_H_
#define ORCHIDDRUM_WIRE_H_

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "orchiddrum/balancer.h"

namespace orchiddrum::wire {

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line: a name and its name=value pairs. Views point into the line.
class Line {
 public:
  explicit Line(std::string_view text);
  std::string_view name() const { return name_; }
  const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }
  std::optional<std::string_view> find(std::string_view key) const;
  std::string_view text(std::string_view key) const;
  std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high) const;
  std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high, std::int64_t absent) const;
  double number(std::string_view key, double absent) const;
  bool flag(std::string_view key) const;
  RequestId request(std::string_view key) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

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
  const Settings& settings() const { return settings_; }
  std::uint64_t seed() const { return seed_; }

  // The module's event for one line addressed to this instance; none for messages it has no use for.
  // `sheet` is only looked at for registry events.
  std::optional<Event> parse(const Line& line, const std::vector<SheetEntry>* sheet);
  void print(int instance, const Action& action, std::string& out) const;

 private:
  UpstreamId intern(const std::string& name);
  UpstreamId known(const Line& line) const;
  std::optional<LoadReport> report(const Line& line) const;

  Settings settings_;
  std::uint64_t seed_ = 0;
  std::map<std::string, std::uint32_t, std::less<>> classes_, tenants_, zones_, kinds_;
  std::vector<std::optional<ReportColumn>> columns_;
  std::vector<std::string> upstreams_;
  std::unordered_map<std::string, UpstreamId> ids_;  // looked up only, never iterated
};

}  // namespace orchiddrum::wire

#endif  // ORCHIDDRUM_WIRE_H_
