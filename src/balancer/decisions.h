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

  /// What the caller gave, brought into range by boundedSettings(); fixed for the balancer's life.
  const Settings settings;
  /// The last such event, with its part of the usual probes in 0 to 1; full service before the first.
  ReducedService reducedService;
  /// What is known of each endpoint; the other parts keep their figures of an endpoint in it.
  EndpointRegistry endpoints;
  /// Counts each attempt that is sent, for the usual number in flight and the size of the subset.
  SendRate sendRate;
  /// Learns from good answers; gives other parts the time scale.
  LatencyStatistics latency{settings.classes.size()};
  /// Makes a Request of each NewRequest: its work, latency objective and deadline.
  RequestEstimates estimates{settings};
  /// Limits attempts to endpoints that are warming up by their credit.
  SlowStart slowStart{settings};
  /// Permits or forbids each attempt, rejection and failure; no other part overrules it.
  RetryPolicy retryPolicy{settings, slowStart};
  /// Weighs requests against each other when not all can be served.
  Priority priority{settings, latency};
  /// Whether an endpoint may get an attempt now, by the state that all parts have set.
  EndpointReadiness readiness{slowStart, latency};
  /// Learns load from what endpoints report with answers or probes.
  LoadReports loadReports{settings, latency};
  /// Bounds this sidecar's attempts in flight at each endpoint.
  ConcurrencyLimit concurrencyLimit{settings, endpoints};
  /// Bounds this sidecar's attempts in flight at all endpoints when load information is lacking.
  SidecarLimit sidecarLimit{endpoints, readiness, latency, sendRate, priority};
  /// Ejects endpoints that fail, and lets them back by trial attempts.
  OutlierDetection outlierDetection{settings, endpoints, readiness, latency};
  /// To which endpoints a connection is kept open.
  ConnectionSubset subset{settings, endpoints, sendRate, latency};
  /// Probes a picked endpoint before the request is sent, where the settings allow it.
  HealthCheck healthCheck{settings, endpoints, loadReports, priority};
  /// Holds requests that no endpoint is ready for, and advises rejected clients when to retry.
  LoadShedding loadShedding{settings, priority, latency, sidecarLimit};
  /// Picks the endpoint of each attempt among those that the other parts leave.
  EndpointSelection selection{settings, endpoints, slowStart, readiness, retryPolicy, loadReports, subset};
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DECISIONS_H_
