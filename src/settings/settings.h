// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What the simulator's wire and the real sidecar's configuration share: lines of name=value pairs, and the
// one place that knows the settings by name and unit.
#ifndef IVYPOST_SETTINGS_SETTINGS_H_
#define IVYPOST_SETTINGS_SETTINGS_H_

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ivypost/balancer.h"

namespace ivypost::settings {

constexpr std::int64_t kMaxTime = std::int64_t{1} << 53;
constexpr std::int64_t kMaxCount = 1'000'000'000;

struct FormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
[[noreturn]] void bad(std::string_view what, std::string_view value);
double toNumber(std::string_view key, std::string_view value);
std::vector<std::string_view> split(std::string_view list, char separator);

// Names numbered in the order of the settings.
using Numbering = std::map<std::string, std::uint32_t, std::less<>>;
std::uint32_t lookUp(const Numbering& names, std::string_view what, std::string_view name);

// FNV-1a, since std::hash may differ from one sidecar's build to another's.
std::uint64_t identity(std::string_view name);

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
  balancer::RequestId request(std::string_view key) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// The settings of one sidecar, with the names and columns that its messages use.
struct Site {
  balancer::Settings settings;
  Numbering classes, tenants, zones, kinds;
  std::vector<std::optional<balancer::ReportColumn>>
      columns;  // of a load report, in its order; none: unknown
  // What was told and can't be meant, and what is taken instead: a line each, for the program's log.
  std::vector<std::string> remarks;
};
Site readSite(const Line& create);
std::optional<balancer::ReportColumn> toColumn(std::string_view name);
void setColumn(balancer::LoadReport& report, balancer::ReportColumn column, double value);

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_SETTINGS_H_
