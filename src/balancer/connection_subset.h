// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_CONNECTION_SUBSET_H_
#define IVYPOST_BALANCER_CONNECTION_SUBSET_H_

#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/latency_statistics.h"
#include "balancer/request.h"
#include "balancer/send_rate.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Which endpoints this sidecar keeps connections to. One with little traffic keeps them to a
/// subset; connections to other endpoints, and to those that drain, are closed.
///
/// Where nothing is known of connections (Settings::idleTimeout 0) there is no subset and only drains close.
class ConnectionSubset {
 public:
  /// All must outlive it.
  ConnectionSubset(const Settings& settings, EndpointRegistry& endpoints, const SendRate& sendRate,
                   const LatencyStatistics& latency)
      : settings_(settings), endpoints_(endpoints), sendRate_(sendRate), latency_(latency) {}

  /// Whether traffic is too little to use every endpoint's connection: the subset is smaller than the list.
  [[nodiscard]] bool isPartial(Micros now) const;
  /// Whether a connection to it stands open, as far as attempts have shown.
  [[nodiscard]] bool isConnected(const Endpoint& endpoint, Micros now) const;

  /// An attempt is about to be sent, not yet in flight.
  /// @return whether it needs a new connection; where nothing is known of them it does not
  bool connect(Endpoint& endpoint, Micros now) const;
  /// An attempt was sent: the endpoint joins the subset while it has free slots.
  void join(Endpoint& endpoint, Micros now) const;
  /// Learns from the outcome of an attempt which connections are open.
  static void learnConnection(Endpoint& endpoint, const Attempt& attempt, Outcome outcome);
  /// An endpoint that did not answer well, after `latency` microseconds, leaves the subset.
  void leaveIfUnfit(Endpoint& endpoint, const Request& request, Outcome outcome, Micros latency,
                    Micros now) const;

  /// Guards against connections that many sidecars with little traffic keep open to no use: they fill the
  /// endpoints' tables. One that will idle out before its next use is closed at once.
  void closeUnused(EndpointId id, const EventContext& context) const;
  /// Guards against idle connections that hold up a drain: they are closed at the notice, at each outcome
  /// there, and once more shortly before the time is up (Settings::closeDrainingWithin): some become idle
  /// without an outcome.
  void closeDraining(EndpointId id, const EventContext& context) const;
  /// That time is nearly up.
  void closeDrainingAgain(EndpointId id, const EventContext& context) const;

 private:
  [[nodiscard]] bool canReuseConnection(const Endpoint& endpoint, Micros now) const;
  [[nodiscard]] double targetSize(Micros now) const;
  [[nodiscard]] double freeSlots(Micros now) const;

  const Settings& settings_;
  EndpointRegistry& endpoints_;
  const SendRate& sendRate_;
  const LatencyStatistics& latency_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_CONNECTION_SUBSET_H_
