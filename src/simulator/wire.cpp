// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "simulator/wire.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <limits>
#include <memory>
#include <variant>

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
  settings::throwFormatError("unknown outcome", value);
}

balancer::MembershipUpdate::Kind toUpdateKind(std::string_view mode) {
  if (mode == "INCREMENTAL") return balancer::MembershipUpdate::Kind::Changes;
  if (mode == "FULL") return balancer::MembershipUpdate::Kind::Full;
  if (mode == "SAVED") return balancer::MembershipUpdate::Kind::Saved;
  if (mode == "FAILED") return balancer::MembershipUpdate::Kind::Failed;
  settings::throwFormatError("unknown registry mode", mode);
}

std::uint32_t attemptOf(const settings::Line& line) {
  return static_cast<std::uint32_t>(line.integer("go", 0, settings::kMaxCount));
}

// Returns the number of a name, or 0, the number of the first name, if `name` is empty.
std::uint32_t lookUpOrFirst(const settings::Numbering& names, std::string_view what,
                            const std::string& name) {
  return name.empty() ? 0 : settings::lookUp(names, what, name);
}

void appendNumber(std::string& out, std::string_view key, std::int64_t value) {
  std::array<char, std::numeric_limits<std::int64_t>::digits10 + 2> digits{};
  const auto written = std::to_chars(digits.begin(), digits.end(), value);
  out.append(key).append(digits.begin(), written.ptr);
}

void appendRequest(std::string& out, balancer::RequestId request) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 15;
  out += " job=";
  for (unsigned shift = std::numeric_limits<balancer::RequestId>::digits; shift > 0;) {
    shift -= kBitsPerDigit;
    out += kHexDigits[request >> shift & kDigitMask];
  }
}

// Appends the line of one action, without its line end.
class ActionPrinter {
 public:
  ActionPrinter(int instance, const std::vector<std::string>& upstreams, std::string& out)
      : instance_(instance), upstreams_(upstreams), out_(out) {}

  void operator()(const balancer::Send& send) const {
    begin("call_out");
    appendRequest(out_, send.request);
    appendUpstream(send.upstream);
    if (send.timeout > 0) appendNumber(out_, " limit=", send.timeout);
  }
  void operator()(const balancer::Cancel& cancel) const {
    begin("cancel");
    appendRequest(out_, cancel.request);
    appendNumber(out_, " go=", cancel.attempt);
  }
  void operator()(const balancer::Reject& reject) const {
    begin("deny");
    appendRequest(out_, reject.request);
    if (reject.retryAfter > 0) appendNumber(out_, " retryAfter=", reject.retryAfter);
  }
  void operator()(const balancer::Fail& fail) const {
    begin("fail");
    appendRequest(out_, fail.request);
  }
  void operator()(const balancer::SetTimer& timer) const {
    begin("timer");
    appendNumber(out_.append(" nonce=wake"), " delay=", timer.delay);
  }
  void operator()(const balancer::Probe& probe) const {
    begin("inspect");
    appendUpstream(probe.upstream);
  }
  void operator()(const balancer::CloseIdle& close) const {
    begin("free_links");
    appendUpstream(close.upstream);
  }
  void operator()(const balancer::Subscribe& /*subscribe*/) const {
    begin("tail");
    out_ += " active=1";
  }
  void operator()(const balancer::Fetch& /*fetch*/) const { begin("refresh"); }
  void operator()(const balancer::Log& log) const {
    begin("emit");
    out_.append(" words=").append(log.text);
  }

 private:
  void begin(std::string_view name) const { appendNumber(out_.append(name), " i=", instance_); }
  void appendUpstream(balancer::EndpointId id) const { out_.append(" upstream=").append(upstreams_.at(id)); }

  int instance_;
  const std::vector<std::string>& upstreams_;
  std::string& out_;
};

}  // namespace

Wire::Wire(const settings::Line& create)
    : site_(settings::readSite(create)),
      seed_(static_cast<std::uint64_t>(
          create.integer("entropy", 0, std::numeric_limits<std::int64_t>::max()))) {}

balancer::EndpointId Wire::idOf(const std::string& name) {
  const auto [found, isNew] = ids_.emplace(name, static_cast<balancer::EndpointId>(upstreams_.size()));
  if (isNew) upstreams_.push_back(name);
  return found->second;
}

