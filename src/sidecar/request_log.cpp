// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "request_log.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace ivypost {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::size_t kBytesPerKb = 1000;

std::string formatTraceId(std::uint64_t traceId) {
  if (traceId == 0) return "unknown";
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, traceId);
  return text.data();
}

std::string formatUsage(const ResourceUsage& usage) {
  const auto fraction = [](std::size_t used, std::size_t most) {
    return std::to_string(used) + "/" + std::to_string(most);
  };
  return "budget " + fraction(usage.budgetInUse / kBytesPerKb, usage.budgetCapacity / kBytesPerKb) +
         " kB, clients " + fraction(usage.clientConnections, usage.maxClientConnections) + " (" +
         std::to_string(usage.activeClients) + " active), upstream connections " +
         fraction(usage.upstreamConnections, usage.maxUpstreamConnections) + ", open requests " +
         std::to_string(usage.openRequests);
}

std::string formatLine(const RequestEvent& event, const ResourceUsage& usage) {
  std::string line =
      "request " + formatTraceId(event.traceId) + " " + nameOf(event.kind) + ": " + event.reason;
  if (!event.upstream.empty())
    line += "; upstream " + event.upstream + ", " + std::to_string(event.bytes) + " bytes received";
  line += "; after " + std::to_string(event.elapsed / kMicrosPerMilli) + " ms; ";
  return line + formatUsage(usage);
}

nlohmann::json toJson(const ResourceUsage& usage) {
  return {{"budget_in_use", usage.budgetInUse},
          {"budget", usage.budgetCapacity},
          {"clients", usage.clientConnections},
          {"clients_active", usage.activeClients},
          {"clients_limit", usage.maxClientConnections},
          {"upstream_connections", usage.upstreamConnections},
          {"upstream_connections_limit", usage.maxUpstreamConnections},
          {"open_requests", usage.openRequests}};
}

}  // namespace

const char* nameOf(RequestEvent::Kind kind) {
  switch (kind) {
    case RequestEvent::Kind::Rejected:
      return "rejected";
    case RequestEvent::Kind::Failed:
      return "failed";
    case RequestEvent::Kind::AttemptFailed:
      return "attempt failed";
    case RequestEvent::Kind::AnswerCut:
      return "answer cut off";
    case RequestEvent::Kind::Closed:
      return "connection closed";
    case RequestEvent::Kind::Evicted:
      return "connection evicted";
  }
  return "";
}

RequestLog::RequestLog(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

bool RequestLog::takeAllowance(KindState& state, std::int64_t now) {
  constexpr double kSecond = 1e6;  // microseconds
  const double seconds = static_cast<double>(now - state.updatedAt) / kSecond;
  state.allowance = std::min(kBurst, state.allowance + seconds * kLinesPerSecond);
  state.updatedAt = now;
  if (state.allowance < 1) return false;
  state.allowance -= 1;
  return true;
}

void RequestLog::record(RequestEvent event, std::int64_t now) {
  KindState& state = kinds_.at(static_cast<std::size_t>(event.kind));
  ++state.count;
  const ResourceUsage usage = callbacks_.usage();
  if (takeAllowance(state, now)) {
    std::string line = formatLine(event, usage);
    if (state.notLogged > 0) line += "; " + std::to_string(state.notLogged) + " more not logged before";
    state.notLogged = 0;
    callbacks_.log(line);
  } else {
    ++state.notLogged;
  }
  if (kept_.size() == kKeptEvents) kept_.pop_front();
  kept_.push_back({std::move(event), usage, now});
}

std::string RequestLog::status(std::int64_t now) const {
  nlohmann::json status{{"usage", toJson(callbacks_.usage())}, {"latest", nlohmann::json::array()}};
  for (std::size_t n = 0; n < kKinds; ++n)
    status["count"][nameOf(static_cast<RequestEvent::Kind>(n))] = kinds_.at(n).count;
  for (const Kept& kept : kept_) {
    status["latest"].push_back({{"trace_id", formatTraceId(kept.event.traceId)},
                                {"what", nameOf(kept.event.kind)},
                                {"why", kept.event.reason},
                                {"upstream", kept.event.upstream},
                                {"bytes", kept.event.bytes},
                                {"after_ms", kept.event.elapsed / kMicrosPerMilli},
                                {"ago_ms", (now - kept.at) / kMicrosPerMilli},
                                {"usage", toJson(kept.usage)}});
  }
  return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace ivypost
