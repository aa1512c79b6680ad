// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "wire.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace orchiddrum::wire {
namespace {

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

Wire::Wire(const Line& create)
    : site_(readSite(create)),
      seed_(static_cast<std::uint64_t>(
          create.integer("entropy", 0, std::numeric_limits<std::int64_t>::max()))) {}

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
  for (std::size_t n = 0; n < values.size() && n < site_.columns.size(); ++n) {
    if (site_.columns[n] && !values[n].empty())
      setColumn(report, *site_.columns[n], toNumber("gauge", values[n]));
  }
  return report;
}

std::optional<Event> Wire::parse(const Line& line, const std::vector<SheetEntry>* sheet) {
  const std::string_view name = line.name();
  if (name == "ingress") {
    NewRequest e;
    e.request = line.request("job");
    e.requestClass = lookUp(site_.classes, "category", line.text("category"));
    const std::string_view tenant = line.find("project").value_or("");
    if (!site_.tenants.empty() && !tenant.empty() && tenant != "0")
      e.tenant = lookUp(site_.tenants, "project", tenant);
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
      const std::uint32_t zone = entry.zone.empty() ? 0 : lookUp(site_.zones, "locality", entry.zone);
      const std::uint32_t kind = entry.kind.empty() ? 0 : lookUp(site_.kinds, "hw", entry.kind);
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
