// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A sidecar with a fake etcd as its source, while nodes are removed and added and members drop, stall,
// withhold and compact at random. The invariant checker verifies that no request reaches a removed node
// more than two seconds after its removal from the store. A second test changes the source at SIGHUP.
//
// IVYPOST_ETCD_SECONDS is the duration of the run, 60 by default. The times from removal to the last
// request are printed.
#include "sidecar.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "configuration/operator_file.h"
#include "discovery/etcd/etcd_source.h"
#include "settings/format_error.h"
#include "standins/client.h"
#include "standins/clock.h"
#include "standins/discovery.h"
#include "standins/etcd/cluster.h"
#include "standins/ledger.h"
#include "standins/node.h"

namespace ivypost::discovery::etcd {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
namespace fakes = standins;
using fakes::Effect;
using fakes::nowMicros;
using InvariantChecker = standins::Ledger;

constexpr Micros kMs = 1000, kSecond = 1'000'000;
// The limits of the rules, with an allowance for a machine that stops the process now and then.
constexpr Micros kGrace = 2 * kSecond, kSlack = kSecond / 2;

fakes::Rules rules() {
  fakes::Rules rules;
  rules.drainGrace = kGrace;
  rules.slack = kSlack;
  return rules;
}

class SidecarOnEtcd {
 public:
  explicit SidecarOnEtcd(int nodeCount, std::size_t members = 3)
      : checker(rules()),
        keys(600 * kMs),
        discovery(io, checker),
        cluster({members, {}, "", "", "", "", "", 2}) {
    for (int n = 0; n < nodeCount; ++n) {
      fakes::Node::Settings settings;
      settings.id = "n" + std::to_string(n);
      settings.model.cores = 4;
      settings.idle = 0;
      nodes.push_back(std::make_unique<fakes::Node>(io, settings, checker, keys));
      addresses.push_back(nodes.back()->listen("s1"));
      put(static_cast<std::size_t>(n));
    }
    file.membership.source = configuration::OperatorFile::Membership::Source::Etcd;
    for (std::size_t n = 0; n < members; ++n)
      file.membership.etcd.endpoints.push_back("http://127.0.0.1:" + std::to_string(cluster.port(n)));
  }

  void start(const configuration::OperatorFile& first) {
    for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"}) unsetenv(name);
    sidecar = std::make_unique<Sidecar>(io, parseConfig(configuration().dump()), first, makeEtcd());
    client = std::make_unique<fakes::Client>(
        io, tcp::endpoint(asio::ip::address_v4::loopback(), sidecar->port()), 1, 7, checker);
  }
  static Sidecar::MakeEtcd makeEtcd() {
    return [](asio::io_context& io, const Options& options, std::uint64_t seed,
              discovery::Source::Callbacks callbacks) -> std::unique_ptr<discovery::Source> {
      return std::make_unique<EtcdSource>(io, options, seed, std::move(callbacks), [](const std::string&) {});
    };
  }

  std::string key(std::size_t n) const { return "/ivypost/nodes/" + nodes[n]->id(); }
  std::string value(std::size_t n) const {
    const json entry = {{"hostPort", "127.0.0.1:" + std::to_string(addresses[n].port())},
                        {"zone", "oviedo-dc1"},
                        {"lifecycle", "up"},
                        {"startedAtMs", 0}};
    return entry.dump();
  }
  void put(std::size_t n, Micros notice = 0) {
    if (usesPlatform()) return setPlatformState(n, fakes::Discovery::State::Up, notice);
    checker.told("s1", nodes[n]->id(), true, nowMicros());
    cluster.put(key(n), value(n));
  }
  void remove(std::size_t n, Micros notice = 0) {
    if (usesPlatform()) return setPlatformState(n, fakes::Discovery::State::Removed, notice);
    cluster.remove(key(n));
    checker.told("s1", nodes[n]->id(), false, nowMicros());
  }
  void setPlatformState(std::size_t n, fakes::Discovery::State state, Micros notice) {
    fakes::Discovery::Entry entry;
    entry.id = nodes[n]->id();
    entry.addresses[""] = addresses[n];
    entry.state = state;
    discovery.put(entry, notice);
  }
  static bool usesPlatform() { return std::getenv("IVYPOST_ETCD_AGAINST") != nullptr; }

  void load(double rate) {
    fakes::Client::Load load;
    load.rate = rate;
    for (const auto& [name, effect] :
         {std::pair("consulta", Effect::Safe), std::pair("reserva", Effect::Keyed),
          std::pair("cambio", Effect::Unsafe)}) {
      fakes::Call call;
      call.requestClass = name;
      call.effect = effect;
      call.tenant = "nalon";
      load.shares.push_back({call, 1});
    }
    client->start(load);
  }

