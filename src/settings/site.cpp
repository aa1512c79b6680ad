// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "settings/site.h"

#include <algorithm>
#include <cstddef>

#include "settings/format_error.h"
#include "settings/load_report_column.h"
#include "util/fnv1a.h"

namespace ivypost::settings {
namespace {

constexpr std::int64_t kMaxClasses = 10'000;
constexpr std::int64_t kMaxTenants = 1'000'000;
constexpr std::int64_t kMaxSidecars = 1'000'000;
constexpr std::int64_t kMaxAttempts = 1'000'000;

Numbering readNumbering(const Line& line, std::string_view key) {
  Numbering names;
  for (const std::string_view name : split(line.find(key).value_or(""), ',')) {
    names.emplace(name, static_cast<std::uint32_t>(names.size()));
  }
  return names;
}

balancer::Semantics toSemantics(std::string_view value) {
  if (value == "free") return balancer::Semantics::Idempotent;
  if (value == "guarded") return balancer::Semantics::Keyed;
  if (value == "single_shot") return balancer::Semantics::Unsafe;
  throwFormatError("unknown semantics", value);
}

balancer::RetryGroup toGroup(std::string_view value) {
  if (value == "all") return balancer::RetryGroup::All;
  if (value == "zone") return balancer::RetryGroup::Zone;
  if (value == "cell") return balancer::RetryGroup::Cell;
  throwFormatError("unknown repeat group", value);
}

balancer::ReportSource toReportSource(std::string_view value) {
  if (value == "answers") return balancer::ReportSource::Answers;
  if (value == "probe") return balancer::ReportSource::Probes;
  return balancer::ReportSource::None;
}

std::uint32_t toCount(const Line& line, std::string_view key, std::int64_t max, std::int64_t absent) {
  return static_cast<std::uint32_t>(line.integer(key, 0, max, absent));
}

// Reads an optional time in microseconds; 0 if the key is missing.
balancer::Micros toTime(const Line& line, std::string_view key) {
  return line.integer(key, 0, kMaxTime, 0);
}

balancer::RequestClass readClass(const Line& line, const std::string& prefix) {
  balancer::RequestClass c;
  c.latencyObjective = line.integer(prefix + "aim", 1, kMaxTime);
  c.objectiveStretch = line.number(prefix + "aimStretch", 0);
  c.deadline = line.integer(prefix + "deadline", 1, kMaxTime);
  c.semantics = toSemantics(line.text(prefix + "semantics"));
  c.group = toGroup(line.find(prefix + "group").value_or("all"));
  c.retryWindow = toTime(line, prefix + "repeatWindow");
  c.lateWeight = line.number(prefix + "lateWorth", 0);
  c.weight = line.number(prefix + "value", 1);
  c.stream = line.flag(prefix + "stream");
  return c;
}

void readClasses(const Line& line, Site& site) {
  const std::int64_t count = line.integer("classes.count", 1, kMaxClasses);
  for (std::int64_t n = 0; n < count; ++n) {
    const std::string prefix = "classes." + std::to_string(n) + ".";
    const balancer::RequestClass requestClass = readClass(line, prefix);
    site.classes.emplace(line.text(prefix + "name"), static_cast<std::uint32_t>(n));
    site.settings.classes.push_back(requestClass);
  }
}

void readTenants(const Line& line, Site& site) {
  const std::int64_t count = line.integer("projects.count", 0, kMaxTenants, 0);
  for (std::int64_t n = 0; n < count; ++n) {
    const std::string prefix = "projects." + std::to_string(n) + ".";
    site.settings.tenants.push_back({line.number(prefix + "quotaPerS", 0), line.number(prefix + "share", 0)});
    site.tenants.emplace(line.text(prefix + "name"), static_cast<std::uint32_t>(n));
  }
}

// Reads the zones and machine types. The balancer gets at least one of each, even if the settings name none.
void readLocality(const Line& line, Site& site) {
  balancer::Settings& settings = site.settings;
  settings.zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, site.zones.size()));
  settings.zone = 0;
  if (!site.zones.empty())
    settings.zone = lookUp(site.zones, "locality", line.find("locality").value_or(site.zones.begin()->first));
  settings.kinds = static_cast<std::uint32_t>(std::max<std::size_t>(1, site.kinds.size()));
}

