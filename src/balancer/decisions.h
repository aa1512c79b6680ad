// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_DECISIONS_H_
#define IVYPOST_BALANCER_DECISIONS_H_

#include "balancer/bounded_settings.h"
#include "balancer/concurrency_limit.h"
#include "balancer/connection_subset.h"
#include "balancer/endpoint_readiness.h"
#include "balancer/endpoint_registry.h"
#include "balancer/endpoint_selection.h"
#include "balancer/health_check.h"
#include "balancer/latency_statistics.h"
#include "balancer/load_reports.h"
#include "balancer/load_shedding.h"
#include "balancer/outlier_detection.h"
#include "balancer/priority.h"
#include "balancer/request_estimates.h"
#include "balancer/retry_policy.h"
#include "balancer/send_rate.h"
#include "balancer/sidecar_limit.h"
#include "balancer/slow_start.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// The parts that decide, each with what it depends on: a part uses only those above it.
struct Decisions {
  /// @throws std::invalid_argument as boundedSettings()
  Decisions(const Settings& given, Micros startedAt)
      : settings(boundedSettings(given)), sendRate(settings, startedAt) {}
  // The parts refer to each other.
  Decisions(const Decisions&) = delete;
  Decisions& operator=(const Decisions&) = delete;
  Decisions(Decisions&&) = delete;
  Decisions& operator=(Decisions&&) = delete;
  ~Decisions() = default;

  const Settings settings;
  ReducedService reduced;
  EndpointRegistry endpoints;
  SendRate sendRate;
  LatencyStatistics latency{settings.classes.size()};
  RequestEstimates estimates{settings};
  SlowStart slowStart{settings};
  RetryPolicy retryPolicy{settings, slowStart};
  Priority priority{settings, latency};
  EndpointReadiness readiness{slowStart, latency};
  LoadReports loadReports{settings, latency};
  ConcurrencyLimit concurrencyLimit{settings, endpoints};
  SidecarLimit sidecarLimit{endpoints, readiness, latency, sendRate, priority};
  OutlierDetection outlierDetection{settings, endpoints, readiness, latency};
  ConnectionSubset subset{settings, endpoints, sendRate, latency};
  HealthCheck healthCheck{settings, endpoints, loadReports, priority};
  LoadShedding loadShedding{settings, priority, latency, sidecarLimit};
  EndpointSelection selection{settings, endpoints, slowStart, readiness, retryPolicy, loadReports, subset};
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DECISIONS_H_
