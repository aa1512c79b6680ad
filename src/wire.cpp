// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "wire.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace orchiddrum::wire {
namespace {

constexpr std::int64_t kMaxTime = std::int64_t{1} << 53;
constexpr std::int64_t kMaxCount = 1'000'000'000;

[[noreturn]] void bad(std::string_view what, std::string_view value) {
  throw WireError(std::string(what) + " '" + std::string(value.substr(0, 80)) + "'");
}

std::int64_t toInteger(std::string_view key, std::string_view value, std::int64_t low, std::int64_t high) {
  std::int64_t result = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
  if (error != std::errc() || end != value.data() + value.size())
    bad(std::string(key) + " is no integer:", value);
  if (result < low || result > high) bad(std::string(key) + " is out of range:", value);
  return result;
}

double toNumber(std::string_view key, std::string_view value) {
  double result = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
  if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(result)) {
    bad(std::string(key) + " is no number:", value);
  }
  return result;
}

bool toFlag(std::string_view key, std::string_view value) {
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  bad(std::string(key) + " is no bool:", value);
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

std::map<std::string, std::uint32_t, std::less<>> numbered(const Line& line, std::string_view key) {
  std::map<std::string, std::uint32_t, std::less<>> names;
  for (const std::string_view name : split(line.find(key).value_or(""), ',')) {
    names.emplace(name, static_cast<std::uint32_t>(names.size()));
  }
  return names;
}

std::uint32_t lookUp(const std::map<std::string, std::uint32_t, std::less<>>& names, std::string_view what,
                     std::string_view name) {
  const auto found = names.find(name);
  if (found == names.end()) bad(std::string(what) + " is not in the settings:", name);
  return found->second;
}

Semantics toSemantics(std::string_view value) {
  if (value == "free") return Semantics::Idempotent;
  if (value == "guarded") return Semantics::Keyed;
  if (value == "single_shot") return Semantics::Unsafe;
  bad("unknown semantics", value);
}

RepeatGroup toGroup(std::string_view value) {
  if (value == "all") return RepeatGroup::All;
  if (value == "zone") return RepeatGroup::Zone;
  if (value == "cell") return RepeatGroup::Cell;
  bad("unknown repeat group", value);
}

std::optional<ReportColumn> toColumn(std::string_view value) {
  if (value == "busy_reqs") return ReportColumn::BusyRequests;
  if (value == "pending") return ReportColumn::Queued;
  if (value == "cpu_share") return ReportColumn::CpuShare;
  if (value == "svc_ms") return ReportColumn::ServiceMillis;
  if (value == "served_ps") return ReportColumn::ServedPerSecond;
  if (value == "failed_ps") return ReportColumn::FailedPerSecond;
  return std::nullopt;
}

Outcome toOutcome(std::string_view value) {
  if (value == "ok") return Outcome::Ok;
  if (value == "error") return Outcome::Error;
  if (value == "full") return Outcome::Full;
  if (value == "timeout") return Outcome::Timeout;
  if (value == "connect_failed") return Outcome::ConnectFailed;
  if (value == "reset") return Outcome::Reset;
  if (value == "cancelled") return Outcome::Cancelled;
  if (value == "moot") return Outcome::Moot;
  bad("unknown outcome", value);
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

RequestId Line::request(std::string_view key) const {
  const std::string_view value = text(key);
  RequestId id = 0;
  for (const char c : value) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) bad("request id is not lower-case hex:", value);
    id = id << 4 | static_cast<RequestId>(c <= '9' ? c - '0' : c - 'a' + 10);
  }
  if (value.size() != 16) bad("request id has not 16 digits:", value);
  return id;
}

