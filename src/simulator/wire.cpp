// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "simulator/wire.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include "settings/load_report_column.h"

namespace ivypost::simulator {
namespace {

balancer::Outcome toOutcome(std::string_view value) {
  if (value == "ok") return balancer::Outcome::Ok;
  if (value == "error") return balancer::Outcome::Error;
  if (value == "full") return balancer::Outcome::Full;
  if (value == "timeout") return balancer::Outcome::Timeout;
  if (value == "connect_failed") return balancer::Outcome::ConnectFailed;
  if (value == "reset") return balancer::Outcome::Reset;
  if (value == "cancelled") return balancer::Outcome::Cancelled;
  if (value == "moot") return balancer::Outcome::Moot;
  settings::bad("unknown outcome", value);
}

}  // namespace

SheetEntry parseSheetEntry(const settings::Line& line) {
  if (line.name() != "entry") settings::bad("expected an entry line, got", line.name());
  SheetEntry entry;
  entry.upstream = line.text("upstream");
  entry.zone = line.find("locality").value_or("");
  entry.kind = line.find("hw").value_or("");
  if (line.find("group"))
    entry.cell = static_cast<std::uint32_t>(line.integer("group", 0, settings::kMaxCount));
  const std::string_view mode = line.text("mode");
  if (mode == "SERVING") {
    entry.state = balancer::EndpointState::Serving;
  } else if (mode == "DRAINING") {
    entry.state = balancer::EndpointState::Draining;
  } else if (mode == "DELETED") {
    entry.state = balancer::EndpointState::Gone;
  } else {
    settings::bad("unknown upstream mode", mode);
  }
  entry.size = line.number("size", 1);
  if (entry.size < 0) settings::bad("size is negative:", line.text("size"));
  entry.launchedAt = line.integer("launched", 0, settings::kMaxTime, 0);
  return entry;
}

Wire::Wire(const settings::Line& create)
    : site_(settings::readSite(create)),
      seed_(static_cast<std::uint64_t>(
          create.integer("entropy", 0, std::numeric_limits<std::int64_t>::max()))) {}

balancer::EndpointId Wire::intern(const std::string& name) {
  const auto [at, fresh] = ids_.emplace(name, static_cast<balancer::EndpointId>(upstreams_.size()));
  if (fresh) upstreams_.push_back(name);
  return at->second;
}

balancer::EndpointId Wire::known(const settings::Line& line) const {
  const std::string name(line.text("upstream"));
  const auto found = ids_.find(name);
  if (found == ids_.end()) settings::bad("upstream was in no list of this instance:", name);
  return found->second;
}

std::optional<balancer::LoadReport> Wire::report(const settings::Line& line) const {
  const auto row = line.find("gauge");
  if (!row || row->empty()) return std::nullopt;
  balancer::LoadReport report;
  const auto values = settings::split(*row, ',');
  for (std::size_t n = 0; n < values.size() && n < site_.columns.size(); ++n) {
    if (site_.columns[n] && !values[n].empty())
      settings::setColumn(report, *site_.columns[n], settings::toNumber("gauge", values[n]));
  }
  return report;
}

std::optional<balancer::Event> Wire::parse(const settings::Line& line, const std::vector<SheetEntry>* sheet) {
  const std::string_view name = line.name();
  if (name == "ingress") {
    balancer::NewRequest e;
    e.request = line.request("job");
    e.requestClass = settings::lookUp(site_.classes, "category", line.text("category"));
    const std::string_view tenant = line.find("project").value_or("");
    if (!site_.tenants.empty() && !tenant.empty() && tenant != "0")
      e.tenant = settings::lookUp(site_.tenants, "project", tenant);
    if (line.find("targetKey")) {
      e.key = static_cast<std::uint64_t>(line.integer("targetKey", 0, settings::kMaxTime));
    }
    e.expiresIn = line.integer("expiresIn", -settings::kMaxTime, settings::kMaxTime);
    if (line.find("work")) e.work = line.integer("work", 0, settings::kMaxTime);
    e.isRetry = line.flag("resent");
    return e;
  }
  if (name == "response") {
    balancer::AttemptOutcome e;
    e.request = line.request("job");
    e.attempt = static_cast<std::uint32_t>(line.integer("go", 0, settings::kMaxCount));
    e.upstream = known(line);
    e.outcome = toOutcome(line.text("status"));
    e.lag = line.integer("lag", 0, settings::kMaxTime, 0);
    e.last = line.flag("last");
    e.report = report(line);
    return e;
  }
  if (name == "tick_due") {
    line.text("nonce");
    return balancer::TimerDue{};
  }
  if (name == "withdrawn") return balancer::Withdrawn{line.request("job")};
  if (name == "started") {
    return balancer::AttemptStarted{line.request("job"),
                                    static_cast<std::uint32_t>(line.integer("go", 0, settings::kMaxCount))};
  }
  if (name == "health") {
    balancer::ProbeResult e;
    e.upstream = known(line);
    e.ok = line.text("status") == "ok";
    e.lag = line.integer("lag", 0, settings::kMaxTime, 0);
    e.report = report(line);
    return e;
  }
  if (name == "registry") {
    balancer::MembershipUpdate e;
    const std::string_view mode = line.text("mode");
    if (mode == "FAILED") {
      e.kind = balancer::MembershipUpdate::Kind::Failed;
      return e;
    }
    if (mode == "INCREMENTAL") {
      e.kind = balancer::MembershipUpdate::Kind::Changes;
    } else if (mode == "FULL") {
      e.kind = balancer::MembershipUpdate::Kind::Full;
    } else if (mode == "SAVED") {
      e.kind = balancer::MembershipUpdate::Kind::Saved;
    } else {
      settings::bad("unknown registry mode", mode);
    }
    if (sheet == nullptr) settings::bad("unknown sheet", line.text("sheet"));
    for (const SheetEntry& entry : *sheet) {
      const std::uint32_t zone =
          entry.zone.empty() ? 0 : settings::lookUp(site_.zones, "locality", entry.zone);
      const std::uint32_t kind = entry.kind.empty() ? 0 : settings::lookUp(site_.kinds, "hw", entry.kind);
      e.entries.push_back({intern(entry.upstream), zone, kind, entry.cell, entry.state, entry.size,
                           entry.launchedAt, settings::identity(entry.upstream)});
    }
    return e;
  }
  if (name == "mail") return std::nullopt;  // the sidecars of this project tell each other nothing
  settings::bad("unknown message", name);
}

namespace {

void put(std::string& out, std::string_view key, std::int64_t value) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
  out.append(key).append(digits, end);
}

void put(std::string& out, balancer::RequestId request) {
  static constexpr char kHex[] = "0123456789abcdef";
  out += " job=";
  for (int shift = 60; shift >= 0; shift -= 4) out += kHex[request >> shift & 15];
}

}  // namespace

