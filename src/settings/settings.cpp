// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "util/fnv1a.h"

namespace ivypost::settings {

void bad(std::string_view what, std::string_view value) {
  throw FormatError(std::string(what) + " '" + std::string(value.substr(0, 80)) + "'");
}

double toNumber(std::string_view key, std::string_view value) {
  double result = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
  if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(result)) {
    bad(std::string(key) + " is no number:", value);
  }
  return result;
}

std::vector<std::string_view> split(std::string_view list, char separator) {
  std::vector<std::string_view> parts;
  while (!list.empty()) {
    const std::size_t at = list.find(separator);
    parts.push_back(list.substr(0, at));
    if (at == std::string_view::npos) break;
    list.remove_prefix(at + 1);
  }
  return parts;
}

std::uint32_t lookUp(const Numbering& names, std::string_view what, std::string_view name) {
  const auto found = names.find(name);
  if (found == names.end()) bad(std::string(what) + " is not in the settings:", name);
  return found->second;
}

std::uint64_t identity(std::string_view name) {
  return ivypost::util::fnv1a(name);
}

namespace {

std::int64_t toInteger(std::string_view key, std::string_view value, std::int64_t low, std::int64_t high) {
  std::int64_t result = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
  if (error != std::errc() || end != value.data() + value.size())
    bad(std::string(key) + " is no integer:", value);
  if (result < low || result > high) bad(std::string(key) + " is out of range:", value);
  return result;
}

bool toFlag(std::string_view key, std::string_view value) {
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  bad(std::string(key) + " is no bool:", value);
}

Numbering numbered(const Line& line, std::string_view key) {
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
  bad("unknown semantics", value);
}

balancer::RetryGroup toGroup(std::string_view value) {
  if (value == "all") return balancer::RetryGroup::All;
  if (value == "zone") return balancer::RetryGroup::Zone;
  if (value == "cell") return balancer::RetryGroup::Cell;
  bad("unknown repeat group", value);
}

}  // namespace

Line::Line(std::string_view text) {
  const std::size_t head = text.find(' ');
  name_ = text.substr(0, head);
  if (name_.empty() || name_.find('=') != std::string_view::npos) bad("line without a name:", text);
  if (head == std::string_view::npos) return;
  fields_.reserve(12);
  for (std::string_view rest = text.substr(head + 1);;) {
    const std::size_t end = rest.find(' ');
    const std::string_view part = rest.substr(0, end);
    const std::size_t equals = part.find('=');
    if (equals == 0 || equals == std::string_view::npos) bad("not a name=value pair:", part);
    fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
}

std::optional<std::string_view> Line::find(std::string_view key) const {
  for (const auto& [name, value] : fields_) {
    if (name == key) return value;
  }
  return std::nullopt;
}

std::string_view Line::text(std::string_view key) const {
  const auto value = find(key);
  if (!value || value->empty()) bad("missing value:", key);
  return *value;
}

std::int64_t Line::integer(std::string_view key, std::int64_t low, std::int64_t high) const {
  return toInteger(key, text(key), low, high);
}

std::int64_t Line::integer(std::string_view key, std::int64_t low, std::int64_t high,
                           std::int64_t absent) const {
  const auto value = find(key);
  return value ? toInteger(key, *value, low, high) : absent;
}

double Line::number(std::string_view key, double absent) const {
  const auto value = find(key);
  return value ? toNumber(key, *value) : absent;
}

bool Line::flag(std::string_view key) const {
  const auto value = find(key);
  return value && toFlag(key, *value);
}

balancer::RequestId Line::request(std::string_view key) const {
  const std::string_view value = text(key);
  balancer::RequestId id = 0;
  for (const char c : value) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) bad("request id is not lower-case hex:", value);
    id = id << 4 | static_cast<balancer::RequestId>(c <= '9' ? c - '0' : c - 'a' + 10);
  }
  if (value.size() != 16) bad("request id has not 16 digits:", value);
  return id;
}

