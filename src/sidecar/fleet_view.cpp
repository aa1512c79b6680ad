// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fleet_view.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ivypost {
namespace {

using balancer::Outcome;
using settings::bad;

// Members and judgements that GET /status/peers tells at the most.
constexpr std::size_t kShown = 256;

std::string hex(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

// What counts up over all lives of this sidecar while its wall clock is right. After a step back others hold
// higher ones of earlier lives; both are outbid once they are heard.
std::uint64_t lifeNumber() {
  return static_cast<std::uint64_t>(std::max<Micros>(1000, unixNow()));
}

health_reports::TimePoint timePoint(Micros at) {
  return health_reports::TimePoint(std::chrono::microseconds(at));
}

const char* nameOf(peers::State state) {
  constexpr std::array<const char*, 3> kNames = {"alive", "suspect", "dead"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace

FleetView::Place FleetView::placeOf(const peers::Options& options, const Config& config) {
  peers::Settings settings;
  std::optional<peers::Address> listen;
  const auto& own = config.site.settings;
  const bool platform = options.address.empty() && config.peerListen;
  if (platform && own.sidecar < config.peers.size()) {
    settings.address = config.peers[own.sidecar];
    listen = config.peerListen;
  } else if (const auto address = peers::parseAddress(options.address)) {
    settings.address = *address;
  } else {
    bad("peers.address is missing, and the platform gives none; set where the other sidecars reach this one, "
        "as:",
        "10.0.0.4:7946");
  }
  if (const auto told = peers::parseAddress(options.listen)) listen = told;
  for (const std::string& seed : options.seeds) settings.seeds.push_back(peers::parseAddress(seed).value());
  if (platform && settings.seeds.empty()) settings.seeds = config.peers;
  if (settings.seeds.empty()) bad("peers.seeds is missing, and the platform gives none:", options.address);
  settings.self = peers::idOf(config.name);
  settings.incarnation = lifeNumber() / 1000;
  settings.period = options.period;
  settings.timeout = options.timeout;
  settings.deafAfter = options.deafAfter;
  settings.deafPart = options.deafPart;
  settings.region = static_cast<std::uint8_t>(options.region);
  settings.regionExpected = static_cast<std::uint32_t>(options.regionSidecars);
  settings.bytesPerSecond = static_cast<std::uint32_t>(options.bytesPerSecond);
  settings.expected =
      options.sidecars > 0 ? static_cast<std::uint32_t>(options.sidecars) : std::max(1U, own.sidecars);
  try {
    return {settings, listen.value_or(settings.address), peers::Seal::read(options.keyFile)};
  } catch (const std::runtime_error& error) {
    throw settings::FormatError(error.what());
  }
}

FleetView::FleetView(boost::asio::io_context& io, const Place& place, std::uint64_t seed, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      healthReports_(place.settings.self, lifeNumber()),
      timer_(io),
      io_(io, place.settings, place.listen, place.seal, seed,
          {[this](std::size_t room) { return healthReports_.encodeNext(room, timePoint(now())); },
           [this](std::span<const std::uint8_t> facts, Micros late) {
             return receive(facts, std::chrono::microseconds(late));
           },
           [this](const peers::Change& change) {
             // A suspicion is nothing that an operator could act on.
             if (change.state == peers::State::Suspect) return;
             const bool heard = change.state == peers::State::Alive;
             callbacks_.log("peers: " + peers::format(change.address) +
                            (heard ? " is heard" : " is not heard any more"));
           },
           callbacks_.log}) {
  lookLater(kEvery);
}

void FleetView::attempted(const health_reports::Incarnation& incarnation, Outcome outcome, Micros lag) {
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
    case Outcome::Full:  // it answers, and says that it is busy
    case Outcome::Cancelled:
    case Outcome::Moot:
      break;
  }
  const std::chrono::microseconds sinceSent(lag);
  if (result && healthReports_.recordAttempt(incarnation, *result, sinceSent, timePoint(now())))
    io_.announce();
}

std::optional<bool> FleetView::receive(std::span<const std::uint8_t> reports,
                                       std::chrono::microseconds delay) {
  using health_reports::ReceiveResult;
  const ReceiveResult result = healthReports_.receive(reports, delay, timePoint(now()));
  if (result == ReceiveResult::Malformed) return std::nullopt;
  const bool isChanged = result == ReceiveResult::Changed;
  if (isChanged) lookLater(std::chrono::milliseconds(0));
  return isChanged;
}

void FleetView::leave() {
  timer_.cancel();
  io_.leave();
}

void FleetView::lookLater(std::chrono::milliseconds wait) {
  timer_.expires_after(wait);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    look();
    lookLater(kEvery);
  });
}

void FleetView::look() {
  const Micros at = now();
  const peers::Members& members = io_.members();
  if (at - countedAt_ >= 1'000'000) {
    const std::uint64_t bytes = io_.counts().sentBytes;
    bytesPerSecond_ = static_cast<double>(bytes - countedBytes_) * 1e6 / static_cast<double>(at - countedAt_);
    countedAt_ = at;
    countedBytes_ = bytes;
  }
  const bool deaf = members.deaf(at);
  if (deaf != wasDeaf_) {
    std::array<char, 96> line{};
    std::snprintf(line.data(), line.size(), "peers: %s, %zu of %zu sidecars heard",
                  deaf ? "deaf" : "not deaf", members.heard(), members.known() + 1);
    callbacks_.log(line.data());
  }
  wasDeaf_ = deaf;
  if (healthReports_.size() == 0) return;
  healthReports_.setFleetSize(members.heard());
  const std::vector<Listed> listed = callbacks_.listed();
  const auto heard = [&](peers::PeerId id) { return members.isHeard(id); };
  healthReports_.removeStale(
      [&](const health_reports::Incarnation& incarnation) {
        return std::any_of(listed.begin(), listed.end(),
                           [&](const Listed& one) { return one.incarnation == incarnation; });
      },
      heard, timePoint(at));
  if (deaf) return;
  const std::vector<health_reports::Incarnation> judged = healthReports_.incarnations();
  for (const Listed& one : listed) {
    if (!std::binary_search(judged.begin(), judged.end(), one.incarnation)) continue;
    const auto said = healthReports_.summarize(one.incarnation, heard, timePoint(at));
    balancer::HealthReport hearsay;
    hearsay.upstream = one.upstream;
    hearsay.launchedAt = one.launchedAt;
    hearsay.sidecars = static_cast<std::uint32_t>(members.heard());
    hearsay.witnesses = said.unhealthy;
    hearsay.well = said.healthy > 0;
    hearsay.turn = members.turnAt(one.incarnation.endpoint) == members.settings().self;
    hearsay.holds = kHolds;
    callbacks_.hearsay(hearsay);
  }
}

nlohmann::json FleetView::status() const {
  const Micros at = now();
  const peers::Members& members = io_.members();
  const auto& counts = io_.counts();
  nlohmann::json status = {{"self", hex(members.settings().self)},
                           {"address", peers::format(members.settings().address)},
                           {"listens", io_.listens()},
                           {"deaf", members.deaf(at)},
                           {"twin", members.twin(at)},
                           {"heard", members.heard()},
                           {"known", members.known() + 1},
                           {"part", members.part()},
                           {"region", members.settings().region},
                           {"health", members.health()},
                           {"bytes_per_s", bytesPerSecond_},
                           {"datagrams",
                            {{"sent", counts.sent},
                             {"received", counts.received},
                             {"unsealed", counts.unsealed},
                             {"malformed", counts.malformed},
                             {"replayed", counts.replayed},
                             {"unsent", counts.unsent}}}};
  auto& shown = status["members"] = nlohmann::json::array();
  for (const peers::Update& one : members.all()) {
    if (shown.size() == kShown) break;
    shown.push_back(
        {{"id", hex(one.id)}, {"address", peers::format(one.address)}, {"state", nameOf(one.state)}});
  }
  auto& judged = status["judgements"] = nlohmann::json::array();
  const std::vector<Listed> listed = callbacks_.listed();
  for (const health_reports::HealthReport& one : healthReports_.reports(timePoint(at))) {
    if (judged.size() == kShown) break;
    const auto found = std::find_if(listed.begin(), listed.end(), [&](const Listed& other) {
      return other.incarnation == one.incarnation;
    });
    judged.push_back({{"upstream", found == listed.end() ? hex(one.incarnation.endpoint) : found->id},
                      {"started_at_ms", one.incarnation.startedAt.time_since_epoch().count()},
                      {"witness", hex(one.reporter)},
                      {"finding", health_reports::nameOf(one.status)},
                      {"attempts", one.attempts},
                      {"failures", one.failures},
                      {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(one.age).count()}});
  }
  return status;
}

}  // namespace ivypost
