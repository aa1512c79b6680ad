// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
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

/// Exchanges health reports with other sidecars: it turns this sidecar's attempts into reports that gossip
/// disseminates, and passes summaries of the other sidecars' reports to the balancer. Exists only if [peers]
/// is on in the operator's file.
///
/// Invariant: the balancer gets summaries only while this sidecar is not isolated, and each summary expires
/// after kReportValidity by the monotonic clock. So the balancer of an isolated sidecar decides by its own
/// attempts alone after Settings::isolatedAfter plus kReportValidity at the latest, also right after a pause
/// of the process, before any message or timer. Threads: everything runs on the io_context's one thread.
/// Lifetime: as for gossip::Transport.
class GossipHealthView {
 public:
  /// The interval between two summaries for the same upstream.
  static constexpr std::chrono::milliseconds kPublishInterval{100};
  /// How long a summary is valid for the balancer, in microseconds.
  static constexpr Micros kReportValidity = 500'000;

  /// An upstream of the endpoint list, with its fleet-wide and its local identifiers.
  struct Listed {
    health_reports::Incarnation incarnation;  ///< the same at every sidecar
    EndpointId upstream = 0;                  ///< the balancer's id
    Micros launchedAt = 0;                    ///< the launch time that the balancer was given
    std::string id;                           ///< the id in the endpoint list
  };
  /// The owner's callbacks, all required; they run on the io_context's thread.
  struct Callbacks {
    /// Returns the upstreams of the current endpoint list.
    std::function<std::vector<Listed>()> listed;
    /// Takes a summary of the health reports on one upstream.
    std::function<void(const balancer::HealthReport&)> report;
    /// Logs a line, given without a line end.
    std::function<void(const std::string&)> log;
  };
  /// The gossip configuration of this sidecar, derived from the options.
  struct Identity {
    gossip::Settings settings;  ///< settings of the membership
    gossip::Address listen;     ///< the address to bind to
    gossip::Seal seal;          ///< seal with the fleet's key
  };

  /// Derives the identity of this sidecar. Throws settings::FormatError, whose message is one line with the
  /// key and the remedy, if the options can't be used here: no own address, no seeds, or a key file that
  /// can't be read.
  static Identity identityOf(const gossip::Options& options, const Config& config);

  /// Joins the fleet. `seed` initialises the random numbers.
  GossipHealthView(boost::asio::io_context& io, const Identity& identity, std::uint64_t seed,
                   Callbacks callbacks);

  /// Records an attempt at this incarnation of an endpoint that has ended `lag` microseconds after it was
  /// sent.
  void recordAttempt(const health_reports::Incarnation& incarnation, balancer::Outcome outcome, Micros lag);
  /// Leaves the fleet, because this sidecar stops or the operator has switched gossip off.
  void leave();

  /// gossip::Members::isIsolated() at the current time.
  [[nodiscard]] bool isIsolated() const { return transport_.members().isIsolated(now()); }
  /// The transport, for its membership and counters.
  [[nodiscard]] const gossip::Transport& transport() const { return transport_; }
  /// The health reports made and received.
  [[nodiscard]] const health_reports::HealthReportTable& healthReports() const { return healthReports_; }
  /// The body of GET /status/peers: members, the reachable fraction, health reports with reporters and ages,
  /// bytes and datagrams.
  [[nodiscard]] nlohmann::json status() const;

 private:
  // Merges received reports. Returns whether they changed any status; none if they are malformed.
  std::optional<bool> receive(std::span<const std::uint8_t> reports, std::chrono::microseconds delay);
  void publish();
  void publishLater(std::chrono::milliseconds wait);
  void measureRate(Micros at);
  void logIsolation(bool isIsolated);
  void publishSummaries(const std::vector<Listed>& listed, Micros at);
  [[nodiscard]] nlohmann::json membersStatus() const;
  [[nodiscard]] nlohmann::json reportsStatus(Micros at) const;

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
