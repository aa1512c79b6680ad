// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/request_estimates.h"

#include <algorithm>

#include "balancer/latency_statistics.h"
#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// Relative work is bounded by this factor in both directions, since hints of work are rough.
constexpr double kMaxRelativeWork = 4;
// A request whose time to its deadline is below this fraction of the class's typical one is taken for a retry
// by a client that has already spent part of its time.
constexpr double kShortenedAttempt = 0.9;

}  // namespace

Request RequestEstimates::makeRequest(const NewRequest& event, Micros now) {
  Request request;
  request.requestClass = event.requestClass;
  request.tenant = event.tenant;
  request.latencyObjective = latencyObjectiveOf(event);
  request.relativeWork = relativeWork(event);
  request.timeliness = timeliness(event, request.latencyObjective);
  request.deadline = now + std::clamp<Micros>(event.expiresIn, 0, util::kLongest);
  return request;
}

Micros RequestEstimates::latencyObjectiveOf(const NewRequest& event) const {
  const RequestClass& cls = settings_.classes[event.requestClass];
  const double stretch =
      cls.objectiveStretch * static_cast<double>(std::max<Micros>(0, event.work.value_or(0)));
  const auto allowance = static_cast<double>(std::max<Micros>(0, cls.deadline - cls.latencyObjective));
  return cls.latencyObjective + static_cast<Micros>(std::min(stretch, allowance));
}

// The request's hint of work relative to the typical hint of its class; 1 without a hint.
double RequestEstimates::relativeWork(const NewRequest& event) {
  if (!event.work || *event.work <= 0) return 1;
  const auto work = static_cast<double>(*event.work);
  double& typical = typicalWork_[event.requestClass];
  util::smooth(typical, work, typical > 0 ? kLatencyGain : 1);
  return std::clamp(work / typical, 1 / kMaxRelativeWork, kMaxRelativeWork);
}

// Prevents clients' retries that can't meet their latency objective any more from displacing fresh requests.
// A shortened time to the deadline shows how much time has passed; for a request that is only marked as a
// retry this is unknown, so its weight is the mean of in time and late.
double RequestEstimates::timeliness(const NewRequest& event, Micros latencyObjective) {
  const RequestClass& cls = settings_.classes[event.requestClass];
  const auto span = static_cast<double>(event.expiresIn);
  double& typical = typicalTimeout_[event.requestClass];
  util::smooth(typical, span, kLatencyGain);
  typical = std::max(span, typical);
  const bool isShortened = span < kShortenedAttempt * typical;
  if (isShortened && cls.deadline - event.expiresIn >= latencyObjective) return cls.lateWeight;
  return isShortened || event.isRetry ? (1 + cls.lateWeight) / 2 : 1;
}

}  // namespace ivypost::balancer::internal
