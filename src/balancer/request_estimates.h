// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_REQUEST_ESTIMATES_H_
#define IVYPOST_BALANCER_REQUEST_ESTIMATES_H_

#include <vector>

#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// What is known of a request as it arrives, by its hints and by those of its class before it.
class RequestEstimates {
 public:
  /// `settings` must outlive it.
  explicit RequestEstimates(const Settings& settings)
      : settings_(settings),
        typicalTimeout_(settings.classes.size()),
        typicalWork_(settings.classes.size()) {}

  /// The record of a request that arrives at `now`, with its deadline, and learns from it.
  Request makeRequest(const NewRequest& event, Micros now);

 private:
  [[nodiscard]] Micros latencyObjectiveOf(const NewRequest& event) const;
  double relativeWork(const NewRequest& event);
  double timeliness(const NewRequest& event, Micros latencyObjective);

  const Settings& settings_;
  std::vector<double>
      typicalTimeout_;               // time that clients give a try, by class: the longest, slowly forgotten
  std::vector<double> typicalWork_;  // smoothed hint of work, by class
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_REQUEST_ESTIMATES_H_