  void run(Micros span, const std::function<void()>& eachTurn = {}) {
    const Micros end = nowMicros() + span;
    while (nowMicros() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(2));
      if (eachTurn) eachTurn();
    }
  }
  bool until(const std::function<bool()>& condition) {
    const Micros end = nowMicros() + 60 * kSecond;
    while (!condition() && nowMicros() < end) run(5 * kMs);
    return condition();
  }

  std::string violations() {
    checker.settle(nowMicros() + 60 * kSecond);
    std::string text;
    for (const auto& breach : checker.breaches()) {
      text += "R" + std::to_string(breach.rule) + " " + breach.request + ": " + breach.what + "\n";
      for (const auto& line : breach.story) text += "    " + line + "\n";
    }
    return text;
  }

  json configuration() {
    const auto at = discovery.listen("s1");
    const auto cls = [](const char* name, const char* semantics) {
      return json{{"name", name}, {"aim", 500'000},  {"deadline", 1'000'000},    {"semantics", semantics},
                  {"value", 1},   {"group", "cell"}, {"repeatWindow", 600 * kMs}};
    };
    return {{"name", "s1"},
            {"listen", "127.0.0.1:0"},
            {"discovery", "127.0.0.1:" + std::to_string(at.port())},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"sockets", 256}}},
            {"settings",
             {{"balancers", 1},
              {"classes", {cls("reserva", "guarded"), cls("cambio", "single_shot"), cls("consulta", "free")}},
              {"projects", {{{"name", "nalon"}, {"share", 1.0}}}},
              {"limits",
               {{"connectTimeout", 250'000},
                {"idleClose", 30'000'000},
                {"maxAttempts", 3},
                {"maxStreams", 1},
                {"mayCancel", true}}},
              {"report", {{"how", "none"}}},
              {"contract", {{"stopSendingWithin", 2'000'000}}},
              {"zones", {"oviedo-dc1"}},
              {"locality", "oviedo-dc1"}}}};
  }

  asio::io_context io;
  InvariantChecker checker;
  fakes::KeyMemory keys;
  fakes::Discovery discovery;
  fakes::etcd::Cluster cluster;
  std::vector<std::unique_ptr<fakes::Node>> nodes;
  std::vector<tcp::endpoint> addresses;
  configuration::OperatorFile file;
  std::unique_ptr<Sidecar> sidecar;
  std::unique_ptr<fakes::Client> client;
};

// A removal, with the time of the last request that reached its node.
struct Removal {
  Micros at = 0, lastAt = 0;
  std::uint64_t arrivals = 0;
  bool isFinished = false;
};

Micros runSeconds() {
  const char* const text = std::getenv("IVYPOST_ETCD_SECONDS");
  return text != nullptr ? std::max(1, std::atoi(text)) : 60;
}