void Wire::print(int instance, const balancer::Action& action, std::string& out) const {
  const auto begin = [&](std::string_view name) { put(out.append(name), " i=", instance); };
  const auto upstream = [&](balancer::EndpointId id) { out.append(" upstream=").append(upstreams_.at(id)); };
  if (const auto* send = std::get_if<balancer::Send>(&action)) {
    begin("call_out");
    put(out, send->request);
    upstream(send->upstream);
    if (send->timeout > 0) put(out, " limit=", send->timeout);
  } else if (const auto* timer = std::get_if<balancer::SetTimer>(&action)) {
    begin("timer");
    put(out.append(" nonce=wake"), " delay=", timer->delay);
  } else if (const auto* cancel = std::get_if<balancer::Cancel>(&action)) {
    begin("cancel");
    put(out, cancel->request);
    put(out, " go=", cancel->attempt);
  } else if (const auto* refuse = std::get_if<balancer::Reject>(&action)) {
    begin("deny");
    put(out, refuse->request);
    if (refuse->retryAfter > 0) put(out, " retryAfter=", refuse->retryAfter);
  } else if (const auto* fail = std::get_if<balancer::Fail>(&action)) {
    begin("fail");
    put(out, fail->request);
  } else if (const auto* probe = std::get_if<balancer::Probe>(&action)) {
    begin("inspect");
    upstream(probe->upstream);
  } else if (const auto* close = std::get_if<balancer::CloseIdle>(&action)) {
    begin("free_links");
    upstream(close->upstream);
  } else if (std::holds_alternative<balancer::Subscribe>(action)) {
    begin("tail");
    out += " active=1";
  } else if (std::holds_alternative<balancer::Fetch>(action)) {
    begin("refresh");
  } else if (const auto* log = std::get_if<balancer::Log>(&action)) {
    begin("emit");
    out.append(" words=").append(log->text);
  }
  out += '\n';
}

}  // namespace ivypost::simulator
