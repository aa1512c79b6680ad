// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A scenario of the stand-in fleet: what nodes, sidecars and clients there are, and what happens to them
// when. Plain data, read from TOML; docs/operators/fault-injection.md has the form.
#ifndef IVYPOST_FLEET_SCENARIO_H_
#define IVYPOST_FLEET_SCENARIO_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "fault/datagram.h"
#include "fault/plan.h"
#include "standins/ledger.h"
#include "standins/node_model.h"

namespace ivypost::fleet {

using standins::Micros;

struct NodeKind {
  std::uint32_t count = 1;
  std::string name = "nodo-medio";
  standins::NodeSettings model;
};

struct RequestClass {
  std::string name;
  standins::Effect effect = standins::Effect::Safe;
  double share = 1;  // of the arrivals, relative to the others
  double worth = 1;
  Micros work = 10'000;  // mean, of a core at speed 1
  Micros latencyObjective = 500'000, deadline = 1'000'000;
};

struct Tenant {
  std::string name;
  double share = 1;  // of the arrivals, relative to the others; also its quota
};

struct Event {
  enum class Kind : std::uint8_t {
    Hang,             // the node takes requests and answers none, for `length`
    Drain,            // discovery tells it after `notice`; the node finishes what it has
    Die,              // the node's process ends; discovery tells it after `notice`
    Start,            // the node starts again, cold; discovery tells it after `notice`
    Fault,            // the plan lies between the node and all sidecars, or those of `group`, for `length`
    DiscoveryDown,    // for `length`
    DiscoverySilent,  // for `length`
    Load,             // the rate is `factor` times the scenario's, for `length`
    Partition,        // the sidecars of `group` and the others don't hear each other, for `length`
    Deafen,           // the sidecars of `group` hear no other sidecar, but can send, for `length`
    Datagrams,        // the plan lies between the sidecars `group` and those of `to`, one way, for `length`
    Kill,             // the sidecars get SIGKILL, and start again after `length`
    Terminate,        // the sidecar gets SIGTERM, and starts again when it has ended
    Pause,            // the sidecars get SIGSTOP, and go on after `length`
    Reload,           // the sidecars' operator's files have `region` from now on, and they get SIGHUP
  };
  Kind kind = Kind::Hang;
  Micros at = 0, length = 0;
  std::uint32_t target = 0;  // the node's or sidecar's number, from 0
  // Sidecars, by their numbers from 0; of Kill, Pause, Reload and Fault too. A share of them, or of a zone's
  // or region's, is drawn by the scenario's seed.
  std::vector<std::uint32_t> group, to;
  std::uint32_t region = 0;  // of Reload; 0: none told
  fault::DatagramPlan datagrams;
  double factor = 1;
  std::string tenant;  // of Load: whose alone; empty: everybody's
  fault::Plan plan;
};
const char* nameOf(Event::Kind kind);

struct Scenario {
  std::string name;
  Micros length = 30'000'000;
  std::uint64_t seed = 1;
  std::uint32_t sidecars = 3;
  std::uint32_t sockets = 1024;  // descriptors of a sidecar
  double cores = 1;              // of processor that a sidecar may use; it is stopped for what it uses beyond
  std::string operatorFile;      // the sidecars' own, by its path; empty: none
  std::vector<NodeKind> nodes;
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  double rate = 100;  // first tries a second, over all clients; they share it evenly
  std::uint32_t connections =
      0;  // of one sidecar's clients at the most; 0: a third of the sidecar's descriptors
  std::uint32_t retries = 0;
  Micros backoff = 50'000;
  double impatient = 0;
  Micros notice = 1'000'000;  // from a change to when discovery tells it
  bool probes = true, mayHedge = true;
  bool peers = false;  // sidecars find each other and share judgements; each way between two has its faults
  // Sidecars go to the zones in turn, and zones to the regions; a zone is in one region. Zones only name
  // groups for events; the region is told to each sidecar, with how many are in it. 0: none.
  std::uint32_t zones = 0, regions = 0;
  standins::Rules rules;
  std::vector<Event> events;  // in the order of their times

  std::uint32_t nodeCount() const;
  // Of the sidecar by its number from 0, each from 1; 0: there are none.
  std::uint32_t zoneOf(std::uint32_t sidecar) const;
  std::uint32_t regionOf(std::uint32_t sidecar) const;
};

constexpr std::uint32_t kMaxSidecars = 64, kMaxNodes = 256;

// Both throw configuration::Error, whose text is one line with file, line, key and what is allowed.
Scenario readScenario(const std::string& path);
Scenario parseScenario(std::string_view text, const std::string& name);

// The `settings` of a sidecar's configuration for this scenario, as the platform would give them.
nlohmann::json settingsOf(const Scenario& scenario, std::uint32_t sidecar);

}  // namespace ivypost::fleet

#endif  // IVYPOST_FLEET_SCENARIO_H_
