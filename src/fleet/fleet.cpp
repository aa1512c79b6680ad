// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fleet/fleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "fleet/throttle.h"
#include "standins/clock.h"

namespace ivypost::fleet {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using standins::nowMicros;
using State = standins::Discovery::State;

constexpr std::uint32_t kNodesAGroup = 8;
constexpr Micros kReadyWithin = 15'000'000;
// A sidecar ends within the longest deadline, of which 3 s count at the most, and 0.7 s of SIGTERM.
constexpr Micros kEndWithin = 8'000'000;
// What still runs when the load ends is waited for so long behind the longest deadline.
constexpr Micros kSettle = 500'000;

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::uint16_t portOf(const fault::Address& address) {
  const std::string text = fault::formatAddress(address);
  return static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)));
}

}  // namespace

// A node, and the proxy through which each sidecar reaches it.
struct Fleet::Node {
  std::uint32_t number = 0;
  std::unique_ptr<standins::Node> node;
  std::vector<std::unique_ptr<fault::Proxy>> proxies;  // by sidecar
  standins::Discovery::Entry entry;
};

// NOLINTNEXTLINE(bugprone-exception-escape): the JSON library's moves may throw where memory has run out.
struct Fleet::Sidecar {
  std::uint32_t number = 0;
  std::string name, config;  // the latter: its file
  json settings;
  std::uint16_t discoveryPort = 0, port = 0;
  std::string peerListen, peerAddress;  // where it hears the others, and where they reach it
  std::string operatorFile;             // its path; empty: none
  std::uint32_t region = 0;             // as its operator's file has it; 0: not told
  // Bound and never listening: keeps the sidecar's port ours from one process to the next.
  std::unique_ptr<tcp::socket> keeper;
  std::unique_ptr<Process> process;
  std::optional<Throttle> throttle;  // none: the whole core
  bool paused = false, throttled = false;
  std::unique_ptr<standins::Client> client;
  bool ready = false, wanted = true;  // wanted: it isn't to end
  SidecarResult result;
};

bool Result::good() const {
  const bool crashed =
      std::any_of(sidecars.begin(), sidecars.end(), [](const SidecarResult& one) { return one.crashed; });
  return !crashed && std::all_of(tally.breaches.begin(), tally.breaches.end(), [](auto n) { return n == 0; });
}

Fleet::Fleet(Scenario scenario, Options options)
    : scenario_(std::move(scenario)),
      options_(std::move(options)),
      signals_(io_, SIGINT, SIGTERM),
      ledger_(scenario_.rules),
      discovery_(io_, ledger_),
      datagrams_(io_, scenario_.seed),
      ticks_(io_),
      throttles_(io_) {}

Fleet::~Fleet() = default;

void Fleet::say(const std::string& line) const {
  if (options_.happened) options_.happened(line);
}

void Fleet::after(Micros wait, std::function<void()> what) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(wait));
  timer->async_wait([this, timer, what = std::move(what)](const boost::system::error_code& cancelled) {
    if (!cancelled && playing_) what();
  });
}

