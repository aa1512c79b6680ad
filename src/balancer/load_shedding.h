// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_LOAD_SHEDDING_H_
#define IVYPOST_BALANCER_LOAD_SHEDDING_H_

#include <optional>
#include <vector>

#include "balancer/event_context.h"
#include "balancer/latency_statistics.h"
#include "balancer/priority.h"
#include "balancer/request.h"
#include "balancer/sidecar_limit.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Requests that are held because nobody is ready for them, and what a rejected one is advised.
///
/// Requests are only ever held when nobody is ready, so their order acts only in scarcity: by their
/// weight, then the newest, since the oldest are the likeliest to be late whatever is done. Each is held for
/// as long as it can still be served in time (Request::holdUntil); the caller bounds how many are open.
class LoadShedding {
 public:
  /// All must outlive it.
  LoadShedding(const Settings& settings, const Priority& priority, const LatencyStatistics& latency,
               const SidecarLimit& sidecarLimit)
      : settings_(settings), priority_(priority), latency_(latency), sidecarLimit_(sidecarLimit) {}

  /// Adds a request that nobody is ready for and that isn't held yet; wakes the balancer at its holdUntil and
  /// at the end of the sidecar's backoff.
  void hold(RequestId id, const Request& request, const EventContext& context);
  /// The request is held no more, if it was.
  void release(RequestId id) { std::erase(held_, id); }
  /// How many requests are held now.
  [[nodiscard]] std::size_t size() const { return held_.size(); }

  /// The sidecar is in backoff: those held are tried again when that ends for them.
  void wakeAfterBackoff(const RequestTable& requests, const EventContext& context) const;

  /// Takes off that of the greatest weight of those held that `isServable(request)` says can go out now; none
  /// if none can.
  template <class IsServable>
  std::optional<RequestId> takeHighestWeight(const RequestTable& requests, IsServable isServable) {
    auto next = held_.end();
    double bestWeight = -1;
    for (auto at = held_.end(); at-- != held_.begin();) {
      const Request& request = requests.at(*at);
      const double weight = priority_.weight(request);
      if (weight <= bestWeight || !isServable(request)) continue;
      next = at;
      bestWeight = weight;
    }
    if (next == held_.end()) return std::nullopt;
    const RequestId id = *next;
    held_.erase(next);
    return id;
  }

  /// When a rejected client may come back, in microseconds, up to Settings::maxRetryAfter; 0: no advice.
  /// Draws a random number where there is advice.
  [[nodiscard]] Micros retryAfter(const EventContext& context) const;

 private:
  const Settings& settings_;
  const Priority& priority_;
  const LatencyStatistics& latency_;
  const SidecarLimit& sidecarLimit_;
  std::vector<RequestId> held_;  // in the order they came to be held
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LOAD_SHEDDING_H_
