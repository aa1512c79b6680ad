// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_LOAD_REPORTS_H_
#define IVYPOST_BALANCER_LOAD_REPORTS_H_

#include "balancer/endpoint_registry.h"
#include "balancer/latency_statistics.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// An answer is slow if it took longer than the endpoint's shortest one by more than this fraction of the
/// latency objective: queueing then begins to endanger the objective.
constexpr double kSlowFraction = 0.15;

/// An endpoint that reports a CPU share below this is not overloaded, however slow its answers are.
constexpr double kOverloadCpuThreshold = 0.8;

/// The load that endpoints report with answers or probe results.
class LoadReports {
 public:
  /// Both arguments must outlive the object.
  LoadReports(const Settings& settings, const LatencyStatistics& latency)
      : settings_(settings), latency_(latency) {}

  /// Records a report of the endpoint from an answer or a probe result. Columns that it lacks change nothing;
  /// a CPU share outside 0 to 1 is brought into range.
  void learn(Endpoint& endpoint, const LoadReport& report);

  /// Whether the endpoint's busy requests would delay the request too long. The report must have
  /// busyRequests.
  [[nodiscard]] bool isOverloaded(const Request& request, const Endpoint& endpoint,
                                  const LoadReport& report) const;

  /// Smoothed CPU share reported by the endpoints of this sidecar's zone, 0 to 1; 0 before the first report.
  [[nodiscard]] double ownZoneCpu() const { return ownZoneCpu_; }

 private:
  const Settings& settings_;
  const LatencyStatistics& latency_;
  double parallelism_ =
      0;  // smoothed number of requests processed at once by an endpoint of size 1; 0: unknown
  double ownZoneCpu_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LOAD_REPORTS_H_