bool Fleet::runUntil(const std::function<bool()>& condition, Micros atMost) {
  const Micros end = nowMicros() + atMost;
  while (!condition()) {
    if (nowMicros() > end) return false;
    io_.restart();
    io_.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

// ---- Before -----------------------------------------------------------------------------------------------

void Fleet::build() {
  std::vector<asio::ip::udp::socket> held;
  for (std::uint32_t n = 0; n < scenario_.sidecars; ++n) {
    auto sidecar = std::make_unique<Sidecar>();
    sidecar->number = n;
    sidecar->name = "s" + std::to_string(n + 1);
    sidecar->config = options_.workDir + "/" + sidecar->name + ".json";
    sidecar->settings = settingsOf(scenario_, n);
    sidecar->operatorFile = scenario_.operatorFile;
    sidecar->region = scenario_.regionOf(n);
    sidecar->keeper = std::make_unique<tcp::socket>(io_, tcp::v4());
    sidecar->keeper->set_option(tcp::socket::reuse_address(true));
    sidecar->keeper->bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    sidecar->port = sidecar->keeper->local_endpoint().port();
    if (scenario_.peers) {
      // Held until all have theirs, and closed then, since the sidecar binds it: or two would now and then
      // have the same.
      auto& free = held.emplace_back(io_, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
      const auto own = free.local_endpoint();
      sidecar->peerListen = "127.0.0.1:" + std::to_string(own.port());
      sidecar->peerAddress = "127.0.0.1:" + std::to_string(datagrams_.add(own).port());
    }
    sidecar->discoveryPort = discovery_.listen(sidecar->name).port();
    sidecars_.push_back(std::move(sidecar));
  }
  for (const NodeKind& kind : scenario_.nodes) {
    for (std::uint32_t n = 0; n < kind.count; ++n) {
      auto node = std::make_unique<Node>();
      node->number = static_cast<std::uint32_t>(nodes_.size());
      const std::uint32_t group = node->number / kNodesAGroup;
      while (keys_.size() <= group)
        keys_.push_back(std::make_unique<standins::KeyMemory>(scenario_.rules.keyWindow));
      standins::Node::Settings settings;
      settings.id = "n" + std::to_string(node->number + 1);
      settings.group = std::to_string(group);
      settings.model = kind.model;
      settings.probes = scenario_.probes;
      settings.seed = scenario_.seed * 1000 + node->number;
      for (const RequestClass& cls : scenario_.classes) settings.work[cls.name] = cls.work;
      node->node = std::make_unique<standins::Node>(io_, settings, ledger_, *keys_[group]);
      node->entry.id = settings.id;
      node->entry.kind = kind.name;
      node->entry.cell = group;
      for (const auto& sidecar : sidecars_) {
        fault::Proxy::Options options;
        options.listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
        options.to = node->node->listen(sidecar->name);
        options.seed = scenario_.seed ^ (node->number * 0x9e3779b97f4a7c15u + sidecar->number);
        node->proxies.push_back(std::make_unique<fault::Proxy>(io_, std::move(options)));
        node->entry.addresses[sidecar->name] =
            tcp::endpoint(asio::ip::address_v4::loopback(), portOf(node->proxies.back()->address()));
      }
      nodes_.push_back(std::move(node));
      put(*nodes_.back(), State::Up, 0);
    }
  }
}

// The scenario's, and [peers] behind it.
void Fleet::writeOperatorFile(Sidecar& sidecar) {
  const std::string key = options_.workDir + "/peers.key";
  if (!std::ifstream(key)) std::ofstream(key) << std::string(64, 'a') << "\n";
  sidecar.operatorFile = options_.workDir + "/" + sidecar.name + ".toml";
  std::ofstream file(sidecar.operatorFile);
  if (!scenario_.operatorFile.empty()) file << std::ifstream(scenario_.operatorFile).rdbuf() << "\n";
  file << "[peers]\non = true\nkey_file = \"" << key << "\"\n";
  if (sidecar.region == 0) return;
  const auto inRegion = std::count_if(sidecars_.begin(), sidecars_.end(),
                                      [&](const auto& one) { return one->region == sidecar.region; });
  file << "region = " << sidecar.region << "\nregion_sidecars = " << inRegion << "\n";
}

// The files of the others stay as they are, also where their region has another size now.
void Fleet::reload(const Event& event) {
  for (const auto number : event.group) sidecars_[number]->region = event.region;
  for (const auto number : event.group) {
    writeOperatorFile(*sidecars_[number]);
    sidecars_[number]->process->signal(SIGHUP);
  }
}

void Fleet::put(Node& node, State state, Micros delay) {
  node.entry.state = state;
  discovery_.put(node.entry, delay);
}

void Fleet::launch(Sidecar& sidecar) {
  // Hexadecimal as it stands, and another one at each start.
  const std::string seed =
      std::to_string(scenario_.seed * 100'000 + sidecar.result.starts * std::uint64_t{100} + sidecar.number);
  json file = {{"name", sidecar.name},
               {"listen", "127.0.0.1:" + std::to_string(sidecar.port)},
               {"discovery", "127.0.0.1:" + std::to_string(sidecar.discoveryPort)},
               {"seed", seed},
               {"limits", {{"cores", scenario_.cores}, {"memory_mb", 192}, {"sockets", scenario_.sockets}}},
               {"known", discovery_.whole(sidecar.name)},
               {"settings", sidecar.settings}};
  if (scenario_.peers) {
    file["peer_listen"] = sidecar.peerListen;
    for (const auto& one : sidecars_) file["peers"].push_back(one->peerAddress);
  }
  std::ofstream(sidecar.config) << file.dump(1) << "\n";
  sidecar.ready = sidecar.throttled = false;
  sidecar.wanted = true;
  sidecar.throttle.reset();
  if (scenario_.cores < 1) sidecar.throttle.emplace(scenario_.cores, nowMicros());
  ++sidecar.result.starts;
  std::vector<std::string> arguments;
  if (!sidecar.operatorFile.empty()) arguments = {"--operator", sidecar.operatorFile};
  std::vector<std::string> environment;
  if (options_.environment) environment = options_.environment(sidecar.number + 1);
  environment.push_back("GW_CONFIG=" + sidecar.config);
  sidecar.process = std::make_unique<Process>(io_, options_.program, arguments, environment,
                                              [this, &sidecar](const std::string& line) {
                                                if (line.rfind("ready on port ", 0) == 0)
                                                  sidecar.ready = true;
                                                if (options_.sidecarLog)
                                                  options_.sidecarLog(sidecar.name + ": " + line);
                                              });
}

void Fleet::awaitReady() {
  const bool up = runUntil(
      [this] {
        reap();
        return interrupted_ || std::all_of(sidecars_.begin(), sidecars_.end(),
                                           [](const auto& one) { return one->ready || one->result.crashed; });
      },
      kReadyWithin);
  for (const auto& one : sidecars_) {
    if (interrupted_) return;
    if (one->result.crashed || !up)
      throw std::runtime_error(one->name + " did not get ready: " + options_.program + " with " +
                               one->config);
  }
  for (const auto& one : sidecars_) {
    one->client =
        std::make_unique<standins::Client>(io_, tcp::endpoint(asio::ip::address_v4::loopback(), one->port),
                                           one->number + 1, scenario_.seed * 77 + one->number, ledger_);
  }
}

// ---- While it plays ---------------------------------------------------------------------------------------

void Fleet::loadBy(double factor, const std::string& tenant) {
  double all = 0, changed = 0;
  const auto weight = [&](const Tenant& one) {
    return one.share * (tenant.empty() || one.name == tenant ? factor : 1);
  };
  for (const Tenant& one : scenario_.tenants) {
    all += one.share;
    changed += weight(one);
  }
  for (const auto& sidecar : sidecars_) {
    standins::Client::Load load;
    load.rate = std::max(0.001, changed / all * scenario_.rate / scenario_.sidecars);
    load.retries = scenario_.retries;
    load.backoff = scenario_.backoff;
    load.impatient = scenario_.impatient;
    load.maxConnections = scenario_.connections > 0 ? scenario_.connections : scenario_.sockets / 3;
    for (const RequestClass& cls : scenario_.classes) {
      for (const Tenant& one : scenario_.tenants) {
        standins::Call call;
        call.requestClass = cls.name;
        call.effect = cls.effect;
        call.tenant = one.name;
        call.deadline = cls.deadline;
        call.latencyObjective = cls.latencyObjective;
        load.shares.push_back({call, cls.share * weight(one)});
      }
    }
    sidecar->client->start(std::move(load));
  }
}

void Fleet::schedule() {
  for (const Event& event : scenario_.events) {
    after(event.at, [this, &event] {
      happen(event);
      if (event.length > 0) after(event.length, [this, &event] { over(event); });
    });
  }
}

void Fleet::happen(const Event& event) {
  using Kind = Event::Kind;
  std::string what = nameOf(event.kind);
  switch (event.kind) {
    case Kind::Hang:
      nodes_[event.target]->node->hang(true);
      break;
    case Kind::Drain:
      put(*nodes_[event.target], State::Draining, scenario_.notice);
      // It goes on serving what reaches it before all are told: the protocol lets a drained node turn away,
      // but the ledger's rule is the sidecar's.
      break;
    case Kind::Die:
      nodes_[event.target]->node->die();
      put(*nodes_[event.target], State::Removed, scenario_.notice);
      break;
    case Kind::Start:
      nodes_[event.target]->node->start();
      nodes_[event.target]->entry.startedAtMs = unixMillis();
      put(*nodes_[event.target], State::Up, scenario_.notice);
      break;
    case Kind::Fault:
      lay(event, event.plan);
      break;
    case Kind::DiscoveryDown:
      discovery_.down();
      break;
    case Kind::DiscoverySilent:
      discovery_.silent(true);
      break;
    case Kind::Load:
      loadBy(event.factor, event.tenant);
      break;
    case Kind::Partition:
    case Kind::Datagrams:
    case Kind::Deafen: {
      fault::DatagramPlan silence;
      silence.silent = true;
      datagramFaults(event, event.kind == Kind::Datagrams ? event.datagrams : silence);
      break;
    }
    case Kind::Kill:
      for (const auto number : event.group) {
        Sidecar& sidecar = *sidecars_[number];
        sidecar.wanted = false;
        sidecar.client->sidecarGone(true);
        sidecar.process->signal(SIGKILL);
      }
      break;
    case Kind::Terminate:
      sidecars_[event.target]->wanted = false;
      sidecars_[event.target]->process->signal(SIGTERM);
      break;
    case Kind::Pause:
      for (const auto number : event.group) {
        sidecars_[number]->paused = true;
        sidecars_[number]->process->signal(SIGSTOP);
      }
      break;
    case Kind::Reload:
      reload(event);
      break;
  }
  const bool ofNode = event.kind <= Kind::Fault;
  if (ofNode) what += " n" + std::to_string(event.target + 1);
  if (event.kind == Kind::Terminate) what += " s" + std::to_string(event.target + 1);
  for (const auto number : event.group) what += " s" + std::to_string(number + 1);
  say(what);
}

void Fleet::lay(const Event& event, const fault::Plan& plan) {
  const auto& proxies = nodes_[event.target]->proxies;
  for (std::uint32_t n = 0; n < proxies.size(); ++n) {
    const bool named = std::find(event.group.begin(), event.group.end(), n) != event.group.end();
    if (event.group.empty() || named) proxies[n]->apply(plan);
  }
}

void Fleet::cutOff(const std::vector<std::uint32_t>& from, const std::vector<std::uint32_t>& to,
                   const fault::DatagramPlan& plan) {
  for (const auto one : from)
    for (const auto other : to)
      if (one != other) datagrams_.apply(one, other, plan);
}

// Of two that overlap the later one counts, and its end ends both.
void Fleet::datagramFaults(const Event& event, const fault::DatagramPlan& plan) {
  std::vector<std::uint32_t> others;
  for (std::uint32_t n = 0; n < sidecars_.size(); ++n) {
    const bool inGroup = std::find(event.group.begin(), event.group.end(), n) != event.group.end();
    if (!inGroup || event.kind == Event::Kind::Deafen) others.push_back(n);
  }
  if (event.kind == Event::Kind::Datagrams) {
    cutOff(event.group, event.to, plan);
  } else {
    cutOff(others, event.group, plan);
    if (event.kind == Event::Kind::Partition) cutOff(event.group, others, plan);
  }
}

void Fleet::over(const Event& event) {
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::Hang:
      nodes_[event.target]->node->hang(false);
      break;
    case Kind::Fault:
      lay(event, {});
      break;
    case Kind::DiscoveryDown:
      discovery_.up();
      break;
    case Kind::DiscoverySilent:
      discovery_.silent(false);
      break;
    case Kind::Load:
      loadBy(1);
      break;
    case Kind::Partition:
    case Kind::Deafen:
    case Kind::Datagrams:
      datagramFaults(event, {});
      break;
    case Kind::Kill:
      for (const auto number : event.group) {
        launch(*sidecars_[number]);
        sidecars_[number]->client->sidecarGone(false);
      }
      break;
    case Kind::Pause:
      for (const auto number : event.group) {
        sidecars_[number]->paused = false;
        sidecars_[number]->process->signal(SIGCONT);
      }
      break;
    case Kind::Drain:
    case Kind::Die:
    case Kind::Start:
    case Kind::Terminate:
    case Kind::Reload:
      return;
  }
  say(std::string(nameOf(event.kind)) + " is over");
}

// Each sidecar gets its part of a core; what it overdraws between two looks is owed (Throttle).
void Fleet::throttle() {
  if (scenario_.cores >= 1) return;
  throttles_.expires_after(std::chrono::microseconds(Throttle::kPeriod / 50));
  throttles_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled || !playing_) return;
    for (const auto& one : sidecars_) {
      if (!one->throttle || one->paused) continue;
      const bool stop = !one->throttle->mayRun(one->process->processor(), nowMicros());
      if (stop == one->throttled) continue;
      one->throttled = stop;
      one->process->signal(stop ? SIGSTOP : SIGCONT);
    }
    throttle();
  });
}

