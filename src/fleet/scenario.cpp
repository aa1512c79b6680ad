// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fleet/scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

#include "configuration/toml_document.h"
#include "fault/plan_reader.h"

namespace ivypost::fleet {
namespace {

using configuration::Table;
using nlohmann::json;
using standins::Effect;

constexpr Micros kMaxLength = 24LL * 3600 * 1'000'000;
constexpr std::size_t kMaxRows = 64, kMaxEvents = 1024;

constexpr std::array<const char*, 15> kEvents = {
    "hang",  "drain",     "die",    "start",     "fault", "discovery-down", "discovery-silent",
    "load",  "partition", "deafen", "datagrams", "kill",  "terminate",      "pause",
    "reload"};

Micros within(Table& table, std::string_view key, Micros low, Micros high, Micros fallback) {
  const Micros value = table.duration(key, std::chrono::microseconds(fallback)).count();
  if (value < low || value > high) table.fail(key, "out of range");
  return value;
}

NodeKind readNode(Table& table) {
  NodeKind node;
  node.count = static_cast<std::uint32_t>(table.integer("count", 1, kMaxNodes, 1));
  node.name = table.text("kind", node.name);
  auto& model = node.model;
  model.cores = static_cast<std::uint32_t>(table.integer("cores", 1, 1024, model.cores));
  model.speed = table.number("speed", 0.001, 1000, model.speed);
  model.waitingRoom = static_cast<std::size_t>(table.integer("waiting_room", 0, 1'000'000, 32));
  model.coldShare = table.number("cold_share", 0.01, 1, model.coldShare);
  model.warm = within(table, "warm", 0, kMaxLength, 0);
  model.errorShare = table.number("error_share", 0, 1, 0);
  table.finish();
  return node;
}

RequestClass readClass(Table& table) {
  RequestClass cls;
  cls.name = table.text("name");
  const std::array<Effect, 3> effects = {Effect::Safe, Effect::Keyed, Effect::Unsafe};
  cls.effect = effects.at(table.choice("effect", {"safe", "keyed", "unsafe"}));
  cls.share = table.number("share", 0, 1e6, 1);
  cls.worth = table.number("worth", 0, 1e6, 1);
  cls.work = within(table, "work", 0, 60'000'000, cls.work);
  cls.latencyObjective = within(table, "aim", 1000, 600'000'000, cls.latencyObjective);
  cls.deadline = within(table, "deadline", 1000, 600'000'000, cls.deadline);
  if (cls.name.empty() || cls.name.find_first_of("/ ,=?#") != std::string::npos)
    table.fail("name", "a class's name is one word and part of paths");
  table.finish();
  return cls;
}

// All sidecars, or those of the zone or region that stands there.
std::vector<std::uint32_t> readPlace(Table& table, const Scenario& scenario) {
  const auto number = [&](const char* key, std::uint32_t most) {
    if (!table.has(key)) return 0U;
    if (most == 0) table.fail(key, std::string("the scenario has none; set ") + key + "s");
    return static_cast<std::uint32_t>(table.integer(key, 1, most));
  };
  const std::uint32_t zone = number("zone", scenario.zones), region = number("region", scenario.regions);
  std::vector<std::uint32_t> numbers;
  for (std::uint32_t n = 0; n < scenario.sidecars; ++n)
    if ((zone == 0 || scenario.zoneOf(n) == zone) && (region == 0 || scenario.regionOf(n) == region))
      numbers.push_back(n);
  return numbers;
}

// Sidecars named by their numbers, by one alone, by their zone or region, or as a share of these or of all,
// drawn by the seed and the event's time.
std::vector<std::uint32_t> readSidecars(Table& table, const char* list, const Scenario& scenario, Micros at) {
  std::vector<std::uint32_t> numbers;
  const bool group = list == std::string_view("group");
  if (group && (table.has("share") || table.has("zone") || table.has("region"))) {
    numbers = readPlace(table, scenario);
    if (table.has("share")) {
      const double share = table.number("share", 0, 1);
      std::mt19937_64 random(scenario.seed + static_cast<std::uint64_t>(at));
      std::shuffle(numbers.begin(), numbers.end(), random);
      numbers.resize(static_cast<std::size_t>(std::lround(share * static_cast<double>(numbers.size()))));
    }
  } else if (group && table.has("sidecar")) {
    numbers.push_back(static_cast<std::uint32_t>(table.integer("sidecar", 1, scenario.sidecars)) - 1);
  } else {
    for (const auto number : table.integers(list, 1, scenario.sidecars, kMaxSidecars))
      numbers.push_back(static_cast<std::uint32_t>(number) - 1);
  }
  if (numbers.empty())
    table.fail(list, "no sidecar is named, by 'sidecar', 'share', 'zone', 'region' or a list of numbers");
  return numbers;
}

fault::DatagramPlan readDatagrams(Table& table) {
  fault::DatagramPlan plan;
  plan.silent = table.flag("silent", false);
  plan.loss = table.number("loss", 0, 1, 0);
  plan.doubled = table.number("doubled", 0, 1, 0);
  plan.reordered = table.number("reordered", 0, 1, 0);
  plan.cut = table.number("cut", 0, 1, 0);
  plan.flipped = table.number("flipped", 0, 1, 0);
  plan.delay = within(table, "delay", 0, 600'000'000, 0);
  plan.jitter = within(table, "jitter", 0, 600'000'000, 0);
  return plan;
}

Event readEvent(Table& table, const Scenario& scenario) {
  Event event;
  const std::vector<std::string_view> words(kEvents.begin(), kEvents.end());
  event.kind = static_cast<Event::Kind>(table.choice("do", words));
  event.at = within(table, "at", 0, scenario.length, 0);
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::Hang:
    case Kind::Drain:
    case Kind::Die:
    case Kind::Start:
    case Kind::Fault:
      event.target = static_cast<std::uint32_t>(table.integer("node", 1, scenario.nodeCount())) - 1;
      break;
    case Kind::Partition:
    case Kind::Deafen:
    case Kind::Datagrams:
      if (!scenario.peers) table.fail("do", "sidecars say nothing to each other; set peers = true");
      event.group = readSidecars(table, "group", scenario, event.at);
      if (event.kind == Kind::Datagrams) event.to = readSidecars(table, "to", scenario, event.at);
      break;
    case Kind::Kill:
    case Kind::Pause:
      event.group = readSidecars(table, "group", scenario, event.at);
      break;
    case Kind::Reload:
      if (scenario.regions == 0) table.fail("do", "the scenario has no regions to change; set regions");
      event.group = readSidecars(table, "group", scenario, event.at);
      event.region = static_cast<std::uint32_t>(table.integer("new_region", 0, scenario.regions));
      break;
    case Kind::Terminate:
      event.target = static_cast<std::uint32_t>(table.integer("sidecar", 1, scenario.sidecars)) - 1;
      break;
    case Kind::Load:
      event.factor = table.number("factor", 0.001, 1000);
      event.tenant = table.text("tenant", "");
      if (!event.tenant.empty() && std::none_of(scenario.tenants.begin(), scenario.tenants.end(),
                                                [&](const Tenant& one) { return one.name == event.tenant; }))
        table.fail("tenant", "there is no [[tenant]] of this name");
      break;
    case Kind::DiscoveryDown:
    case Kind::DiscoverySilent:
      break;
  }
  const bool lasts = event.kind != Kind::Drain && event.kind != Kind::Die && event.kind != Kind::Start &&
                     event.kind != Kind::Terminate && event.kind != Kind::Reload;
  if (lasts) event.length = table.duration("for").count();
  if (event.kind == Kind::Fault) {
    const auto keys = {"group", "zone", "region"};
    if (std::any_of(keys.begin(), keys.end(), [&](const char* key) { return table.has(key); }))
      event.group = readSidecars(table, "group", scenario, event.at);
    auto plan = table.table("plan");
    if (!plan) table.fail("", "the key 'plan' is missing");
    event.plan = fault::readPlan(*plan);
    plan->finish();
  }
  if (event.kind == Kind::Datagrams) {
    auto plan = table.table("plan");
    if (!plan) table.fail("", "the key 'plan' is missing");
    event.datagrams = readDatagrams(*plan);
    plan->finish();
  }
  table.finish();
  return event;
}

void readRows(Table& root, Scenario& scenario) {
  for (Table& table : root.tables("node", kMaxRows)) scenario.nodes.push_back(readNode(table));
  if (scenario.nodes.empty()) root.fail("", "no [[node]]");
  if (scenario.nodeCount() > kMaxNodes) root.fail("node", "over 256 nodes in all");
  for (Table& table : root.tables("class", kMaxRows)) {
    scenario.classes.push_back(readClass(table));
    const auto same = std::count_if(scenario.classes.begin(), scenario.classes.end(), [&](const auto& one) {
      return one.name == scenario.classes.back().name;
    });
    if (same > 1) table.fail("name", "a class of this name is there already");
  }
  if (scenario.classes.empty()) root.fail("", "no [[class]]");
  for (Table& table : root.tables("tenant", kMaxRows)) {
    Tenant tenant{table.text("name"), table.number("share", 0, 1e6, 1)};
    table.finish();
    scenario.tenants.push_back(std::move(tenant));
  }
  if (scenario.tenants.empty()) scenario.tenants.push_back({"escuela", 1});
}

void readPlaces(Table& root, Scenario& scenario) {
  scenario.regions = static_cast<std::uint32_t>(root.integer("regions", 1, kMaxSidecars, 0));
  scenario.zones = static_cast<std::uint32_t>(root.integer("zones", 1, kMaxSidecars, scenario.regions));
  if (scenario.regions > 0 && !scenario.peers)
    root.fail("regions", "sidecars say nothing to each other; set peers = true");
  if (scenario.zones < scenario.regions)
    root.fail("zones", "fewer zones than regions, and each region has one at least; set zones = " +
                           std::to_string(scenario.regions) + " or more, or fewer regions");
  if (scenario.zones > scenario.sidecars)
    root.fail(root.has("zones") ? "zones" : "regions",
              "more than sidecars; set sidecars = " + std::to_string(scenario.zones) + " or more");
}

Scenario read(const configuration::Document& document) {
  Scenario scenario;
  Table root = document.root();
  scenario.name = root.text("name");
  scenario.length = within(root, "length", 1'000'000, kMaxLength, scenario.length);
  scenario.seed = static_cast<std::uint64_t>(root.integer("seed", 0, std::int64_t{1} << 62, 1));
  scenario.sidecars =
      static_cast<std::uint32_t>(root.integer("sidecars", 1, kMaxSidecars, scenario.sidecars));
  scenario.sockets = static_cast<std::uint32_t>(root.integer("sockets", 32, 1'000'000, scenario.sockets));
  scenario.cores = root.number("cores", 0.01, 1, scenario.cores);
  scenario.operatorFile = root.text("operator", "");
  scenario.rate = root.number("rate", 0.1, 100'000, scenario.rate);
  scenario.retries = static_cast<std::uint32_t>(root.integer("retries", 0, 10, 0));
  scenario.connections = static_cast<std::uint32_t>(root.integer("connections", 0, 20'000, 0));
  scenario.backoff = within(root, "backoff", 0, 60'000'000, scenario.backoff);
  scenario.impatient = root.number("impatient", 0, 1, 0);
  scenario.notice = within(root, "notice", 0, 600'000'000, scenario.notice);
  scenario.probes = root.flag("probes", true);
  scenario.peers = root.flag("peers", false);
  scenario.mayHedge = root.flag("second_copies", true);
  readPlaces(root, scenario);
  auto& rules = scenario.rules;
  rules.keyWindow = within(root, "key_window", 0, 600'000'000, rules.keyWindow);
  rules.drainGrace = within(root, "drain_grace", 0, 600'000'000, rules.drainGrace);
  rules.fallMultiple = root.number("fall_multiple", 0, 1000, rules.fallMultiple);
  rules.fallWindow = within(root, "fall_window", 1000, 600'000'000, rules.fallWindow);
  readRows(root, scenario);
  for (NodeKind& node : scenario.nodes) {
    node.model.fallMultiple = rules.fallMultiple;
    node.model.fallWindow = rules.fallWindow;
  }
  for (Table& table : root.tables("event", kMaxEvents)) scenario.events.push_back(readEvent(table, scenario));
  std::stable_sort(scenario.events.begin(), scenario.events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  root.finish();
  return scenario;
}

}  // namespace

const char* nameOf(Event::Kind kind) {
  return kEvents.at(static_cast<std::size_t>(kind));
}

std::uint32_t Scenario::nodeCount() const {
  std::uint32_t count = 0;
  for (const NodeKind& node : nodes) count += node.count;
  return count;
}

std::uint32_t Scenario::zoneOf(std::uint32_t sidecar) const {
  return zones == 0 ? 0 : 1 + sidecar % zones;
}

std::uint32_t Scenario::regionOf(std::uint32_t sidecar) const {
  return regions == 0 ? 0 : 1 + sidecar % zones % regions;
}

Scenario readScenario(const std::string& path) {
  return read(configuration::Document::read(path));
}

Scenario parseScenario(std::string_view text, const std::string& name) {
  return read(configuration::Document::parse(text, name));
}

json settingsOf(const Scenario& scenario, std::uint32_t sidecar) {
  json classes = json::array(), tenants = json::array(), kinds = json::array();
  for (const RequestClass& cls : scenario.classes) {
    const char* const semantics = cls.effect == Effect::Safe    ? "free"
                                  : cls.effect == Effect::Keyed ? "guarded"
                                                                : "single_shot";
    json one = {{"name", cls.name},       {"aim", cls.latencyObjective}, {"deadline", cls.deadline},
                {"semantics", semantics}, {"value", cls.worth},          {"group", "cell"}};
    if (cls.effect == Effect::Keyed) one["repeatWindow"] = scenario.rules.keyWindow;
    classes.push_back(std::move(one));
  }
  double all = 0;
  for (const Tenant& tenant : scenario.tenants) all += tenant.share;
  for (const Tenant& tenant : scenario.tenants)
    tenants.push_back({{"name", tenant.name}, {"share", all > 0 ? tenant.share / all : 0}});
  double cold = 1;
  Micros warm = 0;
  for (const NodeKind& node : scenario.nodes) {
    if (std::find(kinds.begin(), kinds.end(), node.name) == kinds.end()) kinds.push_back(node.name);
    cold = std::min(cold, node.model.coldShare);
    warm = std::max(warm, node.model.warm);
  }
  return {{"balancers", scenario.sidecars},
          {"index", sidecar},
          {"classes", classes},
          {"projects", tenants},
          {"skus", kinds},
          {"zones", {"oviedo-dc1"}},
          {"locality", "oviedo-dc1"},
          {"membershipMode", "automatic"},
          {"limits",
           {{"connectTimeout", 250'000},
            {"idleClose", 30'000'000},
            {"maxStreams", 1},
            {"maxAttempts", 3},
            {"mayCancel", true},
            {"probing", scenario.probes},
            {"secondCopies", scenario.mayHedge},
            {"retryAfter", false}}},
          {"report", {{"how", "probe"}, {"columns", {"failed_ps", "svc_ms", "served_ps", "busy_reqs"}}}},
          {"overShareWorth", 0.05},
          {"contract",
           {{"stopSendingWithin", scenario.rules.drainGrace},
            {"startCapacity", cold},
            {"cold", warm},
            {"fallMultiple", scenario.rules.fallMultiple},
            {"fall", scenario.rules.fallWindow}}}};
}

}  // namespace ivypost::fleet
