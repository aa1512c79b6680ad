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

/// The components that decide. Each depends only on those that are declared above it.
struct Decisions {
  /// @throws std::invalid_argument as boundedSettings()
  Decisions(const Settings& given, Micros startedAt)
      : settings(boundedSettings(given)), sendRate(settings, startedAt) {}
  // Not copyable or movable: the components refer to each other.
  Decisions(const Decisions&) = delete;
  Decisions& operator=(const Decisions&) = delete;
  Decisions(Decisions&&) = delete;
  Decisions& operator=(Decisions&&) = delete;
  ~Decisions() = default;

  /// The caller's settings, brought into range by boundedSettings(); fixed for the balancer's lifetime.
  const Settings settings;
  /// The last ReducedService, with probeFraction brought into 0 to 1; no restriction before the first.
  ReducedService reducedService;
  /// The state of each endpoint; the other components keep their per-endpoint state in it.
  EndpointRegistry endpoints;
  /// The rate of sent attempts, from which the usual number in flight and the subset's size follow.
  SendRate sendRate;
  /// Typical latencies, from successful answers; the other components scale their times by them.
  LatencyStatistics latency{settings.classes.size()};
  /// Makes a Request of each NewRequest: its work, latency objective and deadline.
  RequestEstimates estimates{settings};
  /// Limits attempts to endpoints that are warming up, by credits.
  SlowStart slowStart{settings};
  /// Permits or forbids each attempt, rejection and failure; no other component overrides it.
  RetryPolicy retryPolicy{settings, slowStart};
  /// Ranks requests by their weight when not all can be served.
  Priority priority{settings, latency};
  /// Whether an endpoint may get an attempt now, by the state that all components have set.
  EndpointReadiness readiness{slowStart, latency};
  /// Estimates load from the reports in answers or probe results.
  LoadReports loadReports{settings, latency};
  /// Bounds this sidecar's attempts in flight at each endpoint.
  ConcurrencyLimit concurrencyLimit{settings, endpoints};
  /// Bounds this sidecar's attempts in flight over all endpoints while it lacks load information.
  SidecarLimit sidecarLimit{endpoints, readiness, latency, sendRate, priority};
  /// Ejects failing endpoints and readmits them by trial attempts.
  OutlierDetection outlierDetection{settings, endpoints, readiness, latency};
  /// Chooses the endpoints to which connections are kept open.
  ConnectionSubset subset{settings, endpoints, sendRate, latency};
  /// Probes the picked endpoint before the request is sent, if the settings allow it.
  HealthCheck healthCheck{settings, endpoints, loadReports, priority};
  /// Holds requests for which no endpoint is ready, and computes when rejected clients should retry.
  LoadShedding loadShedding{settings, priority, latency, sidecarLimit};
  /// Picks the endpoint of each attempt among those that the other components permit.
  EndpointSelection selection{settings, endpoints, slowStart, readiness, retryPolicy, loadReports, subset};
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DECISIONS_H_