// Notices processes that have ended, and starts anew the ones that were told to.
void Fleet::reap() {
  for (const auto& sidecar : sidecars_) {
    if (!sidecar->process || sidecar->result.crashed) continue;
    const auto code = sidecar->process->ended();
    if (!code) continue;
    if (sidecar->wanted || (*code != 0 && *code != 128 + SIGKILL)) {
      sidecar->result.crashed = true;
      say(sidecar->name + " ended by itself, with " + std::to_string(*code));
    } else if (*code == 0 && playing_) {
      launch(*sidecar);
    }
  }
}

void Fleet::tick() {
  ticks_.expires_at(standins::timeOf(startedAt_ + static_cast<Micros>(seconds_ + 1) * 1'000'000));
  ticks_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled || !playing_) return;
    ++seconds_;
    ledger_.settle(nowMicros());
    reap();
    const standins::Tally& now = ledger_.tally();
    Second second;
    second.number = seconds_;
    second.sent = now.sent - lastTally_.sent;
    second.served = now.served - lastTally_.served;
    second.refused = now.refused - lastTally_.refused;
    second.failed = now.failed - lastTally_.failed;
    second.unanswered = now.unanswered - lastTally_.unanswered;
    for (const auto count : now.breaches) second.breaches += count;
    std::vector<Micros> latencies(
        now.latencies.begin() + static_cast<std::ptrdiff_t>(lastTally_.latencies.size()),
        now.latencies.end());
    std::sort(latencies.begin(), latencies.end());
    if (!latencies.empty()) {
      second.median = latencies[latencies.size() / 2];
      second.p99 = latencies[latencies.size() * 99 / 100];
    }
    lastTally_ = now;
    if (options_.second) options_.second(second);
    tick();
  });
}