SheetEntry parseSheetEntry(const Line& line) {
  if (line.name() != "entry") bad("expected an entry line, got", line.name());
  SheetEntry entry;
  entry.upstream = line.text("upstream");
  entry.zone = line.find("locality").value_or("");
  entry.kind = line.find("hw").value_or("");
  if (line.find("group")) entry.cell = static_cast<std::uint32_t>(line.integer("group", 0, kMaxCount));
  const std::string_view mode = line.text("mode");
  if (mode == "SERVING") {
    entry.state = UpstreamState::Serving;
  } else if (mode == "DRAINING") {
    entry.state = UpstreamState::Draining;
  } else if (mode == "DELETED") {
    entry.state = UpstreamState::Gone;
  } else {
    bad("unknown upstream mode", mode);
  }
  entry.size = line.number("size", 1);
  if (entry.size < 0) bad("size is negative:", line.text("size"));
  entry.launchedAt = line.integer("launched", 0, kMaxTime, 0);
  return entry;
}

Wire::Wire(const Line& create) {
  seed_ = static_cast<std::uint64_t>(create.integer("entropy", 0, std::numeric_limits<std::int64_t>::max()));
  zones_ = numbered(create, "zones");
  kinds_ = numbered(create, "skus");
  Settings& s = settings_;
  const std::int64_t classes = create.integer("classes.count", 1, 10'000);
  for (std::int64_t n = 0; n < classes; ++n) {
    const std::string at = "classes." + std::to_string(n) + ".";
    RequestClass c;
    c.aim = create.integer(at + "aim", 1, kMaxTime);
    c.aimStretch = create.number(at + "aimStretch", 0);
    c.deadline = create.integer(at + "deadline", 1, kMaxTime);
    c.semantics = toSemantics(create.text(at + "semantics"));
    c.group = toGroup(create.find(at + "group").value_or("all"));
    c.repeatWindow = create.integer(at + "repeatWindow", 0, kMaxTime, 0);
    c.lateWorth = create.number(at + "lateWorth", 0);
    c.value = create.number(at + "value", 1);
    c.stream = create.flag(at + "stream");
    classes_.emplace(create.text(at + "name"), static_cast<std::uint32_t>(n));
    s.classes.push_back(c);
  }
  const std::int64_t tenants = create.integer("projects.count", 0, 1'000'000, 0);
  for (std::int64_t n = 0; n < tenants; ++n) {
    const std::string at = "projects." + std::to_string(n) + ".";
    s.tenants.push_back({create.number(at + "quotaPerS", 0), create.number(at + "share", 0)});
    tenants_.emplace(create.text(at + "name"), static_cast<std::uint32_t>(n));
  }
  s.zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, zones_.size()));
  s.zone = zones_.empty()
               ? 0
               : lookUp(zones_, "locality", create.find("locality").value_or(zones_.begin()->first));
  s.kinds = static_cast<std::uint32_t>(std::max<std::size_t>(1, kinds_.size()));
  s.sidecars = static_cast<std::uint32_t>(create.integer("balancers", 1, 1'000'000, 1));
  s.mustSubscribe = create.find("membershipMode").value_or("") == "subscribe";
  s.resolution = create.integer("resolution", 1, kMaxTime, s.resolution);
  s.connectTimeout = create.integer("limits.connectTimeout", 0, kMaxTime, 0);
  s.idleClose = create.integer("limits.idleClose", 0, kMaxTime, 0);
  s.maxStreams = static_cast<std::uint32_t>(create.integer("limits.maxStreams", 0, kMaxCount, 0));
  s.maxAttempts = static_cast<std::uint32_t>(create.integer("limits.maxAttempts", 0, 1'000'000, 1));
  s.maxOpen = static_cast<std::uint32_t>(create.integer("limits.maxOpen", 0, kMaxCount, 0));
  s.maxRetryAfter = create.integer("limits.maxRetryAfter", 0, kMaxTime, 0);
  s.retryAfter = create.flag("limits.retryAfter");
  s.mayCancel = create.flag("limits.mayCancel");
  s.mayProbe = create.flag("limits.probing");
  s.secondCopies = create.flag("limits.secondCopies");
  s.keysWarm = create.flag("familyInfo.warmKeys");
  s.worthByWork = create.find("worthBy").value_or("request") == "work";
  s.overShareWorth = create.number("overShareWorth", 1);
  s.crossZonePrice = create.number("prices.crossZone", 0);
  s.probePrice = create.number("prices.probe", 0);
  s.wastePrice = create.number("prices.waste", 0);
  const std::string_view how = create.find("report.how").value_or("none");
  s.reports = how == "answers" ? ReportSource::Answers
              : how == "probe" ? ReportSource::Probes
                               : ReportSource::None;
  for (const std::string_view column : split(create.find("report.columns").value_or(""), ',')) {
    columns_.push_back(toColumn(column));
    s.reportsBusy |= columns_.back() == ReportColumn::BusyRequests;
  }
  s.answerSlack = create.integer("contract.answerSlack", 0, kMaxTime, 0);
  s.askWithin = create.integer("contract.askWithin", 0, kMaxTime, 0);
  s.startCapacity = create.number("contract.startCapacity", 1);
  s.coldFor = create.integer("contract.cold", 0, kMaxTime, 0);
  s.drainGrace = create.integer("contract.stopSendingWithin", 0, kMaxTime, 0);
  s.fallMultiple = create.number("contract.fallMultiple", 0);
  s.fallWindow = create.integer("contract.fall", 0, kMaxTime, 0);
  s.lookBack = create.integer("contract.lookBack", 0, kMaxTime, 0);
  s.extraFloor = create.number("contract.extraFloor", 0);
  s.furtherRatio = create.number("contract.furtherRatio", 0);
  s.hangUpWithin = create.integer("contract.hangUpWithin", 0, kMaxTime, 0);
}

