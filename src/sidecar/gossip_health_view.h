// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Carries out what sidecars know together: membership and judgements in, hearsay for the module out. Exists
// only where the operator's file has [peers] on.
//
// What holds always: the module hears of an upstream's judgements only while this sidecar is not deaf, and
// what it has heard lapses by its own clock within kReportValidity. So who is deaf decides as without peers
// within Settings::isolatedAfter and kReportValidity, also right after a stop of the process, before any
// message or timer.
#ifndef IVYPOST_GOSSIP_HEALTH_VIEW_H_
#define IVYPOST_GOSSIP_HEALTH_VIEW_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "clock.h"
#include "config.h"
#include "gossip/options.h"
#include "gossip/transport.h"
#include "health_reports/health_report_table.h"
#include "ivypost/balancer.h"

namespace ivypost {

class GossipHealthView {
 public:
  // Between two looks at what is known, and how long the module goes by one.
  static constexpr std::chrono::milliseconds kPublishInterval{100};
  static constexpr Micros kReportValidity = 500'000;

  // An upstream of the list, by what others call it.
  struct Listed {
    health_reports::Incarnation incarnation;
    EndpointId upstream = 0;
    Micros launchedAt = 0;  // as the module was told
    std::string id;
  };
  struct Callbacks {
    std::function<std::vector<Listed>()> listed;
    std::function<void(const balancer::HealthReport&)> report;
    std::function<void(const std::string&)> log;
  };
  // What the options come to for this sidecar.
  struct Identity {
    gossip::Settings settings;
    gossip::Address listen;
    gossip::Seal seal;
  };

  // Throws settings::FormatError, one line that names the key and the mend, where they can't be used here:
  // no own address, or a key file that can't be read.
  static Identity identityOf(const gossip::Options& options, const Config& config);

  GossipHealthView(boost::asio::io_context& io, const Identity& identity, std::uint64_t seed,
                   Callbacks callbacks);

  // The end of an attempt at an upstream in this life, so long after it was sent.
  void recordAttempt(const health_reports::Incarnation& incarnation, balancer::Outcome outcome, Micros lag);
  // This sidecar ends, or the operator has switched it off.
  void leave();

  bool isIsolated() const { return transport_.members().isIsolated(now()); }
  const gossip::Transport& transport() const { return transport_; }
  const health_reports::HealthReportTable& healthReports() const { return healthReports_; }
  // For GET /status/peers: whom it hears, what part that is, judgements with witnesses and ages, bytes.
  nlohmann::json status() const;

 private:
  // What others have sent. Whether it changes anything; none if it can't be read.
  std::optional<bool> receive(std::span<const std::uint8_t> reports, std::chrono::microseconds delay);
  void publish();
  void publishLater(std::chrono::milliseconds wait);

  Callbacks callbacks_;
  health_reports::HealthReportTable healthReports_;
  boost::asio::steady_timer timer_;
  gossip::Transport transport_;
  bool wasIsolated_ = true;
  Micros rateMeasuredAt_ = 0;
  std::uint64_t rateMeasuredBytes_ = 0;
  double bytesPerSecond_ = 0;
};

}  // namespace ivypost

#endif  // IVYPOST_GOSSIP_HEALTH_VIEW_H_
