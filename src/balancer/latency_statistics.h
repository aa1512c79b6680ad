// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_LATENCY_STATISTICS_H_
#define IVYPOST_BALANCER_LATENCY_STATISTICS_H_

#include <cstdint>
#include <vector>

#include "balancer/decay.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Gain of an exponential average once it has many samples: it then averages over about the last twenty.
constexpr double kLatencyGain = 0.05;

/// Draw odds and an endpoint's slowness stay within this factor of their mean, in both directions.
constexpr double kMaxBias = 8;

/// Time constant with which an endpoint's slowness decays, in microseconds, so that an endpoint that was slow
/// is tried again.
constexpr double kSlownessMemory = 1e7;

/// The endpoint's latency relative to the typical latency of the requests' classes; 1 is average.
[[nodiscard]] inline double slowness(const Endpoint& endpoint, Micros now) {
  if (endpoint.logSlowness == 0) return 1;  // no samples yet, as for most endpoints of a long list
  return std::exp(endpoint.logSlowness * retainedFraction(endpoint.slownessAt, kSlownessMemory, now));
}

/// Smoothed latencies of successful answers, in microseconds: overall, by class and by endpoint.
class LatencyStatistics {
 public:
  /// `classes`: the number of request classes in the settings; each requestClass is below it.
  explicit LatencyStatistics(std::size_t classes) : typicalLatency_(classes), classAnswers_(classes) {}

  /// Records a successful answer of the endpoint after `latency` microseconds.
  void learn(Endpoint& endpoint, const Request& request, Micros latency, Micros now);

  /// Smoothed latency of the class; 0 before its first answer.
  [[nodiscard]] double typicalLatency(std::uint32_t requestClass) const {
    return typicalLatency_[requestClass];
  }
  /// Smoothed latency of all classes; a second before the first answer.
  [[nodiscard]] double overallLatency() const { return overallLatency_; }
  /// The latency under low load: an average of overallLatency() that falls quickly and rises slowly.
  [[nodiscard]] double baselineLatency() const { return baselineLatency_; }
  /// The number of recorded answers.
  [[nodiscard]] double answers() const { return answers_; }

 private:
  static constexpr double kInitialLatency =
      1e6;  // microseconds; before the first answer, too long a value does less harm than too short a one

  std::vector<double> typicalLatency_, classAnswers_;  // by class
  double overallLatency_ = kInitialLatency;
  double baselineLatency_ = kInitialLatency;
  double answers_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LATENCY_STATISTICS_H_
