// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Runs a fleet of sidecar processes with gossip enabled, for the tests. The state of each sidecar over time
// is taken from its log, and optionally from GET /status/peers, polled continuously.
//
// Every run checks by itself: rules 1 to 4 of the invariant checker, no crashes, and at least four of five
// requests served.
#ifndef IVYPOST_TESTS_GOSSIP_FLEET_RUN_H_
#define IVYPOST_TESTS_GOSSIP_FLEET_RUN_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet.h"
#include "gossip/options.h"
#include "gossip/transport.h"
#include "standins/clock.h"

namespace ivypost::fleet {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr Micros kSecond = 1'000'000;

struct Line {
  Micros at = 0;  // time since the first event
  std::uint32_t sidecar = 0;
  std::string text;
};

// A sidecar's answer to GET /status/peers.
struct Status {
  Micros at = 0;  // time of the answer, since the first event
  std::uint32_t sidecar = 0;
  nlohmann::json body;
  std::size_t number(const char* key) const { return body.value(key, std::size_t{0}); }
  std::size_t datagrams(const char* key) const { return body.at("datagrams").value(key, std::size_t{0}); }
};

struct FleetRun {
  Result result;
  std::vector<Line> lines;       // the sidecars' log
  std::vector<Status> statuses;  // sorted by time

  // The number of this sidecar's log lines in [from, to) that contain the text.
  std::size_t count(std::uint32_t sidecar, const std::string& text, Micros from = 0,
                    Micros to = 3'600'000'000) const {
    return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [&](const Line& line) {
      return line.sidecar == sidecar && line.text.find(text) != std::string::npos && line.at >= from &&
             line.at < to;
    }));
  }
  // All log lines that contain the text, with their times, for failure messages.
  std::string linesWith(const std::string& text) const {
    std::string all;
    for (const Line& line : lines) {
      if (line.text.find(text) == std::string::npos) continue;
      all +=
          "\n" + std::to_string(line.at / 1000) + " ms, s" + std::to_string(line.sidecar) + ": " + line.text;
    }
    return all;
  }
  // Like count(), but counts the lines of all sidecars.
  std::size_t countAll(const std::string& text, Micros from = 0, Micros to = 3'600'000'000) const {
    std::size_t sum = 0;
    for (std::uint32_t n = 1; n <= result.sidecars.size(); ++n) sum += count(n, text, from, to);
    return sum;
  }
  // The number of members whose last line in this sidecar's log says that they are unreachable.
  std::size_t unreachableAtEnd(std::uint32_t sidecar) const {
    std::map<std::string, bool> unreachable;
    for (const Line& line : lines) {
      const auto end = line.text.find(" is ");
      if (line.sidecar == sidecar && end != std::string::npos && line.text.rfind("peers: 127", 0) == 0)
        unreachable[line.text.substr(0, end)] = line.text.find("not heard") != std::string::npos;
    }
    return static_cast<std::size_t>(
        std::count_if(unreachable.begin(), unreachable.end(), [](const auto& one) { return one.second; }));
  }
  // Whether this sidecar's last log line about isolation says that it is isolated, or there is no such line.
  bool endsIsolated(std::uint32_t sidecar) const {
    bool isIsolated = true;
    for (const Line& line : lines)
      if (line.sidecar == sidecar && line.text.find("deaf") != std::string::npos)
        isIsolated = line.text.find("not deaf") == std::string::npos;
    return isIsolated;
  }
  // This sidecar's last status; null if there is none.
  const Status* last(std::uint32_t sidecar) const {
    const auto found = std::find_if(statuses.rbegin(), statuses.rend(),
                                    [&](const Status& one) { return one.sidecar == sidecar; });
    return found == statuses.rend() ? nullptr : &*found;
  }
  // The time from `from` until all sidecars reach `many` members and do so to the end of the run; none if
  // some sidecar reaches fewer at the end.
  std::optional<Micros> timeUntilAllReach(std::size_t many, Micros from) const {
    std::vector<std::optional<Micros>> since(result.sidecars.size());
    for (const Status& one : statuses) {
      auto& at = since.at(one.sidecar - 1);
      if (one.number("heard") != many) {
        at.reset();
      } else if (!at) {
        at = std::max(one.at, from);
      }
    }
    Micros longest = from;
    for (const auto& at : since) {
      if (!at) return std::nullopt;
      longest = std::max(longest, *at);
    }
    return longest - from;
  }
  // This sidecar's log lines that contain the text, for failure messages.
  std::string linesOf(std::uint32_t sidecar, const std::string& text) const {
    std::string found;
    for (const Line& line : lines)
      if (line.sidecar == sidecar && line.text.find(text) != std::string::npos)
        found +=
            "\n  s" + std::to_string(sidecar) + " at " + std::to_string(line.at / 1000) + " ms: " + line.text;
    return found;
  }
  // The last status of each sidecar, for failure messages.
  std::string lastStatuses() const {
    std::string text;
    for (std::uint32_t n = 1; n <= result.sidecars.size(); ++n) {
      const Status* const one = last(n);
      text += "\n  s" + std::to_string(n) + ": ";
      if (one == nullptr) {
        text += "no answer";
        continue;
      }
      nlohmann::json shown = one->body;
      shown.erase("judgements");
      for (const auto& member : shown["members"])
        if (member["state"] != "alive") text += member.dump() + " ";
      shown.erase("members");
      text += "at " + std::to_string(one->at / 1000) + " ms " + shown.dump();
    }
    return text;
  }
};