TEST(EtcdMembership, NoRequestReachesARemovedNodeAfterTwoSeconds) {
  constexpr std::size_t kNodes = 8;
  SidecarOnEtcd run(kNodes);
  const bool platform = SidecarOnEtcd::usesPlatform();
  run.start(platform ? configuration::OperatorFile{} : run.file);
  ASSERT_TRUE(run.until([&] { return run.sidecar->freshness().isConfirmed; }));
  run.load(300);
  std::mt19937_64 random(20261201);
  const auto pick = [&](std::size_t most) { return static_cast<std::size_t>(random() % most); };
  std::vector<Removal> removals;
  std::map<std::size_t, std::size_t> gone;  // index of the removal, by node
  std::size_t faultyMember = 0;             // the member with the current fault
  int fault = -1;
  Micros faultUntil = 0, nextChange = 0;
  std::uint64_t faults = 0;
  using Switch = void (fakes::etcd::Cluster::*)(std::size_t, bool);
  const Switch switches[] = {&fakes::etcd::Cluster::stall,        &fakes::etcd::Cluster::withhold,
                             &fakes::etcd::Cluster::lag,          &fakes::etcd::Cluster::refuse,
                             &fakes::etcd::Cluster::loseLeader,   &fakes::etcd::Cluster::repeatEvents,
                             &fakes::etcd::Cluster::progressAhead};
  run.run(runSeconds() * kSecond, [&] {
    const Micros now = nowMicros();
    for (auto& [node, number] : gone) {
      Removal& removal = removals[number];
      if (run.nodes[node]->arrivals() == removal.arrivals) continue;
      removal.arrivals = run.nodes[node]->arrivals();
      removal.lastAt = now;
    }
    if (now >= faultUntil) {
      if (fault >= 0) (run.cluster.*switches[fault])(faultyMember, false);
      fault = -1;
      faultUntil = now + static_cast<Micros>(pick(500)) * kMs;
      const std::size_t what = pick(10);
      faultyMember = pick(3);
      if (what < std::size(switches)) {
        fault = static_cast<int>(what);
        (run.cluster.*switches[fault])(faultyMember, true);
        faultUntil += static_cast<Micros>(200 + pick(2500)) * kMs;
        ++faults;
      } else if (what == 7) {
        run.cluster.compact();
      } else if (what == 8) {
        for (std::size_t n = 0; n < 3; ++n) run.cluster.dropStreams(n);
      } else {
        run.cluster.cutFragment(faultyMember);
      }
    }
    if (now < nextChange) return;
    nextChange = now + static_cast<Micros>(100 + pick(400)) * kMs;
    const std::size_t node = pick(kNodes);
    const auto found = gone.find(node);
    if (found == gone.end() && gone.size() < kNodes / 2) {
      run.remove(node, static_cast<Micros>(1000 + pick(4000)) * kMs);
      gone[node] = removals.size();
      removals.push_back({now, now, run.nodes[node]->arrivals(), false});
    } else if (found != gone.end() &&
               now - removals[found->second].at > (platform ? 6 * kSecond : kGrace + kSlack)) {
      run.put(node, static_cast<Micros>(1000 + pick(4000)) * kMs);
      removals[found->second].isFinished = true;
      gone.erase(found);
    }
  });
  run.client->stop();
  run.run(2 * kSecond);
  EXPECT_EQ(run.violations(), "");
  std::vector<Micros> times;
  for (const Removal& removal : removals) times.push_back(removal.lastAt - removal.at);
  std::sort(times.begin(), times.end());
  ASSERT_GE(times.size(), 5u);
  const auto quantile = [&](double part) {
    return static_cast<double>(
               times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))]) /
           1000;
  };
  std::printf(
      "%zu removals, %llu faults; removal to last request, ms: p50 %.1f p90 %.1f p99 %.1f most %.1f\n",
      times.size(), static_cast<unsigned long long>(faults), quantile(0.5), quantile(0.9), quantile(0.99),
      quantile(1));
  const auto& tally = run.checker.tally();
  std::printf("%llu requests, %llu served, %llu refused, %llu failed\n",
              static_cast<unsigned long long>(tally.sent), static_cast<unsigned long long>(tally.served),
              static_cast<unsigned long long>(tally.refused), static_cast<unsigned long long>(tally.failed));
  if (platform) return;
  EXPECT_LT(times.back(), kGrace + kSlack);
  EXPECT_GT(static_cast<double>(tally.served), 0.99 * static_cast<double>(tally.sent));
}

// Changes the source from the platform's discovery to etcd and back under load. A new source that can't be
// reached leaves the old one active, and a source that can't be created changes nothing.
TEST(EtcdMembership, TheSourceIsChangedWithoutAGap) {
  SidecarOnEtcd run(4);
  for (std::size_t n = 0; n < 3; ++n) {
    fakes::Discovery::Entry entry;
    entry.id = run.nodes[n]->id();
    entry.addresses[""] = run.addresses[n];
    run.discovery.put(entry);
  }
  run.start({});
  ASSERT_TRUE(run.until([&] { return run.discovery.calls() > 1; }));
  run.load(200);
  run.run(300 * kMs);
  EXPECT_EQ(run.nodes[3]->arrivals(), 0u) << "only etcd lists the node";
  const auto config = parseConfig(run.configuration().dump());
  configuration::OperatorFile unreachable = run.file;
  unreachable.membership.etcd.endpoints = {"http://127.0.0.1:1"};
  run.sidecar->reload(config, unreachable);
  run.run(500 * kMs);
  EXPECT_EQ(run.nodes[3]->arrivals(), 0u);
  configuration::OperatorFile bad = run.file;
  bad.membership.etcd.ca = "/nowhere";
  bad.membership.etcd.endpoints = {"https://127.0.0.1:1"};
  EXPECT_THROW(run.sidecar->reload(config, bad), settings::FormatError);
  run.sidecar->reload(config, run.file);
  EXPECT_TRUE(run.until([&] { return run.nodes[3]->arrivals() > 0; })) << "etcd is the active source";
  // Back to the platform's discovery, which does not list node n3.
  run.sidecar->reload(config, {});
  run.checker.told("s1", "n3", false, nowMicros());
  run.run(3 * kSecond);
  run.client->stop();
  run.run(2 * kSecond);
  EXPECT_EQ(run.violations(), "");
  EXPECT_EQ(run.checker.tally().served, run.checker.tally().sent);
}

// A program that is built without etcd reports it in one line.
TEST(EtcdMembership, NeedsAProgramBuiltWithEtcd) {
  SidecarOnEtcd run(1);
  try {
    const Sidecar sidecar(run.io, parseConfig(run.configuration().dump()), run.file);
    FAIL();
  } catch (const settings::FormatError& error) {
    EXPECT_NE(std::string(error.what()).find("ivypost-etcd"), std::string::npos);
  }
}

}  // namespace
}  // namespace ivypost::discovery::etcd
