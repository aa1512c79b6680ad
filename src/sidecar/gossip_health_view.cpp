// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip_health_view.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace ivypost {
namespace {

using balancer::Outcome;
using settings::throwFormatError;

// The maximum number of members, and of health reports, in GET /status/peers.
constexpr std::size_t kMaxShown = 256;
// The minimum interval over which the rate of sent bytes is measured, in microseconds.
constexpr Micros kRateInterval = 1'000'000;

std::string hex(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

// A number that increases across restarts of this sidecar as long as its wall clock is right. If the clock
// was set back, other sidecars hold higher incarnations and versions of this sidecar; it raises its own above
// them as soon as it receives them.
std::uint64_t incarnationNumber() {
  return static_cast<std::uint64_t>(std::max<Micros>(1000, unixNow()));
}

health_reports::TimePoint timePoint(Micros at) {
  return health_reports::TimePoint(std::chrono::microseconds(at));
}

const char* nameOf(gossip::State state) {
  constexpr std::array<const char*, 3> kNames = {"alive", "suspect", "dead"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace

GossipHealthView::Identity GossipHealthView::identityOf(const gossip::Options& options,
                                                        const Config& config) {
  gossip::Settings settings;
  std::optional<gossip::Address> listen;
  const auto& own = config.site.settings;
  const bool platform = options.address.empty() && config.peerListen;
  if (platform && own.sidecar < config.peers.size()) {
    settings.address = config.peers[own.sidecar];
    listen = config.peerListen;
  } else if (const auto address = gossip::parseAddress(options.address)) {
    settings.address = *address;
  } else {
    throwFormatError(
        "peers.address is missing, and the platform gives none; set where the other sidecars reach this one, "
        "as:",
        "10.0.0.4:7946");
  }
  if (const auto configured = gossip::parseAddress(options.listen)) listen = configured;
  for (const std::string& seed : options.seeds) settings.seeds.push_back(gossip::parseAddress(seed).value());
  if (platform && settings.seeds.empty()) settings.seeds = config.peers;
  if (settings.seeds.empty())
    throwFormatError("peers.seeds is missing, and the platform gives none:", options.address);
  settings.self = gossip::idOf(config.name);
  settings.incarnation = incarnationNumber() / 1000;
  settings.period = options.period;
  settings.timeout = options.timeout;
  settings.isolatedAfter = options.isolatedAfter;
  settings.quorumFraction = options.quorumFraction;
  settings.region = static_cast<std::uint8_t>(options.region);
  settings.regionExpected = static_cast<std::uint32_t>(options.regionSidecars);
  settings.bytesPerSecond = static_cast<std::uint32_t>(options.bytesPerSecond);
  settings.expected =
      options.sidecars > 0 ? static_cast<std::uint32_t>(options.sidecars) : std::max(1U, own.sidecars);
  try {
    return {settings, listen.value_or(settings.address), gossip::Seal::read(options.keyFile)};
  } catch (const std::runtime_error& error) {
    throw settings::FormatError(error.what());
  }
}

GossipHealthView::GossipHealthView(boost::asio::io_context& io, const Identity& identity, std::uint64_t seed,
                                   Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      healthReports_(identity.settings.self, incarnationNumber()),
      timer_(io),
      transport_(io, identity.settings, identity.listen, identity.seal, seed,
                 {[this](std::size_t room) { return healthReports_.encodeNext(room, timePoint(now())); },
                  [this](std::span<const std::uint8_t> reports, Micros delay) {
                    return receive(reports, std::chrono::microseconds(delay));
                  },
                  [this](const gossip::Change& change) {
                    // Suspicions are not logged: an operator can't act on them.
                    if (change.state == gossip::State::Suspect) return;
                    const bool isReachable = change.state == gossip::State::Alive;
                    callbacks_.log("peers: " + gossip::format(change.address) +
                                   (isReachable ? " is heard" : " is not heard any more"));
                  },
                  callbacks_.log}) {
  publishLater(kPublishInterval);
}

void GossipHealthView::recordAttempt(const health_reports::Incarnation& incarnation, Outcome outcome,
                                     Micros lag) {
  using Result = health_reports::AttemptHistory::Outcome;
  std::optional<Result> result;
  switch (outcome) {
    case Outcome::Ok:
      result = Result::Succeeded;
      break;
    case Outcome::Error:
    case Outcome::Reset:
    case Outcome::ConnectFailed:
      result = Result::Failed;
      break;
    case Outcome::Timeout:
      result = Result::Unanswered;
      break;
    case Outcome::Full:  // the endpoint answers; it is overloaded, not unhealthy
    case Outcome::Cancelled:
    case Outcome::Moot:
      break;
  }
  const std::chrono::microseconds sinceSent(lag);
  if (result && healthReports_.recordAttempt(incarnation, *result, sinceSent, timePoint(now())))
    transport_.announce();
}

std::optional<bool> GossipHealthView::receive(std::span<const std::uint8_t> reports,
                                              std::chrono::microseconds delay) {
  using health_reports::ReceiveResult;
  const ReceiveResult result = healthReports_.receive(reports, delay, timePoint(now()));
  if (result == ReceiveResult::Malformed) return std::nullopt;
  const bool isChanged = result == ReceiveResult::Changed;
  if (isChanged) publishLater(std::chrono::milliseconds(0));
  return isChanged;
}

void GossipHealthView::leave() {
  timer_.cancel();
  transport_.leave();
}

void GossipHealthView::publishLater(std::chrono::milliseconds wait) {
  timer_.expires_after(wait);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    publish();
    publishLater(kPublishInterval);
  });
}

void GossipHealthView::publish() {
  const Micros at = now();
  measureRate(at);
  const bool isIsolated = transport_.members().isIsolated(at);
  logIsolation(isIsolated);
  if (healthReports_.size() == 0) return;
  const gossip::Members& members = transport_.members();
  healthReports_.setFleetSize(members.reachableCount());
  const std::vector<Listed> listed = callbacks_.listed();
  healthReports_.removeStale(
      [&](const health_reports::Incarnation& incarnation) {
        return std::any_of(listed.begin(), listed.end(),
                           [&](const Listed& one) { return one.incarnation == incarnation; });
      },
      [&](gossip::PeerId id) { return members.isReachable(id); }, timePoint(at));
  if (!isIsolated) publishSummaries(listed, at);
}

void GossipHealthView::measureRate(Micros at) {
  if (at - rateMeasuredAt_ < kRateInterval) return;
  const std::uint64_t bytes = transport_.counts().sentBytes;
  bytesPerSecond_ =
      static_cast<double>(bytes - rateMeasuredBytes_) * 1e6 / static_cast<double>(at - rateMeasuredAt_);
  rateMeasuredAt_ = at;
  rateMeasuredBytes_ = bytes;
}

void GossipHealthView::logIsolation(bool isIsolated) {
  if (std::exchange(wasIsolated_, isIsolated) == isIsolated) return;
  const gossip::Members& members = transport_.members();
  std::array<char, 96> line{};
  std::snprintf(line.data(), line.size(), "peers: %s, %zu of %zu sidecars heard",
                isIsolated ? "deaf" : "not deaf", members.reachableCount(), members.knownCount() + 1);
  callbacks_.log(line.data());
}

void GossipHealthView::publishSummaries(const std::vector<Listed>& listed, Micros at) {
  const gossip::Members& members = transport_.members();
  const auto isReachable = [&](gossip::PeerId id) { return members.isReachable(id); };
  const std::vector<health_reports::Incarnation> reported = healthReports_.incarnations();
  for (const Listed& one : listed) {
    if (!std::binary_search(reported.begin(), reported.end(), one.incarnation)) continue;
    const auto summary = healthReports_.summarize(one.incarnation, isReachable, timePoint(at));
    balancer::HealthReport report;
    report.upstream = one.upstream;
    report.launchedAt = one.launchedAt;
    report.reachableSidecars = static_cast<std::uint32_t>(members.reachableCount());
    report.unhealthyReports = summary.unhealthy;
    report.hasHealthyReport = summary.healthy > 0;
    report.ownsNextTrial = members.ownerOf(one.incarnation.endpoint) == members.settings().self;
    report.validFor = kReportValidity;
    callbacks_.report(report);
  }
}

nlohmann::json GossipHealthView::status() const {
  const Micros at = now();
  const gossip::Members& members = transport_.members();
  const auto& counts = transport_.counts();
  nlohmann::json status = {{"self", hex(members.settings().self)},
                           {"address", gossip::format(members.settings().address)},
                           {"listens", transport_.listens()},
                           {"deaf", members.isIsolated(at)},
                           {"twin", members.hasNameConflict(at)},
                           {"heard", members.reachableCount()},
                           {"known", members.knownCount() + 1},
                           {"part", members.reachableFraction()},
                           {"region", members.settings().region},
                           {"health", members.localHealth()},
                           {"bytes_per_s", bytesPerSecond_},
                           {"datagrams",
                            {{"sent", counts.sent},
                             {"received", counts.received},
                             {"unsealed", counts.unsealed},
                             {"malformed", counts.malformed},
                             {"replayed", counts.replayed},
                             {"unsent", counts.unsent}}}};
  status["members"] = membersStatus();
  status["judgements"] = reportsStatus(at);
  return status;
}

nlohmann::json GossipHealthView::membersStatus() const {
  nlohmann::json shown = nlohmann::json::array();
  for (const gossip::Update& one : transport_.members().updates()) {
    if (shown.size() == kMaxShown) break;
    shown.push_back(
        {{"id", hex(one.id)}, {"address", gossip::format(one.address)}, {"state", nameOf(one.state)}});
  }
  return shown;
}

nlohmann::json GossipHealthView::reportsStatus(Micros at) const {
  nlohmann::json shown = nlohmann::json::array();
  const std::vector<Listed> listed = callbacks_.listed();
  for (const health_reports::HealthReport& one : healthReports_.reports(timePoint(at))) {
    if (shown.size() == kMaxShown) break;
    const auto found = std::find_if(listed.begin(), listed.end(), [&](const Listed& other) {
      return other.incarnation == one.incarnation;
    });
    shown.push_back({{"upstream", found == listed.end() ? hex(one.incarnation.endpoint) : found->id},
                     {"started_at_ms", one.incarnation.startedAt.time_since_epoch().count()},
                     {"witness", hex(one.reporter)},
                     {"finding", health_reports::nameOf(one.status)},
                     {"attempts", one.attempts},
                     {"failures", one.failures},
                     {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(one.age).count()}});
  }
  return shown;
}

}  // namespace ivypost