using Built = std::function<std::shared_ptr<void>(asio::io_context&, const std::vector<std::string>&)>;

// Whether the run stops sidecars. The requests in progress at a stopped sidecar are lost, so rule 1 is not
// checked then.
enum class Stops : std::uint8_t { None, Some };

struct Plan {
  std::string events;
  std::uint32_t sidecars = 12;
  int seconds = 9;
  Built built;
  Stops stops = Stops::None;
  double rate = 360;
  std::string head;       // further keys of the scenario
  bool statuses = false;  // whether to poll GET /status/peers, kPollInterval after each answer
  std::function<void(const std::string&)> happened;  // called at each event; may be empty
  std::function<void()> second;                      // called once a second; may be empty
};

// Polls the status of every sidecar whose port is known, with one call at a time to each.
class StatusPoller : public std::enable_shared_from_this<StatusPoller> {
 public:
  static constexpr std::chrono::milliseconds kPollInterval{200};
  using StatusHandler = std::function<void(std::uint32_t sidecar, nlohmann::json body)>;

  StatusPoller(asio::io_context& io, StatusHandler onStatus) : io_(io), onStatus_(std::move(onStatus)) {}

  void addSidecar(std::uint32_t sidecar, std::uint16_t port) {
    if (ports_.emplace(sidecar, port).second) poll(sidecar);
  }

 private:
  struct Call {
    Call(asio::io_context& io, std::uint32_t of) : sidecar(of), socket(io), timer(io) {}
    std::uint32_t sidecar;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string request = "GET /status/peers HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n", answer;
  };

  void poll(std::uint32_t sidecar) {
    auto call = std::make_shared<Call>(io_, sidecar);
    const asio::ip::tcp::endpoint to(asio::ip::address_v4::loopback(), ports_.at(sidecar));
    const auto self = shared_from_this();
    call->socket.async_connect(to, [self, call](const boost::system::error_code& refused) {
      if (refused) return self->pollLater(call);
      asio::async_write(call->socket, asio::buffer(call->request),
                        [self, call](const boost::system::error_code& failed, std::size_t) {
                          if (failed) return self->pollLater(call);
                          self->read(call);
                        });
    });
  }
  void read(const std::shared_ptr<Call>& call) {
    const auto self = shared_from_this();
    asio::async_read(call->socket, asio::dynamic_buffer(call->answer, 1 << 20),
                     [self, call](const boost::system::error_code& ended, std::size_t) {
                       const auto head = call->answer.find("\r\n\r\n");
                       if (ended == asio::error::eof && head != std::string::npos) {
                         auto body = nlohmann::json::parse(call->answer.substr(head + 4), nullptr, false);
                         if (body.is_object()) self->onStatus_(call->sidecar, std::move(body));
                       }
                       self->pollLater(call);
                     });
  }
  // Polling continues while a process is killed, until it runs again.
  void pollLater(const std::shared_ptr<Call>& call) {
    call->timer.expires_after(kPollInterval);
    call->timer.async_wait([self = shared_from_this(), call](const boost::system::error_code& cancelled) {
      if (!cancelled) self->poll(call->sidecar);
    });
  }

  asio::io_context& io_;
  StatusHandler onStatus_;
  std::map<std::uint32_t, std::uint16_t> ports_;
};

