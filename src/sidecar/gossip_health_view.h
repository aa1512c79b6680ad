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

/// Publishes what sidecars know together to the balancer: it feeds own attempts into the health reports that
/// gossip carries, and summaries of the others' reports to the balancer. Exists only where the operator's
/// file has [peers] on.
///
/// Invariant: the balancer is given summaries only while this sidecar is not isolated, and each lapses by the
/// own monotonic clock within kReportValidity. Who is isolated so decides as without peers within
/// Settings::isolatedAfter and kReportValidity, also right after a pause of the process, before any message
/// or timer. Threads: everything on the io_context's one thread. Lifetime: as gossip::Transport's.
class GossipHealthView {
 public:
  /// Between two summaries.
  static constexpr std::chrono::milliseconds kPublishInterval{100};
  /// How long the balancer goes by a summary, in microseconds.
  static constexpr Micros kReportValidity = 500'000;

  /// An upstream of the endpoint list, by what others call it.
  struct Listed {
    health_reports::Incarnation incarnation;  ///< the same at every sidecar
    EndpointId upstream = 0;                  ///< the balancer's
    Micros launchedAt = 0;                    ///< as the balancer was notified
    std::string id;                           ///< as the endpoint list has it
  };
  /// What the owner does for it; each is called on the io_context's thread, and all have to be set.
  struct Callbacks {
    /// The upstreams of the endpoint list as of now.
    std::function<std::vector<Listed>()> listed;
    /// A summary of the health reports of one upstream.
    std::function<void(const balancer::HealthReport&)> report;
    /// A line for the log, without a line's end.
    std::function<void(const std::string&)> log;
  };
  /// What the options come to for this sidecar.
  struct Identity {
    gossip::Settings settings;  ///< of the membership
    gossip::Address listen;     ///< where to bind
    gossip::Seal seal;          ///< of the fleet's key
  };

  /// The identity of this sidecar. Throws settings::FormatError, one line that names the key and the mend,
  /// where the options can't be used here: no own address, or a key file that can't be read.
  static Identity identityOf(const gossip::Options& options, const Config& config);

  /// Begins to gossip. `seed`: of the random numbers.
  GossipHealthView(boost::asio::io_context& io, const Identity& identity, std::uint64_t seed,
                   Callbacks callbacks);

  /// An attempt at this incarnation of an endpoint has ended, `lag` microseconds after it was sent.
  void recordAttempt(const health_reports::Incarnation& incarnation, balancer::Outcome outcome, Micros lag);
  /// This sidecar ends, or the operator has switched gossip off.
  void leave();

  /// As gossip::Members::isIsolated(), as of now.
  [[nodiscard]] bool isIsolated() const { return transport_.members().isIsolated(now()); }
  /// The membership, and what is sent and received.
  [[nodiscard]] const gossip::Transport& transport() const { return transport_; }
  /// The health reports that are known.
  [[nodiscard]] const health_reports::HealthReportTable& healthReports() const { return healthReports_; }
  /// For GET /status/peers: members, what fraction is reachable, health reports with reporters and ages,
  /// bytes.
  [[nodiscard]] nlohmann::json status() const;

 private:
  // What others have sent. Whether it changes anything; none if it can't be read.
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
