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

/// Chooses the endpoints to which this sidecar keeps connections open. A sidecar with little traffic keeps
/// them to a subset; connections to other endpoints, and to draining ones, are closed.
///
/// If the idle time-out is unknown (Settings::idleTimeout 0) there is no subset, and connections are closed
/// only to draining endpoints.
class ConnectionSubset {
 public:
  /// All arguments must outlive the object.
  ConnectionSubset(const Settings& settings, EndpointRegistry& endpoints, const SendRate& sendRate,
                   const LatencyStatistics& latency)
      : settings_(settings), endpoints_(endpoints), sendRate_(sendRate), latency_(latency) {}

  /// Whether there is too little traffic to use a connection to every endpoint, so that the subset is smaller
  /// than the list.
  [[nodiscard]] bool isPartial(Micros now) const;
  /// Whether a connection to the endpoint is open, as far as the outcomes of attempts show.
  [[nodiscard]] bool isConnected(const Endpoint& endpoint, Micros now) const;

  /// To be called before an attempt is sent and counted as in flight.
  /// @return whether it needs a new connection; false if the connections' limits are unknown
  bool connect(Endpoint& endpoint, Micros now) const;
  /// To be called when an attempt was sent: the endpoint joins the subset if that has free slots.
  void join(Endpoint& endpoint, Micros now) const;
  /// Updates the number of open connections by the outcome of an attempt.
  static void learnConnection(Endpoint& endpoint, const Attempt& attempt, Outcome outcome);
  /// Removes the endpoint from the subset if the outcome is no success, if `latency` (microseconds) is far
  /// above the usual, if the endpoint is not listed any more, or if the subset is too large.
  void leaveIfUnfit(Endpoint& endpoint, const Request& request, Outcome outcome, Micros latency,
                    Micros now) const;

  /// Closes connections that would reach their idle time-out before their next use. Many sidecars with little
  /// traffic would otherwise fill the endpoints' connection tables with unused connections.
  void closeUnused(EndpointId id, const EventContext& context) const;
  /// Closes idle connections to a draining endpoint, so that they don't delay its drain: when the drain is
  /// announced, at each outcome of an attempt at the endpoint, and once more shortly before
  /// Settings::closeDrainingWithin has passed, since a connection can become idle without an outcome.
  void closeDraining(EndpointId id, const EventContext& context) const;
  /// To be called when Settings::closeDrainingWithin has nearly passed.
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