// ---- After ------------------------------------------------------------------------------------------------

void Fleet::finish() {
  for (const auto& sidecar : sidecars_) {
    if (sidecar->client) sidecar->client->stop();
  }
  Micros longest = 0;
  for (const RequestClass& cls : scenario_.classes) longest = std::max(longest, cls.deadline);
  if (!interrupted_) {
    runUntil(
        [this] {
          return interrupted_ || std::all_of(sidecars_.begin(), sidecars_.end(), [](const auto& one) {
                   return !one->client || one->client->open() == 0;
                 });
        },
        longest + kSettle);
  }
  playing_ = false;
  for (const auto& sidecar : sidecars_) {
    if (!sidecar->process) continue;
    const auto usage = sidecar->process->usage();
    sidecar->result.cpuSeconds = usage.cpuSeconds;
    sidecar->result.peakBytes = usage.peakBytes;
    sidecar->wanted = false;
    sidecar->process->signal(SIGCONT);
    sidecar->process->signal(SIGTERM);
  }
  runUntil(
      [this] {
        reap();
        return std::all_of(sidecars_.begin(), sidecars_.end(),
                           [](const auto& one) { return !one->process || one->process->ended(); });
      },
      kEndWithin);
  for (const auto& sidecar : sidecars_) {
    if (!sidecar->process || sidecar->process->ended()) continue;
    sidecar->result.crashed = true;
    say(sidecar->name + " did not end at SIGTERM");
  }
  ledger_.settle(nowMicros() + longest + 1'000'000);
}

