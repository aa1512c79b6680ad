// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_LOAD_REPORTS_H_
#define IVYPOST_BALANCER_LOAD_REPORTS_H_

#include "balancer/endpoint_registry.h"
#include "balancer/latency_statistics.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// An answer is slow that took more than this part of its latency objective beyond the shortest from that
/// endpoint: what is lost to queueing then begins to cost the objective.
constexpr double kSlowFraction = 0.15;

/// An endpoint that reports less of its CPU busy than this is not overloaded, however slow an answer was.
constexpr double kSpareCpuThreshold = 0.8;

/// What endpoints report of their load, with answers or with probes.
class LoadReports {
 public:
  /// Both must outlive it.
  LoadReports(const Settings& settings, const LatencyStatistics& latency)
      : settings_(settings), latency_(latency) {}

  void learn(Endpoint& endpoint, const LoadReport& report);

  /// Whether what the endpoint has in hand would take the request too long. The report must have
  /// busyRequests.
  [[nodiscard]] bool isOverloaded(const Request& request, const Endpoint& endpoint,
                                  const LoadReport& report) const;

  /// Smoothed CPU share that endpoints of the own zone report, 0 to 1; 0 before the first.
  [[nodiscard]] double ownZoneCpu() const { return ownZoneCpu_; }

 private:
  const Settings& settings_;
  const LatencyStatistics& latency_;
  double parallelism_ =
      0;  // smoothed, of requests that an endpoint works on at once, for its size; 0: unknown
  double ownZoneCpu_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LOAD_REPORTS_H_