Site readSite(const Line& create) {
  Site site;
  site.zones = numbered(create, "zones");
  site.kinds = numbered(create, "skus");
  balancer::Settings& s = site.settings;
  const std::int64_t classes = create.integer("classes.count", 1, 10'000);
  for (std::int64_t n = 0; n < classes; ++n) {
    const std::string at = "classes." + std::to_string(n) + ".";
    balancer::RequestClass c;
    c.latencyObjective = create.integer(at + "aim", 1, kMaxTime);
    c.objectiveStretch = create.number(at + "aimStretch", 0);
    c.deadline = create.integer(at + "deadline", 1, kMaxTime);
    c.semantics = toSemantics(create.text(at + "semantics"));
    c.group = toGroup(create.find(at + "group").value_or("all"));
    c.retryWindow = create.integer(at + "repeatWindow", 0, kMaxTime, 0);
    c.lateWeight = create.number(at + "lateWorth", 0);
    c.value = create.number(at + "value", 1);
    c.stream = create.flag(at + "stream");
    site.classes.emplace(create.text(at + "name"), static_cast<std::uint32_t>(n));
    s.classes.push_back(c);
  }
  const std::int64_t tenants = create.integer("projects.count", 0, 1'000'000, 0);
  for (std::int64_t n = 0; n < tenants; ++n) {
    const std::string at = "projects." + std::to_string(n) + ".";
    s.tenants.push_back({create.number(at + "quotaPerS", 0), create.number(at + "share", 0)});
    site.tenants.emplace(create.text(at + "name"), static_cast<std::uint32_t>(n));
  }
  s.zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, site.zones.size()));
  s.zone = site.zones.empty()
               ? 0
               : lookUp(site.zones, "locality", create.find("locality").value_or(site.zones.begin()->first));
  s.kinds = static_cast<std::uint32_t>(std::max<std::size_t>(1, site.kinds.size()));
  // Neither is worth a sidecar that doesn't start: they only tell how the fleet divides what it does.
  s.sidecars = static_cast<std::uint32_t>(create.integer("balancers", 0, 1'000'000, 1));
  s.sidecar = static_cast<std::uint32_t>(create.integer("index", 0, 1'000'000'000, 0));
  if (s.sidecars == 0) {
    site.remarks.emplace_back("balancers is 0; taken for 1");
    s.sidecars = 1;
  }
  if (s.sidecar >= s.sidecars) {
    site.remarks.push_back("index " + std::to_string(s.sidecar) + " is not under balancers, " +
                           std::to_string(s.sidecars) + "; taken for the rest of their division");
  }
  s.mustSubscribe = create.find("membershipMode").value_or("") == "subscribe";
  s.resolution = create.integer("resolution", 1, kMaxTime, s.resolution);
  s.connectTimeout = create.integer("limits.connectTimeout", 0, kMaxTime, 0);
  s.idleTimeout = create.integer("limits.idleClose", 0, kMaxTime, 0);
  s.maxStreamsPerConnection =
      static_cast<std::uint32_t>(create.integer("limits.maxStreams", 0, kMaxCount, 0));
  s.maxAttempts = static_cast<std::uint32_t>(create.integer("limits.maxAttempts", 0, 1'000'000, 1));
  s.maxOpen = static_cast<std::uint32_t>(create.integer("limits.maxOpen", 0, kMaxCount, 0));
  s.maxRetryAfter = create.integer("limits.maxRetryAfter", 0, kMaxTime, 0);
  s.retryAfter = create.flag("limits.retryAfter");
  s.mayCancel = create.flag("limits.mayCancel");
  s.mayProbe = create.flag("limits.probing");
  s.mayHedge = create.flag("limits.secondCopies");
  s.hasKeyAffinity = create.flag("familyInfo.warmKeys");
  s.weightByWork = create.find("worthBy").value_or("request") == "work";
  s.overShareWeight = create.number("overShareWorth", 1);
  s.crossZonePrice = create.number("prices.crossZone", 0);
  s.probePrice = create.number("prices.probe", 0);
  s.wastePrice = create.number("prices.waste", 0);
  const std::string_view how = create.find("report.how").value_or("none");
  s.reports = how == "answers" ? balancer::ReportSource::Answers
              : how == "probe" ? balancer::ReportSource::Probes
                               : balancer::ReportSource::None;
  for (const std::string_view column : split(create.find("report.columns").value_or(""), ',')) {
    site.columns.push_back(toColumn(column));
    s.reportsBusy |= site.columns.back() == balancer::ReportColumn::BusyRequests;
  }
  s.answerSlack = create.integer("contract.answerSlack", 0, kMaxTime, 0);
  s.pollWithin = create.integer("contract.askWithin", 0, kMaxTime, 0);
  s.startCapacity = create.number("contract.startCapacity", 1);
  s.slowStartWindow = create.integer("contract.cold", 0, kMaxTime, 0);
  s.drainGrace = create.integer("contract.stopSendingWithin", 0, kMaxTime, 0);
  s.fallMultiple = create.number("contract.fallMultiple", 0);
  s.fallWindow = create.integer("contract.fall", 0, kMaxTime, 0);
  s.retryBudgetWindow = create.integer("contract.lookBack", 0, kMaxTime, 0);
  s.retryBudgetFloor = create.number("contract.extraFloor", 0);
  s.retryBudgetRatio = create.number("contract.furtherRatio", 0);
  s.closeDrainingWithin = create.integer("contract.hangUpWithin", 0, kMaxTime, 0);
  return site;
}

// The settings' words first, then those that upstreams use on sockets.
std::optional<balancer::ReportColumn> toColumn(std::string_view name) {
  if (name == "busy_reqs" || name == "inflight") return balancer::ReportColumn::BusyRequests;
  if (name == "pending" || name == "queue") return balancer::ReportColumn::Queued;
  if (name == "cpu_share" || name == "util") return balancer::ReportColumn::CpuShare;
  if (name == "svc_ms" || name == "latency_ms") return balancer::ReportColumn::ServiceMillis;
  if (name == "served_ps" || name == "qps") return balancer::ReportColumn::ServedPerSecond;
  if (name == "failed_ps" || name == "eps") return balancer::ReportColumn::FailedPerSecond;
  return std::nullopt;
}

void setColumn(balancer::LoadReport& report, balancer::ReportColumn column, double value) {
  switch (column) {
    case balancer::ReportColumn::BusyRequests:
      report.busyRequests = value;
      break;
    case balancer::ReportColumn::Queued:
      report.queued = value;
      break;
    case balancer::ReportColumn::CpuShare:
      report.cpuShare = value;
      break;
    case balancer::ReportColumn::ServiceMillis:
      report.serviceMillis = value;
      break;
    case balancer::ReportColumn::ServedPerSecond:
      report.servedPerSecond = value;
      break;
    case balancer::ReportColumn::FailedPerSecond:
      report.failedPerSecond = value;
      break;
  }
}

}  // namespace ivypost::settings