// FNV-1a, since std::hash may differ from one sidecar's build to another's.
static std::uint64_t identity(std::string_view name) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return hash;
}

UpstreamId Wire::intern(const std::string& name) {
  const auto [at, fresh] = ids_.emplace(name, static_cast<UpstreamId>(upstreams_.size()));
  if (fresh) upstreams_.push_back(name);
  return at->second;
}

UpstreamId Wire::known(const Line& line) const {
  const std::string name(line.text("upstream"));
  const auto found = ids_.find(name);
  if (found == ids_.end()) bad("upstream was in no list of this instance:", name);
  return found->second;
}

std::optional<LoadReport> Wire::report(const Line& line) const {
  const auto row = line.find("gauge");
  if (!row || row->empty()) return std::nullopt;
  LoadReport report;
  const auto values = split(*row, ',');
  for (std::size_t n = 0; n < values.size() && n < columns_.size(); ++n) {
    if (!columns_[n] || values[n].empty()) continue;
    const double value = toNumber("gauge", values[n]);
    switch (*columns_[n]) {
      case ReportColumn::BusyRequests:
        report.busyRequests = value;
        break;
      case ReportColumn::Queued:
        report.queued = value;
        break;
      case ReportColumn::CpuShare:
        report.cpuShare = value;
        break;
      case ReportColumn::ServiceMillis:
        report.serviceMillis = value;
        break;
      case ReportColumn::ServedPerSecond:
        report.servedPerSecond = value;
        break;
      case ReportColumn::FailedPerSecond:
        report.failedPerSecond = value;
        break;
    }
  }
  return report;
}

