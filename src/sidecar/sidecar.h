// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// One sidecar: the only caller of the balancer. Turns what happens on the sockets into the module's events
// and carries out its actions.
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
#include "fleet_view.h"
#include "lifecycle/lifecycle.h"
#include "membership/membership.h"
#include "membership/platform.h"
#include "server.h"
#include "upstream/connection_pool.h"

namespace ivypost {

class Sidecar {
 public:
  using MakeEtcd = MembershipSelection::MakeEtcd;

  // Throws settings::FormatError for an operator's file that does not fit the configuration or this
  // program, and what the server throws.
  explicit Sidecar(boost::asio::io_context& io, Config config, const op::File& file = {},
                   MakeEtcd makeEtcd = {});

  // Takes over what may change while it runs: where discovery is, and the operator's file. The rest waits for
  // the next start. Throws settings::FormatError, and then nothing has changed.
  void reload(const Config& config, const op::File& file);

  // SIGTERM: answers all that was taken, then calls back once.
  void stop(std::function<void()> stopped);

  std::uint16_t port() const { return server_.port(); }
  degradation::Level level() const { return degradation_.level(); }
  lifecycle::State state() const { return lifecycle_.state(); }
  // None: there is no console, or it could not be bound yet.
  std::optional<std::uint16_t> consolePort() const { return admin_.port(); }
  // None: peers are off.
  const FleetView* fleet() const { return fleet_.get(); }
  membership::Freshness freshness() const { return membership_.freshness(); }
  // For tests: the upstreams' numbers, in use and free; connections to them that are not up yet.
  std::size_t upstreamNumbers() const { return endpoints_.size(); }
  std::size_t comingUp() const { return pool_.comingUp(); }

 private:
  using Request = OpenRequest;

  void onTaken(ClientRequest client);
  void onOver(balancer::RequestId id);
  void onWritten(AttemptId id);
  void onEnded(AttemptEnd end);
  void onBegan(StreamBegin begin);
  void onProbed(const ProbeEnd& end);
  void onList(const InstanceList& list, balancer::MembershipUpdate::Kind kind);
  void onLifecycle(lifecycle::Event event);
  void onExclusionsChanged(const std::vector<std::string>& endpoints);
  void onLevel(degradation::Level level);
  degradation::Measurements gauges();
  std::string status() const;
  std::unique_ptr<FleetView> viewOf(const peers::Options& options);
  std::vector<FleetView::Listed> listed() const;

  // Gives the module one event and executes what it answers.
  void handle(const balancer::Event& event);

  boost::asio::io_context& io_;
  const Config config_;
  EndpointTable endpoints_;
  balancer::Balancer balancer_;
  OpenRequests requests_;
  relay::Budget budget_;  // of bodies in transit
  ConnectionPool pool_;
  membership::Membership membership_;
  MembershipSelection selection_;
  Server server_;
  ActionExecutor executor_;
  DegradationManager degradation_;
  lifecycle::Lifecycle lifecycle_;
  boost::asio::steady_timer lifecycleTimer_;
  std::function<void()> stopped_;
  peers::Options peersAs_;            // as the operator has set them
  std::unique_ptr<FleetView> fleet_;  // none: off
  AdminHandler admin_;
};

}  // namespace ivypost

#endif  // IVYPOST_SIDECAR_H_
