// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_REQUEST_ESTIMATES_H_
#define IVYPOST_BALANCER_REQUEST_ESTIMATES_H_

#include <vector>

#include "balancer/request.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// Estimates a request's work, objective and timeliness at its arrival, from its hints and from earlier
/// requests of its class.
class RequestEstimates {
 public:
  /// `settings` must outlive the object.
  explicit RequestEstimates(const Settings& settings)
      : settings_(settings),
        typicalTimeout_(settings.classes.size()),
        typicalWork_(settings.classes.size()) {}

  /// Returns the record of a request that arrives at `now`, and updates the class's statistics.
  Request makeRequest(const NewRequest& event, Micros now);

 private:
  [[nodiscard]] Micros latencyObjectiveOf(const NewRequest& event) const;
  double relativeWork(const NewRequest& event);
  double timeliness(const NewRequest& event, Micros latencyObjective);

  const Settings& settings_;
  std::vector<double>
      typicalTimeout_;               // time from arrival to deadline, by class: the longest, slowly decaying
  std::vector<double> typicalWork_;  // smoothed hints of work, by class
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_REQUEST_ESTIMATES_H_
