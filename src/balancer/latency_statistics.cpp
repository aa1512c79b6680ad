// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/latency_statistics.h"

#include <algorithm>

#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// Gain of the baseline latency when it rises: low, so that a busy minute hardly changes it.
constexpr double kBaselineRiseGain = 0.003;
// Gain of one answer in an endpoint's slowness.
constexpr double kSlownessGain = 0.1;

void learnSlowness(Endpoint& endpoint, double ratio, Micros now) {
  endpoint.logSlowness = std::log(slowness(endpoint, now));  // the part that has not decayed yet
  util::smooth(endpoint.logSlowness, std::log(std::clamp(ratio, 1 / kMaxBias, kMaxBias)), kSlownessGain);
  endpoint.slownessAt = now;
}

}  // namespace

void LatencyStatistics::learn(Endpoint& endpoint, const Request& request, Micros latency, Micros now) {
  const auto span = static_cast<double>(latency);
  double& usual = typicalLatency_[request.requestClass];
  if (usual > 0) learnSlowness(endpoint, span / usual / request.relativeWork, now);
  endpoint.minLatency = std::min(endpoint.minLatency, latency);
  ++answers_;
  util::smooth(usual, span, std::max(kLatencyGain, 1.0 / ++classAnswers_[request.requestClass]));
  util::smooth(overallLatency_, span, std::max(kLatencyGain, 1.0 / answers_));
  util::smooth(
      baselineLatency_, overallLatency_,
      overallLatency_ < baselineLatency_ ? std::max(kLatencyGain, 1.0 / answers_) : kBaselineRiseGain);
}

}  // namespace ivypost::balancer::internal
