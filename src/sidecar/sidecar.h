// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// One sidecar: connects its components, and is the only caller of the balancer.
#ifndef IVYPOST_SIDECAR_H_
#define IVYPOST_SIDECAR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config.h"
#include "control/action_executor.h"
#include "control/admin_handler.h"
#include "control/degradation_manager.h"
#include "control/endpoint_table.h"
#include "control/membership_selection.h"
#include "control/open_request.h"
#include "discovery/platform_source.h"
#include "discovery/source_manager.h"
#include "gossip_health_view.h"
#include "lifecycle/lifecycle.h"
#include "request_log.h"
#include "server.h"
#include "upstream/connection_pool.h"

namespace ivypost {

/// Converts what happens on the sockets into events of the decision module; ActionExecutor executes the
/// module's actions. Listens from its construction on, and must outlive the run of its event loop. Not
/// thread-safe: all calls are made on the event loop.
class Sidecar {
 public:
  /// The factory of the etcd discovery source; see MembershipSelection::MakeEtcd.
  using MakeEtcd = MembershipSelection::MakeEtcd;

  /// `io` must outlive it. Throws settings::FormatError for an operator's file that does not match the
  /// configuration or this program, and what the server throws.
  explicit Sidecar(boost::asio::io_context& io, Config config, const configuration::OperatorFile& file = {},
                   MakeEtcd makeEtcd = {});

  /// Applies what may change at run time: the address of discovery, and the operator's file. Other settings
  /// take effect at the next start. Throws settings::FormatError, in which case nothing has changed.
  void reload(const Config& config, const configuration::OperatorFile& file);

  /// Stops the sidecar, as on SIGTERM: answers the accepted requests, then calls `onStopped` once. Further
  /// calls are ignored.
  void stop(std::function<void()> onStopped);

  /// The port on which clients connect.
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  /// The degradation level; normal while the operator has degradation off.
  [[nodiscard]] degradation::Level level() const { return degradation_.level(); }
  /// The lifecycle state: starting, ready, draining or stopping.
  [[nodiscard]] lifecycle::State state() const { return lifecycle_.state(); }
  /// The port of the operators' console; none: there is no console, or its address could not be bound yet.
  [[nodiscard]] std::optional<std::uint16_t> consolePort() const { return admin_.port(); }
  /// The health view shared by gossip; null: peers are off. Valid until the next reload().
  [[nodiscard]] const GossipHealthView* healthView() const { return healthView_.get(); }
  /// How long the endpoint list may have been out of date, and whether its source confirms it.
  [[nodiscard]] discovery::Freshness freshness() const { return membership_.freshness(); }
  /// For tests: the size of the endpoint table, with used and free entries.
  [[nodiscard]] std::size_t endpointTableSize() const { return endpoints_.size(); }
  /// For tests: connections to endpoints that have a request to send and are not established yet.
  [[nodiscard]] std::size_t comingUp() const { return pool_.connecting(); }

 private:
  using Request = OpenRequest;

  void onRequest(ClientRequest client);
  void onRequestEnded(balancer::RequestId id);
  void onAttemptWritten(AttemptId id);
  void onAttemptEnded(AttemptEnd end);
  void onAnswerStarted(StreamBegin begin);
  void onProbeEnded(const ProbeEnd& end);
  void onEndpointList(const discovery::EndpointList& list, balancer::MembershipUpdate::Kind kind);
  void onLifecycle(lifecycle::Event event);
  void onExclusionsChanged(const std::vector<std::string>& endpoints);
  void onLevel(degradation::Level level);
  degradation::Measurements loadMeasurements();
  std::string status() const;
  ResourceUsage resourceUsage() const;
  void recordAttempt(const AttemptEnd& end, const OpenRequest& request, EndpointId upstream);
  std::unique_ptr<GossipHealthView> makeHealthView(const gossip::Options& options);
  std::vector<GossipHealthView::Listed> listed() const;

  // Passes one event to the decision module and executes the actions that it returns.
  void handle(const balancer::Event& event);
  // The same for an event whose fields were computed by the time `at`.
  void handle(const balancer::Event& event, Micros at);

  boost::asio::io_context& io_;
  const Config config_;
  EndpointTable endpoints_;
  balancer::Balancer balancer_;
  OpenRequests requests_;
  streaming::ByteBudget budget_;  // of bodies in transit
  RequestLog requestLog_;
  ConnectionPool pool_;
  discovery::SourceManager membership_;
  MembershipSelection selection_;
  Server server_;
  ActionExecutor executor_;
  DegradationManager degradation_;
  lifecycle::Lifecycle lifecycle_;
  boost::asio::steady_timer lifecycleTimer_;
  std::function<void()> onStopped_;
  gossip::Options gossipOptions_;                 // from the operator's file
  std::unique_ptr<GossipHealthView> healthView_;  // null: gossip is off
  AdminHandler admin_;
};

}  // namespace ivypost

#endif  // IVYPOST_SIDECAR_H_