Result Fleet::play() {
  signals_.async_wait([this](const boost::system::error_code& cancelled, int) {
    if (!cancelled) interrupted_ = true;
  });
  build();
  if (scenario_.peers)
    for (const auto& sidecar : sidecars_) writeOperatorFile(*sidecar);
  if (options_.built) {
    std::vector<std::string> listens;
    for (const auto& sidecar : sidecars_) listens.push_back(sidecar->peerListen);
    guest_ = options_.built(io_, listens);
  }
  for (const auto& sidecar : sidecars_) launch(*sidecar);
  awaitReady();
  startedAt_ = nowMicros();
  playing_ = true;
  if (!interrupted_) {
    schedule();
    tick();
    throttle();
    loadBy(1);
    runUntil([this] { return interrupted_; }, scenario_.length);
  }
  Result result;
  result.played = nowMicros() - startedAt_;
  finish();
  result.interrupted = interrupted_;
  result.tally = ledger_.tally();
  result.breaches = ledger_.breaches();
  for (const auto& sidecar : sidecars_) {
    result.sidecars.push_back(sidecar->result);
    if (!sidecar->client) continue;
    const auto& counts = sidecar->client->counts();
    result.offered += counts.offered;
    result.inAim += counts.inAim;
    result.clientRetries += counts.retries;
    result.clientConnections += counts.connections;
  }
  std::map<std::pair<std::string, std::string>, Share> shares;
  for (const auto& sidecar : sidecars_) {
    if (!sidecar->client) continue;
    for (const auto& [of, counts] : sidecar->client->byShare()) {
      Share& share = shares[of];
      share.requestClass = of.first;
      share.tenant = of.second;
      share.offered += counts.offered;
      share.inAim += counts.inAim;
    }
  }
  for (auto& [of, share] : shares) result.shares.push_back(std::move(share));
  for (const auto& node : nodes_) {
    result.nodeConnections += node->node->connectionsAccepted();
    result.nodeArrivals += node->node->arrivals();
    result.hungArrivals += node->node->arrivalsWhileHung();
    result.probes += node->node->probes();
    result.fallen += node->node->model().fallen() ? 1 : 0;
  }
  result.peerDatagrams = datagrams_.counts().taken;
  result.peerBytes = datagrams_.counts().bytes;
  return result;
}

}  // namespace ivypost::fleet