balancer::EndpointId Wire::knownUpstream(const settings::Line& line) const {
  const std::string name(line.text("upstream"));
  const auto found = ids_.find(name);
  if (found == ids_.end()) settings::throwFormatError("upstream was in no list of this instance:", name);
  return found->second;
}

std::optional<balancer::LoadReport> Wire::parseReport(const settings::Line& line) const {
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

balancer::NewRequest Wire::parseRequest(const settings::Line& line) const {
  balancer::NewRequest event;
  event.request = line.request("job");
  event.requestClass = settings::lookUp(site_.classes, "category", line.text("category"));
  const std::string_view tenant = line.find("project").value_or("");
  if (!site_.tenants.empty() && !tenant.empty() && tenant != "0")
    event.tenant = settings::lookUp(site_.tenants, "project", tenant);
  if (line.find("targetKey"))
    event.key = static_cast<std::uint64_t>(line.integer("targetKey", 0, settings::kMaxTime));
  event.expiresIn = line.integer("expiresIn", -settings::kMaxTime, settings::kMaxTime);
  if (line.find("work")) event.work = line.integer("work", 0, settings::kMaxTime);
  event.isRetry = line.flag("resent");
  return event;
}

balancer::AttemptOutcome Wire::parseOutcome(const settings::Line& line) const {
  balancer::AttemptOutcome event;
  event.request = line.request("job");
  event.attempt = attemptOf(line);
  event.upstream = knownUpstream(line);
  event.outcome = toOutcome(line.text("status"));
  event.latency = line.integer("lag", 0, settings::kMaxTime, 0);
  event.endsRequest = line.flag("last");
  event.report = parseReport(line);
  return event;
}

balancer::ProbeResult Wire::parseProbeResult(const settings::Line& line) const {
  balancer::ProbeResult event;
  event.upstream = knownUpstream(line);
  event.ok = line.text("status") == "ok";
  event.latency = line.integer("lag", 0, settings::kMaxTime, 0);
  event.report = parseReport(line);
  return event;
}

balancer::EndpointEntry Wire::toEndpoint(const SheetEntry& entry) {
  const std::uint32_t zone = lookUpOrFirst(site_.zones, "locality", entry.zone);
  const std::uint32_t kind = lookUpOrFirst(site_.kinds, "hw", entry.kind);
  return {idOf(entry.upstream),
          zone,
          kind,
          entry.cell,
          entry.state,
          entry.size,
          entry.launchedAt,
          settings::identity(entry.upstream)};
}

balancer::MembershipUpdate Wire::parseUpdate(const settings::Line& line, const Sheet* sheet) {
  balancer::MembershipUpdate event;
  event.kind = toUpdateKind(line.text("mode"));
  if (event.kind == balancer::MembershipUpdate::Kind::Failed) return event;
  if (sheet == nullptr) settings::throwFormatError("unknown sheet", line.text("sheet"));
  for (const SheetEntry& entry : *sheet) event.entries.push_back(toEndpoint(entry));
  return event;
}

std::optional<balancer::Event> Wire::parse(const settings::Line& line, const Sheet* sheet) {
  const std::string_view name = line.name();
  if (name == "ingress") return parseRequest(line);
  if (name == "response") return parseOutcome(line);
  if (name == "withdrawn") return balancer::Withdrawn{line.request("job")};
  if (name == "started") return balancer::AttemptStarted{line.request("job"), attemptOf(line)};
  if (name == "health") return parseProbeResult(line);
  if (name == "registry") return parseUpdate(line, sheet);
  if (name == "tick_due") {
    // There is only one timer, so the nonce is not compared; a missing nonce is still an error.
    static_cast<void>(line.text("nonce"));
    return balancer::TimerDue{};
  }
  if (name == "mail") return std::nullopt;  // the sidecars exchange no messages in the simulator
  settings::throwFormatError("unknown message", name);
}

void Wire::print(int instance, const balancer::Action& action, std::string& out) const {
  std::visit(ActionPrinter(instance, upstreams_, out), action);
  out += '\n';
}

}  // namespace ivypost::simulator
