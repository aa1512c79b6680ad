// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_LATENCY_STATISTICS_H_
#define IVYPOST_BALANCER_LATENCY_STATISTICS_H_

#include <cstdint>
#include <vector>

#include "balancer/decay.h"
#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Weight of one sample in a smoothed figure that has many: about the last twenty count.
constexpr double kLatencyGain = 0.05;

/// Draw odds, and an endpoint's slowness, stay within this factor of the mean, either way.
constexpr double kMaxBias = 8;

/// How long an endpoint's answer times are remembered, in microseconds: one that was slow once is tried
/// again.
constexpr double kSlownessMemory = 1e7;

/// How an endpoint's answers have compared with the usual of their class, around 1.
[[nodiscard]] inline double slowness(const Endpoint& endpoint, Micros now) {
  if (endpoint.logSlowness == 0) return 1;  // nothing learned: most of a long list
  return std::exp(endpoint.logSlowness * retainedFraction(endpoint.slownessAt, kSlownessMemory, now));
}

/// Smoothed times to an answer, in microseconds, of good answers alone: over all, by class and by endpoint.
class LatencyStatistics {
 public:
  /// `classes`: how many request classes the settings have; a requestClass is less than that.
  explicit LatencyStatistics(std::size_t classes) : typicalLatency_(classes), classAnswers_(classes) {}

  /// A good answer of the endpoint came after `latency` microseconds.
  void learn(Endpoint& endpoint, const Request& request, Micros latency, Micros now);

  /// Of the class; 0 before its first answer.
  [[nodiscard]] double typicalLatency(std::uint32_t requestClass) const {
    return typicalLatency_[requestClass];
  }
  /// Over all classes; a second before the first answer.
  [[nodiscard]] double overallLatency() const { return overallLatency_; }
  /// A low, slow average of overallLatency(): what it is in calm times.
  [[nodiscard]] double baselineLatency() const { return baselineLatency_; }
  /// How many answers it was learned from.
  [[nodiscard]] double answers() const { return answers_; }

 private:
  static constexpr double kInitialLatency =
      1e6;  // microseconds: before anything is known patience does less harm

  std::vector<double> typicalLatency_, classAnswers_;  // by class
  double overallLatency_ = kInitialLatency;
  double baselineLatency_ = kInitialLatency;
  double answers_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_LATENCY_STATISTICS_H_