std::optional<Event> Wire::parse(const Line& line, const std::vector<SheetEntry>* sheet) {
  const std::string_view name = line.name();
  if (name == "ingress") {
    NewRequest e;
    e.request = line.request("job");
    e.requestClass = lookUp(classes_, "category", line.text("category"));
    const std::string_view tenant = line.find("project").value_or("");
    if (!tenants_.empty() && !tenant.empty() && tenant != "0") e.tenant = lookUp(tenants_, "project", tenant);
    if (line.find("targetKey")) {
      e.key = static_cast<std::uint64_t>(line.integer("targetKey", 0, kMaxTime));
    }
    e.expiresIn = line.integer("expiresIn", -kMaxTime, kMaxTime);
    if (line.find("work")) e.work = line.integer("work", 0, kMaxTime);
    e.resent = line.flag("resent");
    return e;
  }
  if (name == "response") {
    AttemptOutcome e;
    e.request = line.request("job");
    e.attempt = static_cast<std::uint32_t>(line.integer("go", 0, kMaxCount));
    e.upstream = known(line);
    e.outcome = toOutcome(line.text("status"));
    e.lag = line.integer("lag", 0, kMaxTime, 0);
    e.last = line.flag("last");
    e.report = report(line);
    return e;
  }
  if (name == "tick_due") {
    line.text("nonce");
    return TimerDue{};
  }
  if (name == "withdrawn") return Withdrawn{line.request("job")};
  if (name == "started") {
    return AttemptStarted{line.request("job"), static_cast<std::uint32_t>(line.integer("go", 0, kMaxCount))};
  }
  if (name == "health") {
    ProbeResult e;
    e.upstream = known(line);
    e.ok = line.text("status") == "ok";
    e.lag = line.integer("lag", 0, kMaxTime, 0);
    e.report = report(line);
    return e;
  }
  if (name == "registry") {
    MembershipUpdate e;
    const std::string_view mode = line.text("mode");
    if (mode == "FAILED") {
      e.kind = MembershipUpdate::Kind::Failed;
      return e;
    }
    if (mode == "INCREMENTAL") {
      e.kind = MembershipUpdate::Kind::Changes;
    } else if (mode == "FULL") {
      e.kind = MembershipUpdate::Kind::Full;
    } else if (mode == "SAVED") {
      e.kind = MembershipUpdate::Kind::Saved;
    } else {
      bad("unknown registry mode", mode);
    }
    if (sheet == nullptr) bad("unknown sheet", line.text("sheet"));
    for (const SheetEntry& entry : *sheet) {
      const std::uint32_t zone = entry.zone.empty() ? 0 : lookUp(zones_, "locality", entry.zone);
      const std::uint32_t kind = entry.kind.empty() ? 0 : lookUp(kinds_, "hw", entry.kind);
      e.entries.push_back({intern(entry.upstream), zone, kind, entry.cell, entry.state, entry.size,
                           entry.launchedAt, identity(entry.upstream)});
    }
    return e;
  }
  if (name == "mail") return std::nullopt;  // the sidecars of this project tell each other nothing
  bad("unknown message", name);
}

namespace {

void put(std::string& out, std::string_view key, std::int64_t value) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
  out.append(key).append(digits, end);
}

void put(std::string& out, RequestId request) {
  static constexpr char kHex[] = "0123456789abcdef";
  out += " job=";
  for (int shift = 60; shift >= 0; shift -= 4) out += kHex[request >> shift & 15];
}

}  // namespace

void Wire::print(int instance, const Action& action, std::string& out) const {
  const auto begin = [&](std::string_view name) { put(out.append(name), " i=", instance); };
  const auto upstream = [&](UpstreamId id) { out.append(" upstream=").append(upstreams_.at(id)); };
  if (const auto* send = std::get_if<Send>(&action)) {
    begin("call_out");
    put(out, send->request);
    upstream(send->upstream);
    if (send->timeout > 0) put(out, " limit=", send->timeout);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    begin("timer");
    put(out.append(" nonce=wake"), " delay=", timer->delay);
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    begin("cancel");
    put(out, cancel->request);
    put(out, " go=", cancel->attempt);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    begin("deny");
    put(out, refuse->request);
    if (refuse->retryAfter > 0) put(out, " retryAfter=", refuse->retryAfter);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    begin("fail");
    put(out, fail->request);
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    begin("inspect");
    upstream(probe->upstream);
  } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
    begin("free_links");
    upstream(close->upstream);
  } else if (std::holds_alternative<Subscribe>(action)) {
    begin("tail");
    out += " active=1";
  } else if (std::holds_alternative<Fetch>(action)) {
    begin("refresh");
  } else if (const auto* log = std::get_if<Log>(&action)) {
    begin("emit");
    out.append(" words=").append(log->text);
  }
  out += '\n';
}

}  // namespace orchiddrum::wire
