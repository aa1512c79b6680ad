// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#ifndef ORCHIDDRUM_BALANCER_HEALTH_CHECK_H_
#define ORCHIDDRUM_BALANCER_HEALTH_CHECK_H_

#include <optional>
#include <vector>

#include "balancer/endpoint_registry.h"
#include "balancer/event_context.h"
#include "balancer/load_reports.h"
#include "balancer/priority.h"
#include "balancer/request.h"
#include "orchiddrum/balancer.h"

namespace orchiddrum::internal {

/// Probes the picked endpoint before a request is sent to it. Guards against blind picks of many sidecars
/// with little traffic each: own counts are nearly all zero and tell nothing of what the others send. The
/// pick stands unless the endpoint proves not to be ready.
///
/// At most kMaxLooks probes a request, fewer the dearer they are and the less it is worth; every request
/// waits for one at most.
class HealthCheck {
 public:
  /// Crowded, if what is in hand takes it too long; busier, if it has more in hand for its size than those
  /// looked at before.
  enum class Verdict { Room, Busier, Crowded };

  /// All must outlive it.
  HealthCheck(const Settings& settings, EndpointRegistry& endpoints, LoadReports& loadReports,
              const Priority& priority);

  /// Whether a request with a pick looks before it is sent. Under reduced service one look in so many,
  /// evenly.
  bool mayLook(const Request& request, const ReducedService& reduced, const EventContext& context);
  /// Asks for a probe of the endpoint; the request waits for it.
  void look(RequestId id, Request& request, UpstreamId to, const EventContext& context);

  /// The requests that wait for a look, in the order they began to.
  [[nodiscard]] const std::vector<RequestId>& looking() const { return looking_; }
  /// The request waits no more.
  void stopLooking(RequestId id) { std::erase(looking_, id); }

  /// A probe's result came, of an endpoint that the registry contains.
  void learn(const ProbeResult& event);
  /// What the probe last learned from says of the endpoint for a request that waited for it.
  [[nodiscard]] Verdict judge(const ProbeResult& event, const Request& request) const;
  /// Whether the pick stands with this verdict, the endpoint being ready still.
  [[nodiscard]] bool picks(const Request& request, Verdict verdict) const;
  /// The pick does not stand: the endpoint rests, `typicalLag` microseconds if it is crowded.
  /// @return whether as many looks as cost nothing have found crowding, so that the request gives way
  bool passOver(Request& request, Verdict verdict, double typicalLag, const EventContext& context);

 private:
  [[nodiscard]] int looksFor(const Request& request, double price) const;
  [[nodiscard]] Micros lookPatience(const Endpoint& endpoint) const;

  const Settings& settings_;
  EndpointRegistry& endpoints_;
  LoadReports& loadReports_;
  const Priority& priority_;
  bool looks_;                      // endpoints are looked at before they are sent to
  double lookCredit_ = 0;           // of one look, under reduced service
  std::vector<RequestId> looking_;  // wait for a look
  std::vector<double> lookLag_;  // smoothed time of a look, by zone, microseconds; 0: none was answered yet
  double usualBusy_ = -1;        // smoothed, of requests in hand for the size, as reported; -1: unknown
  double usualBefore_ = -1;      // what it was before the last result
};

}  // namespace orchiddrum::internal

#endif  // ORCHIDDRUM_BALANCER_HEALTH_CHECK_H_