// Reads the number of sidecars and the index of this one. An invalid value does not prevent the start, since
// both values only determine how the sidecars divide work.
void readSidecarPosition(const Line& line, Site& site) {
  balancer::Settings& settings = site.settings;
  settings.sidecars = toCount(line, "balancers", kMaxSidecars, 1);
  settings.sidecar = toCount(line, "index", kMaxCount, 0);
  if (settings.sidecars == 0) {
    site.remarks.emplace_back("balancers is 0; taken for 1");
    settings.sidecars = 1;
  }
  if (settings.sidecar >= settings.sidecars) {
    site.remarks.push_back("index " + std::to_string(settings.sidecar) + " is not under balancers, " +
                           std::to_string(settings.sidecars) + "; taken for the rest of their division");
  }
}

void readLimits(const Line& line, balancer::Settings& settings) {
  settings.connectTimeout = toTime(line, "limits.connectTimeout");
  settings.idleTimeout = toTime(line, "limits.idleClose");
  settings.maxStreamsPerConnection = toCount(line, "limits.maxStreams", kMaxCount, 0);
  settings.maxAttempts = toCount(line, "limits.maxAttempts", kMaxAttempts, 1);
  settings.maxOpen = toCount(line, "limits.maxOpen", kMaxCount, 0);
  settings.maxRetryAfter = toTime(line, "limits.maxRetryAfter");
  settings.retryAfter = line.flag("limits.retryAfter");
  settings.mayCancel = line.flag("limits.mayCancel");
  settings.mayProbe = line.flag("limits.probing");
  settings.mayHedge = line.flag("limits.secondCopies");
}

void readWeightsAndCosts(const Line& line, balancer::Settings& settings) {
  settings.weightByWork = line.find("worthBy").value_or("request") == "work";
  settings.overShareWeight = line.number("overShareWorth", 1);
  settings.crossZoneCost = line.number("prices.crossZone", 0);
  settings.probeCost = line.number("prices.probe", 0);
  settings.wasteCost = line.number("prices.waste", 0);
}

void readReports(const Line& line, Site& site) {
  site.settings.reportSource = toReportSource(line.find("report.how").value_or("none"));
  for (const std::string_view column : split(line.find("report.columns").value_or(""), ',')) {
    site.columns.push_back(toColumn(column));
    site.settings.reportsBusyRequests |= site.columns.back() == balancer::ReportColumn::BusyRequests;
  }
}

void readContract(const Line& line, balancer::Settings& settings) {
  settings.answerSlack = toTime(line, "contract.answerSlack");
  settings.pollWithin = toTime(line, "contract.askWithin");
  settings.startCapacity = line.number("contract.startCapacity", 1);
  settings.slowStartWindow = toTime(line, "contract.cold");
  settings.drainGrace = toTime(line, "contract.stopSendingWithin");
  settings.fallMultiple = line.number("contract.fallMultiple", 0);
  settings.fallWindow = toTime(line, "contract.fall");
  settings.retryBudgetWindow = toTime(line, "contract.lookBack");
  settings.retryBudgetFloor = line.number("contract.extraFloor", 0);
  settings.retryBudgetRatio = line.number("contract.furtherRatio", 0);
  settings.closeDrainingWithin = toTime(line, "contract.hangUpWithin");
}

}  // namespace

std::uint32_t lookUp(const Numbering& names, std::string_view what, std::string_view name) {
  const auto found = names.find(name);
  if (found == names.end()) throwFormatError(std::string(what) + " is not in the settings:", name);
  return found->second;
}

std::uint64_t identity(std::string_view name) {
  return util::fnv1a(name);
}

// The order of the readers decides which of several errors is reported.
Site readSite(const Line& create) {
  Site site;
  site.zones = readNumbering(create, "zones");
  site.kinds = readNumbering(create, "skus");
  readClasses(create, site);
  readTenants(create, site);
  readLocality(create, site);
  readSidecarPosition(create, site);
  site.settings.mustSubscribe = create.find("membershipMode").value_or("") == "subscribe";
  site.settings.resolution = create.integer("resolution", 1, kMaxTime, site.settings.resolution);
  readLimits(create, site.settings);
  site.settings.hasKeyAffinity = create.flag("familyInfo.warmKeys");
  readWeightsAndCosts(create, site.settings);
  readReports(create, site);
  readContract(create, site.settings);
  return site;
}

}  // namespace ivypost::settings
