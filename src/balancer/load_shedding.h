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

/// Holds requests for which no endpoint is ready, and computes the retry advice of rejected ones.
///
/// Requests are held only while no endpoint is ready, so their order matters only under overload: the highest
/// weight first, then the newest, since the oldest are the most likely to be late in any case. Each is held
/// for as long as it can still be served in time (Request::holdUntil); the caller limits the number of open
/// requests.
class LoadShedding {
 public:
  /// All arguments must outlive the object.
  LoadShedding(const Settings& settings, const Priority& priority, const LatencyStatistics& latency,
               const SidecarLimit& sidecarLimit)
      : settings_(settings), priority_(priority), latency_(latency), sidecarLimit_(sidecarLimit) {}

  /// Holds a request that is not held yet; schedules a wake-up at its holdUntil and at the end of the
  /// sidecar's backoff.
  void hold(RequestId id, const Request& request, const EventContext& context);
  /// Stops holding the request, if it is held.
  void release(RequestId id) { std::erase(held_, id); }
  /// The number of held requests.
  [[nodiscard]] std::size_t size() const { return held_.size(); }

  /// To be called when the sidecar's backoff has started: schedules a retry of each held request at its end.
  void wakeAfterBackoff(const RequestTable& requests, const EventContext& context) const;

  /// Removes and returns the held request with the greatest weight among those for which
  /// `isServable(request)` is true; none if there is none.
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

  /// The time after which a rejected client should retry, in microseconds, up to Settings::maxRetryAfter; 0:
  /// no advice. Draws a random number unless it is 0.
  [[nodiscard]] Micros retryAfter(const EventContext& context) const;

 private:
  const Settings& settings_;
  const Priority& priority_;
  const LatencyStatistics& latency_;
  const SidecarLimit& sidecarLimit_;
  std::vector<RequestId> held_;  // in the order in which they were held
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LOAD_SHEDDING_H_
