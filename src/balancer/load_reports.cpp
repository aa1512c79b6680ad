// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/load_reports.h"

#include <algorithm>
#include <cmath>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// Overloaded is one with more in hand than it works on at once and so many times the root of that, for
// chance.
constexpr double kQueueingTolerance = 1;
// Weights of a report that tells of fewer, and of more, requests worked on at once than thought: CPU shares
// trail, so reports tell of far too many while load rises.
constexpr double kParallelismFallGain = 0.1;
constexpr double kParallelismRiseGain = 0.02;
// A CPU busier than this tells how many requests would fill it.
constexpr double kInformativeCpu = 0.3;
// Weight of one report in the own zone's CPU share.
constexpr double kZoneCpuGain = 0.2;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

// An endpoint works on as many requests at once as it has in hand less those waiting; or as it would have in
// hand if its CPU had nothing to spare; or, when it has none, as the time to an answer leaves of them against
// that of calm times (Little's law).
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
  if (!(parallelism > 0)) return;  // nothing, or not a number
  const double gain = parallelism < parallelism_ ? kParallelismFallGain : kParallelismRiseGain;
  util::smooth(parallelism_, parallelism, parallelism_ <= 0 ? 1 : gain);
}

bool LoadReports::isOverloaded(const Request& request, const Endpoint& endpoint,
                               const LoadReport& report) const {
  const double busy = *report.busyRequests;
  // Little's law: what is in hand over what is served a second is the time that a request spends there.
  if (report.servedPerSecond) {
    return busy >= 2 && busy * kMicrosPerSecond > *report.servedPerSecond * kSlowFraction *
                                                      static_cast<double>(request.latencyObjective);
  }
  const double parallelism = parallelism_ * endpoint.size;
  return parallelism > 0 && busy + 1 > parallelism + kQueueingTolerance * std::sqrt(parallelism);
}

}  // namespace ivypost::balancer::internal
