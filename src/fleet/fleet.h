// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Plays a scenario: stand-in nodes, each behind a fault proxy for each sidecar, a stand-in discovery, real
// ivypost processes, and a client beside each of them; the ledger judges. Everything but the sidecars runs on
// one loop.
#ifndef IVYPOST_FLEET_FLEET_H_
#define IVYPOST_FLEET_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fault/datagram_switch.h"
#include "fault/proxy.h"
#include "fleet/process.h"
#include "fleet/scenario.h"
#include "standins/client.h"
#include "standins/discovery.h"
#include "standins/ledger.h"
#include "standins/node.h"

namespace ivypost::fleet {

struct SidecarResult {
  double cpuSeconds = 0;  // of its last process
  std::size_t peakBytes = 0;
  std::uint32_t starts = 0;
  bool crashed = false;  // a process ended unasked, or not with 0 at SIGTERM
};

// Of one class of one tenant: first tries, and what of them was served within the latencyObjective at the
// first try or later.
struct Share {
  std::string requestClass, tenant;
  std::uint64_t offered = 0, inAim = 0;
};

struct Result {
  standins::Tally tally;
  std::vector<Share> shares;
  std::vector<standins::Breach> breaches;
  std::vector<SidecarResult> sidecars;
  std::uint64_t offered = 0, inAim = 0, clientRetries = 0, clientConnections = 0;
  std::uint64_t nodeConnections = 0, nodeArrivals = 0, probes = 0;
  std::uint64_t hungArrivals = 0;                  // at nodes while they hung
  std::uint64_t peerDatagrams = 0, peerBytes = 0;  // between sidecars
  std::uint32_t fallen = 0;                        // nodes that too much work pushed over
  Micros played = 0;
  bool interrupted = false;

  // No rule broken and nothing crashed.
  bool good() const;
};

// One second of it, for whoever watches.
struct Second {
  std::uint32_t number = 0;                                                     // from 1
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, unanswered = 0;  // in this second
  Micros median = 0, p99 = 0;                                                   // of what was served in it
  std::uint64_t breaches = 0;                                                   // so far
};

class Fleet {
 public:
  struct Options {
    std::string program;                        // ivypost
    std::string workDir;                        // where the sidecars' configurations are written; exists
    std::function<void(const Second&)> second;  // may be empty
    std::function<void(const std::string&)> happened;  // one line for each event; may be empty
    // Told where each sidecar hears the others, before the first starts: for what a test sends them besides.
    // What it gives lives as long as the loop. May be empty.
    std::function<std::shared_ptr<void>(boost::asio::io_context&,
                                        const std::vector<std::string>& peerListens)>
        built;
    std::function<void(const std::string&)> sidecarLog;  // one line of a sidecar's log; may be empty
    // More of a sidecar's environment, as "NAME=value", by its number from 1; may be empty.
    std::function<std::vector<std::string>(std::uint32_t sidecar)> environment;
  };

  Fleet(Scenario scenario, Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Plays it whole, or until SIGINT or SIGTERM, and ends every process. Throws std::runtime_error with one
  // line when the fleet can't start.
  Result play();

 private:
  struct Node;
  struct Sidecar;

  void build();
  void launch(Sidecar& sidecar);
  void awaitReady();
  void schedule();
  void happen(const Event& event);
  void over(const Event& event);
  void put(Node& node, standins::Discovery::State state, Micros delay);
  // Of this tenant alone, or of all of them if it has no name.
  void loadBy(double factor, const std::string& tenant = {});
  void writeOperatorFile(Sidecar& sidecar);
  void reload(const Event& event);
  void lay(const Event& event, const fault::Plan& plan);
  void cutOff(const std::vector<std::uint32_t>& from, const std::vector<std::uint32_t>& to,
              const fault::DatagramPlan& plan);
  void datagramFaults(const Event& event, const fault::DatagramPlan& plan);
  void throttle();
  void tick();
  void reap();
  void finish();
  bool runUntil(const std::function<bool()>& condition, Micros atMost);
  void after(Micros wait, std::function<void()> what);
  void say(const std::string& line) const;

  Scenario scenario_;
  const Options options_;
  boost::asio::io_context io_{1};
  boost::asio::signal_set signals_;
  standins::Ledger ledger_;
  std::vector<std::unique_ptr<standins::KeyMemory>> keys_;  // by group
  standins::Discovery discovery_;
  fault::DatagramSwitch datagrams_;  // between the sidecars
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  boost::asio::steady_timer ticks_, throttles_;
  Micros startedAt_ = 0;
  std::uint32_t seconds_ = 0;
  standins::Tally lastTally_;
  bool interrupted_ = false, playing_ = false;
  std::shared_ptr<void> guest_;  // of a test; the last, since it uses the loop
};

}  // namespace ivypost::fleet

#endif  // IVYPOST_FLEET_FLEET_H_
