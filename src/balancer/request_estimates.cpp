// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/request_estimates.h"

#include <algorithm>

#include "balancer/latency_statistics.h"
#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// A request is never taken for this many times heavier or lighter than its class: hints of work are rough.
constexpr double kMaxRelativeWork = 4;
// A try this much shorter than its class's usual one was cut short by what the client has waited already.
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

// How heavy a request is within its class, where it brings a hint of its work.
double RequestEstimates::relativeWork(const NewRequest& event) {
  if (!event.work || *event.work <= 0) return 1;
  const auto work = static_cast<double>(*event.work);
  double& typical = typicalWork_[event.requestClass];
  util::smooth(typical, work, typical > 0 ? kLatencyGain : 1);
  return std::clamp(work / typical, 1 / kMaxRelativeWork, kMaxRelativeWork);
}

// Guards against repeats of clients that take the place of fresh requests though their latency objective is
// gone. A try cut short by the client's deadline tells how much has passed; of one that is only marked as a
// repeat nobody knows, so it counts half way between in time and late.
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
