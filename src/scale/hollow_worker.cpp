// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "scale/hollow_worker.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "sidecar/gossip_health_view.h"

namespace ivypost::scale {
namespace {

namespace asio = boost::asio;
using gossip::Micros;
using nlohmann::json;

constexpr std::uint32_t kOnANet = 250;  // last bytes of an address, from 1
constexpr std::uint32_t kFirstNet = 127U << 24 | 64U << 16;
constexpr std::chrono::milliseconds kLook{50};
constexpr Micros kReport = 1'000'000;

double processorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::uint64_t residentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t whole = 0, resident = 0;
  statm >> whole >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

class Worker {
 public:
  explicit Worker(const WorkerPlan& plan)
      : plan_(plan), seal_(gossip::Seal::read(plan.keyFile)), signals_(io_, SIGTERM, SIGINT), look_(io_) {}

  void run() {
    signals_.async_wait([this](const boost::system::error_code&, int) { io_.stop(); });
    look_.expires_at(Clock::time_point(std::chrono::microseconds(plan_.startAt)));
    look_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) start();
    });
    io_.run();
  }

 private:
  struct Hollow {
    std::unique_ptr<GossipHealthView> view;
    std::uint64_t sent = 0, received = 0;  // bytes as of the last report
  };

  void start() {
    for (std::uint32_t n = plan_.first; n < plan_.first + plan_.count; ++n) {
      const gossip::Settings settings = plan_.fleet.settingsOf(n);
      Hollow hollow;
      hollow.view = std::make_unique<GossipHealthView>(
          io_, GossipHealthView::Identity{settings, settings.address, seal_},
          plan_.seed * 0x9e3779b97f4a7c15u + n,
          GossipHealthView::Callbacks{[] { return std::vector<GossipHealthView::Listed>(); },
                                      [](const balancer::HealthReport&) {}, [](const std::string&) {}});
      hollows_.push_back(std::move(hollow));
    }
    nextReport_ = now();
    look();
  }

  void look() {
    const auto hearsAll = [this](const Hollow& one) {
      return !one.view->isIsolated() &&
             one.view->transport().members().reachableCount() == plan_.fleet.sidecars;
    };
    if (allAt_ == 0 && std::all_of(hollows_.begin(), hollows_.end(), hearsAll)) allAt_ = now();
    if (now() >= nextReport_) report();
    look_.expires_after(kLook);
    look_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) look();
    });
  }

  void report() {
    nextReport_ += kReport;
    std::uint64_t sent = 0, received = 0, datagrams = 0, worstSent = 0, worstReceived = 0;
    std::uint64_t unsent = 0;
    std::size_t deaf = 0, fewest = plan_.fleet.sidecars;
    for (Hollow& one : hollows_) {
      const auto& counts = one.view->transport().counts();
      const std::uint64_t sentNow = counts.sentBytes + gossip::kDatagramOverhead * counts.sent;
      const std::uint64_t receivedNow = counts.receivedBytes + gossip::kDatagramOverhead * counts.received;
      worstSent = std::max(worstSent, sentNow - one.sent);
      worstReceived = std::max(worstReceived, receivedNow - one.received);
      one.sent = sentNow;
      one.received = receivedNow;
      sent += sentNow;
      received += receivedNow;
      datagrams += counts.sent;
      unsent += counts.unsent;
      deaf += one.view->isIsolated() ? 1 : 0;
      fewest = std::min(fewest, one.view->transport().members().reachableCount());
    }
    const Micros at = now();
    // The worst of a sidecar is of the time since the last report, which is a second and up to a look.
    const double span = lastReport_ == 0 ? 1 : std::max(0.5, static_cast<double>(at - lastReport_) / 1e6);
    lastReport_ = at;
    const json line = {{"at", at},
                       {"all_at", allAt_},
                       {"processor_s", processorSeconds()},
                       {"resident", residentBytes()},
                       {"sent", sent},
                       {"received", received},
                       {"datagrams", datagrams},
                       {"unsent", unsent},
                       {"worst_sent", static_cast<double>(worstSent) / span},
                       {"worst_received", static_cast<double>(worstReceived) / span},
                       {"deaf", deaf},
                       {"fewest_heard", fewest}};
    std::fprintf(stderr, "%s\n", line.dump().c_str());
  }

  const WorkerPlan& plan_;
  asio::io_context io_{1};
  gossip::Seal seal_;
  asio::signal_set signals_;
  asio::steady_timer look_;
  std::vector<Hollow> hollows_;
  Micros nextReport_ = 0, lastReport_ = 0, allAt_ = 0;
};

}  // namespace

std::string nameOfSidecar(std::uint32_t number) {
  return std::string("s").append(std::to_string(number));
}

gossip::Address Fleet::addressOf(std::uint32_t number) const {
  return {kFirstNet + (number / kOnANet << 8) + 1 + number % kOnANet, port};
}

std::uint8_t Fleet::regionOf(std::uint32_t number) const {
  return regions == 0 ? std::uint8_t{0} : static_cast<std::uint8_t>(number % zones % regions + 1);
}

gossip::Settings Fleet::settingsOf(std::uint32_t number) const {
  gossip::Settings settings;
  settings.self = gossip::idOf(nameOfSidecar(number));
  settings.address = addressOf(number);
  settings.incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                        std::chrono::system_clock::now().time_since_epoch())
                                                        .count());
  for (std::uint32_t n = 0; n < std::min(kFleetSeeds, sidecars); ++n) settings.seeds.push_back(addressOf(n));
  settings.expected = sidecars;
  settings.region = regionOf(number);
  for (std::uint32_t n = 0; n < sidecars && settings.region != 0; ++n)
    settings.regionExpected += regionOf(n) == settings.region ? 1 : 0;
  return settings;
}

void work(const WorkerPlan& plan) {
  Worker(plan).run();
}

}  // namespace ivypost::scale
