// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#ifndef ORCHIDDRUM_BALANCER_LATENCY_STATISTICS_H_
#define ORCHIDDRUM_BALANCER_LATENCY_STATISTICS_H_

#include <cstdint>
#include <vector>

#include "balancer/decay.h"
#include "balancer/request.h"
#include "orchiddrum/balancer.h"

namespace orchiddrum::internal {

/// Weight of one sample in a smoothed figure that has many: about the last twenty count.
constexpr double kLagGain = 0.05;

/// Draw odds, and an endpoint's slowness, stay within this factor of the mean, either way.
constexpr double kMaxBias = 8;

/// How long an endpoint's answer times are remembered, in microseconds: one that was slow once is tried
/// again.
constexpr double kSlownessMemory = 1e7;

/// How an endpoint's answers have compared with the usual of their class, around 1.
[[nodiscard]] inline double slowness(const Endpoint& endpoint, Micros now) {
  return std::exp(endpoint.logSlowness * kept(endpoint.slownessAt, kSlownessMemory, now));
}

/// Smoothed times to an answer, in microseconds, of good answers alone: over all, by class and by endpoint.
class LatencyStatistics {
 public:
  explicit LatencyStatistics(std::size_t classes) : typicalLag_(classes), classAnswers_(classes) {}

  /// A good answer of the endpoint came after `lag` microseconds.
  void learn(Endpoint& endpoint, const Request& request, Micros lag, Micros now);

  /// Of the class; 0 before its first answer.
  [[nodiscard]] double typicalLag(std::uint32_t requestClass) const { return typicalLag_[requestClass]; }
  /// Over all classes; a second before the first answer.
  [[nodiscard]] double overallLag() const { return overallLag_; }
  /// A low, slow average of overallLag(): what it is in calm times.
  [[nodiscard]] double calmLag() const { return calmLag_; }
  /// How many answers it was learned from.
  [[nodiscard]] double answers() const { return answers_; }

 private:
  static constexpr double kFirstGuess =
      1e6;  // microseconds: before anything is known patience does less harm

  std::vector<double> typicalLag_, classAnswers_;  // by class
  double overallLag_ = kFirstGuess;
  double calmLag_ = kFirstGuess;
  double answers_ = 0;
};

}  // namespace orchiddrum::internal

#endif  // ORCHIDDRUM_BALANCER_LATENCY_STATISTICS_H_
