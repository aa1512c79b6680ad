// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A sidecar between a client and stand-in nodes, each node behind a fault proxy, on one event loop and
// loopback, with the ledger as judge.
#ifndef IVYPOST_E2E_WORLD_H_
#define IVYPOST_E2E_WORLD_H_

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fault/proxy.h"
#include "sidecar.h"
#include "standins/client.h"
#include "standins/clock.h"
#include "standins/discovery.h"
#include "standins/ledger.h"
#include "standins/node.h"

namespace ivypost::e2e {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using standins::Call;
using standins::Client;
using standins::Effect;

constexpr Micros kKeyWindow = 600'000;

// All that plays here shares one loop with the sidecar: where the machine stops the process for a while, an
// answer is late through no fault of the sidecar's. That it is not late by itself is tested by deadlines_test
// and on made-up time by balancer_test.
constexpr Micros kSlack = 1'000'000;
inline standins::Rules rules() {
  standins::Rules rules;
  rules.slack = kSlack;
  return rules;
}

class World {
 public:
  // So many nodes of one group, listed from the start. `patch`: merged into the sidecar's configuration.
  explicit World(int count, const json& patch = json::object(), int receiveBuffer = 0)
      : ledger(rules()), keys(kKeyWindow), discovery(io, ledger) {
    for (int n = 0; n < count; ++n) addNode("n" + std::to_string(n + 1), receiveBuffer);
    for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"}) unsetenv(name);
    sidecar = std::make_unique<Sidecar>(io, parseConfig(configuration(patch).dump()));
    client = std::make_unique<Client>(io, tcp::endpoint(asio::ip::address_v4::loopback(), sidecar->port()), 1,
                                      7, ledger);
    EXPECT_TRUE(until([this] { return discovery.calls() > 0; }));
  }

  void addNode(const std::string& id, int receiveBuffer = 0) {
    standins::Node::Settings settings;
    settings.id = id;
    settings.idle = 0;
    settings.model.cores = 4;
    nodes.push_back(std::make_unique<standins::Node>(io, settings, ledger, keys));
    fault::Proxy::Options options;
    options.listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    options.to = nodes.back()->listen("s1");
    options.receiveBuffer = receiveBuffer;
    options.log = [this, n = proxies.size()](std::uint64_t, const fault::Done&) { onFault(n); };
    proxies.push_back(std::make_unique<fault::Proxy>(io, std::move(options)));
    standins::Discovery::Entry entry;
    entry.id = id;
    const auto address = fault::formatAddress(proxies.back()->address());
    entry.addresses[""] =
        tcp::endpoint(asio::ip::address_v4::loopback(),
                      static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    discovery.put(std::move(entry));
  }

  // The plan lies in wait at each node; the first whose fault is done keeps it, the others pass all on from
  // then.
  void lieInWait(const fault::Plan& plan) {
    waiting_ = true;
    for (const auto& proxy : proxies) proxy->apply(plan);
  }
  bool faultDone() const { return !waiting_; }

  // Sends one request and waits until it is over.
  Client::Result ask(const Call& call) {
    Client::Result answer;
    bool over = false;
    lastId = client->send(call, [&](const Client::Result& result) {
      answer = result;
      over = true;
    });
    EXPECT_TRUE(until([&] { return over; }));
    return answer;
  }

  std::uint32_t arrivalsOf(const std::string& id) const {
    std::uint32_t count = 0;
    for (const auto& node : nodes) count += node->arrivalsOf(id);
    return count;
  }

  // The configuration with discovery at another address, as it is read anew at SIGHUP.
  Config movedDiscovery(const std::string& address) {
    return parseConfig(configuration({{"discovery", address}}).dump());
  }

  // What the ledger has to say, one line a breach with its story; empty: nothing.
  std::string judged() {
    ledger.settle(standins::nowMicros() + 60'000'000);
    std::string text;
    for (const auto& breach : ledger.breaches()) {
      text += "R" + std::to_string(breach.rule) + " " + breach.request + ": " + breach.what + "\n";
      for (const auto& line : breach.story) text += "    " + line + "\n";
    }
    return text;
  }

  // Runs the loop until the condition holds; false when that takes far too long.
  bool until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  asio::io_context io;
  standins::Ledger ledger;
  standins::KeyMemory keys;
  standins::Discovery discovery;
  std::vector<std::unique_ptr<standins::Node>> nodes;
  std::vector<std::unique_ptr<fault::Proxy>> proxies;
  std::unique_ptr<Sidecar> sidecar;
  std::unique_ptr<Client> client;
  std::string lastId;

 private:
  void onFault(std::size_t at) {
    if (!std::exchange(waiting_, false)) return;
    // Not from within the proxy's own call.
    asio::post(io, [this, at] {
      for (std::size_t n = 0; n < proxies.size(); ++n) {
        if (n != at) proxies[n]->apply({});
      }
    });
  }

  json configuration(const json& patch) {
    const auto at = discovery.listen("s1");
    const auto cls = [](const char* name, const char* semantics) {
      return json{{"name", name}, {"aim", 500'000},  {"deadline", 1'000'000},     {"semantics", semantics},
                  {"value", 1},   {"group", "cell"}, {"repeatWindow", kKeyWindow}};
    };
    json file = {
        {"name", "s1"},
        {"listen", "127.0.0.1:0"},
        {"discovery", "127.0.0.1:" + std::to_string(at.port())},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"sockets", 256}}},
        {"known", discovery.whole("s1")},
        {"settings",
         {{"balancers", 1},
          {"classes", {cls("reserva", "guarded"), cls("cambio", "single_shot"), cls("consulta", "free")}},
          {"projects", {{{"name", "nalon"}, {"share", 1.0}}}},
          {"limits",
           {{"connectTimeout", 250'000},
            {"idleClose", 30'000'000},
            {"maxAttempts", 3},
            {"maxStreams", 1},
            {"mayCancel", true},
            {"secondCopies", false},
            {"probing", false}}},
          {"report", {{"how", "none"}}},
          {"contract", {{"stopSendingWithin", 2'000'000}}},
          {"zones", {"oviedo-dc1"}},
          {"locality", "oviedo-dc1"}}}};
    file.merge_patch(patch);
    return file;
  }

  bool waiting_ = false;
};

inline Call callOf(Effect effect, Micros deadline, std::size_t bodyBytes = 40) {
  Call call;
  call.effect = effect;
  call.requestClass = effect == Effect::Safe ? "consulta" : effect == Effect::Keyed ? "reserva" : "cambio";
  call.tenant = "nalon";
  call.deadline = deadline;
  call.bodyBytes = bodyBytes;
  return call;
}

}  // namespace ivypost::e2e

#endif  // IVYPOST_E2E_WORLD_H_
