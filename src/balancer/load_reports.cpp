// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/load_reports.h"

#include <algorithm>
#include <cmath>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// An endpoint is overloaded when its busy requests exceed its parallelism by more than this multiple of the
// parallelism's square root, which allows for random variation.
constexpr double kQueueingTolerance = 1;
// Gains of the smoothed parallelism, for reports below and above the present estimate. The gain for higher
// values is smaller: reported CPU shares lag behind, so while load rises reports show far too much
// parallelism.
constexpr double kParallelismFallGain = 0.1;
constexpr double kParallelismRiseGain = 0.02;
// Above this CPU share, the parallelism can be extrapolated to a full CPU.
constexpr double kInformativeCpu = 0.3;
// Gain of one report in the smoothed CPU share of this sidecar's zone.
constexpr double kZoneCpuGain = 0.2;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

// Estimates an endpoint's parallelism, the number of requests that it processes at once: its busy requests
// less the queued ones; or the busy requests extrapolated to a full CPU; or, if the CPU is already full, the
// busy requests times the ratio of baseline to current latency (Little's law).
void LoadReports::learn(Endpoint& endpoint, const LoadReport& report) {
  if (report.cpuShare) {
    endpoint.cpuShare = util::within(*report.cpuShare, 0, 1);
    if (endpoint.zone == settings_.zone) util::smooth(ownZoneCpu_, *endpoint.cpuShare, kZoneCpuGain);
  }
  if (!report.busyRequests) return;
  endpoint.hasReported = true;
  double parallelism = 0;
  if (report.queued && *report.queued >= 1) {
    parallelism = *report.busyRequests - *report.queued;
  } else if (report.cpuShare && *report.cpuShare >= kOverloadCpuThreshold) {
    parallelism = std::min(*report.busyRequests * latency_.baselineLatency() / latency_.overallLatency(),
                           parallelism_ * endpoint.size);
  } else if (report.cpuShare && *report.cpuShare > kInformativeCpu) {
    parallelism = *report.busyRequests / *report.cpuShare;
  }
  parallelism /= endpoint.size;
  if (!(parallelism > 0)) return;  // none, or NaN
  const double gain = parallelism < parallelism_ ? kParallelismFallGain : kParallelismRiseGain;
  util::smooth(parallelism_, parallelism, parallelism_ <= 0 ? 1 : gain);
}

bool LoadReports::isOverloaded(const Request& request, const Endpoint& endpoint,
                               const LoadReport& report) const {
  const double busy = *report.busyRequests;
  // Little's law: busy requests divided by the requests served per second are the latency in seconds.
  if (report.servedPerSecond) {
    return busy >= 2 && busy * kMicrosPerSecond > *report.servedPerSecond * kSlowFraction *
                                                      static_cast<double>(request.latencyObjective);
  }
  const double parallelism = parallelism_ * endpoint.size;
  return parallelism > 0 && busy + 1 > parallelism + kQueueingTolerance * std::sqrt(parallelism);
}

}  // namespace ivypost::balancer::internal