inline FleetRun runFleet(const Plan& plan) {
  std::string work = std::filesystem::temp_directory_path() / "peers-XXXXXX";
  if (mkdtemp(work.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  std::string head = plan.head;
  if (plan.statuses) {
    std::ofstream(work + "/status.toml") << "[status]\npeers = true\n";
    head += "operator = \"" + work + "/status.toml\"\n";
  }
  const std::string text =
      "name = \"p\"\nlength = \"" + std::to_string(plan.seconds) +
      "s\"\nseed = 11\npeers = true\nprobes = false\nrate = " + std::to_string(plan.rate) +
      "\nretries = 1\nsidecars = " + std::to_string(plan.sidecars) + "\n" + head +
      "[[node]]\ncount = 8\ncores = 4\n[[class]]\nname = \"reserva\"\neffect = \"unsafe\"\n"
      "work = \"5ms\"\naim = \"300ms\"\ndeadline = \"600ms\"\n" +
      plan.events;
  FleetRun run;
  Fleet::Options options;
  options.program = IVYPOST_PROGRAM;
  options.workDir = work;
  std::optional<Micros> first;
  options.happened = [&](const std::string& what) {
    if (!first) first = standins::nowMicros();
    if (plan.happened) plan.happened(what);
  };
  // What is logged after the last full second belongs to the end of the run, when all sidecars leave.
  Micros lastSecond = 0;
  options.second = [&](const Second&) {
    lastSecond = standins::nowMicros();
    if (plan.second) plan.second();
  };
  std::vector<std::pair<Micros, std::string>> logged;
  std::shared_ptr<StatusPoller> poller;
  options.built = [&](asio::io_context& io, const std::vector<std::string>& listens) {
    if (plan.statuses)
      poller = std::make_shared<StatusPoller>(io, [&](std::uint32_t sidecar, nlohmann::json body) {
        run.statuses.push_back({standins::nowMicros(), sidecar, std::move(body)});
      });
    return plan.built ? plan.built(io, listens) : nullptr;
  };
  options.sidecarLog = [&](const std::string& line) {
    logged.emplace_back(standins::nowMicros(), line);
    const std::string ready = ": ready on port ";
    const auto at = line.find(ready);
    if (poller && at != std::string::npos)
      poller->addSidecar(static_cast<std::uint32_t>(std::stoi(line.substr(1, at - 1))),
                         static_cast<std::uint16_t>(std::stoi(line.substr(at + ready.size()))));
  };
  {
    Fleet fleet(parseScenario(text, "p"), options);
    run.result = fleet.play();
    poller.reset();  // its pending handlers are destroyed with the fleet's io_context
  }
  std::filesystem::remove_all(work);
  for (const auto& [at, line] : logged) {
    if (at > lastSecond) break;
    const auto colon = line.find(": ");
    run.lines.push_back({at - first.value_or(at),
                         static_cast<std::uint32_t>(std::stoi(line.substr(1, colon - 1))),
                         line.substr(colon + 2)});
  }
  std::erase_if(run.statuses, [&](const Status& one) { return one.at > lastSecond; });
  for (Status& one : run.statuses) one.at -= first.value_or(one.at);
  for (std::size_t rule = plan.stops == Stops::None ? 1 : 2; rule <= 4; ++rule)
    EXPECT_EQ(run.result.tally.breaches.at(rule), 0u) << run.result.breaches.at(0).what;
  for (const SidecarResult& one : run.result.sidecars) EXPECT_FALSE(one.crashed);
  EXPECT_GT(run.result.tally.served, run.result.tally.sent * 8 / 10);
  return run;
}

inline FleetRun runFleet(const std::string& events, std::uint32_t sidecars = 12, int seconds = 9,
                         Built built = {}, Stops stops = Stops::None) {
  Plan plan;
  plan.events = events;
  plan.sidecars = sidecars;
  plan.seconds = seconds;
  plan.built = std::move(built);
  plan.stops = stops;
  return runFleet(plan);
}

// ---- Guests: members in the test's own process ------------------------------------------------------------

struct Guest {
  gossip::Settings settings;
  gossip::Seal seal{{}};
};

// A member with this name that has the fleet's key, and all sidecars as its seeds.
inline Guest guestAs(asio::io_context& io, const std::string& name, const std::vector<std::string>& listens) {
  Guest guest;
  udp::socket free(io, udp::endpoint(asio::ip::address_v4::loopback(), 0));
  guest.settings.self = gossip::idOf(name);
  guest.settings.address = {0x7f000001, free.local_endpoint().port()};
  guest.settings.incarnation = 1;
  for (const std::string& listen : listens) guest.settings.seeds.push_back(*gossip::parseAddress(listen));
  std::array<std::uint8_t, gossip::kKeyBytes> key{};
  key.fill(0xaa);
  guest.seal = gossip::Seal(key);
  return guest;
}

inline std::shared_ptr<gossip::Transport> join(
    asio::io_context& io, const Guest& guest,
    std::function<std::vector<std::uint8_t>(std::size_t)> makePayload) {
  return std::make_shared<gossip::Transport>(
      io, guest.settings, guest.settings.address, guest.seal, 3,
      gossip::Transport::Callbacks{std::move(makePayload),
                                   [](std::span<const std::uint8_t>, Micros) { return std::optional(false); },
                                   [](const gossip::Change&) {}, [](const std::string&) {}});
}

}  // namespace ivypost::fleet

#endif  // IVYPOST_TESTS_GOSSIP_FLEET_RUN_H_
