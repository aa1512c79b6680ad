// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_ENDPOINT_REGISTRY_H_
#define IVYPOST_BALANCER_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "balancer/random_source.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// The id that stands for no endpoint.
constexpr EndpointId kNoEndpoint = static_cast<EndpointId>(-1);

/// After an endpoint has answered this sidecar successfully, the sidecar ignores other sidecars' unhealthy
/// reports about it for this long, in microseconds: about the time until the others have made an attempt at
/// it too.
constexpr Micros kOwnEvidenceValidity = 1'000'000;

/// The state of an endpoint. Each group of fields is written by the component named above it. Times are
/// microseconds.
struct Endpoint {
  // EndpointRegistry
  bool isKnown = false;               ///< it has been in an endpoint list
  bool isListed = false;              ///< it is in the current list and serving
  std::uint32_t zone = 0;             ///< from the list; attempts outside Settings::zone may cost more
  std::optional<std::uint32_t> cell;  ///< from the list; none: the endpoint is a cell by itself
  double size = 1;                    ///< relative capacity from the list, above 0
  Micros launchedAt = 0;              ///< process start time from the list; 0: long ago, so not in slow start
  std::uint64_t identity = 0;  ///< from the list; an endpoint with another identity starts without a history

  // RequestLifecycle
  std::uint32_t inFlight = 0;  ///< this sidecar's attempts with Attempt::countsAsInFlight
  Micros lastOutcomeAt = 0;    ///< its last outcome, or the last Send when nothing was in flight

  // SlowStart
  double slowStartCredit = 0;  ///< attempts that it may get while warming up; at most kMaxCredit

  // LatencyStatistics
  double logSlowness = 0;  ///< smoothed log of its latencies relative to those typical of the class
  Micros slownessAt = 0;   ///< when logSlowness was last updated; it decays from then on
  Micros minLatency = std::numeric_limits<Micros>::max();  ///< shortest latency of its answers

  // LoadReports
  bool hasReported = false;        ///< it has reported its busy requests at least once
  std::optional<double> cpuShare;  ///< last reported CPU utilisation, 0 to 1

  // ConcurrencyLimit and endpoint_backoff.h
  double limit = 1;               ///< upper bound of inFlight
  Micros limitCutAt = 0;          ///< attempts sent before this do not cut the limit again
  Micros backoffUntil = 0;        ///< end of its backoff after a rejection or by a limit below one
  int consecutiveRejections = 0;  ///< rejections and failed connects in a row; scales the backoff

  // OutlierDetection
  double failureRate = 0;        ///< smoothed fraction of failed attempts, 0 to 1
  Micros ejectedUntil = 0;       ///< end of its ejection; 0 or past: not ejected
  int consecutiveEjections = 0;  ///< ejections without a readmission in between; scales the ejection time
  bool isHalfOpen = false;       ///< ejected, or in trial after an ejection: gets one attempt at a time
  bool isAnswering = true;       ///< the last outcome was an answer, successful or not
  Micros lastServedAt = -kOwnEvidenceValidity;  ///< when it last answered this sidecar successfully
  Micros reportsValidUntil = 0;  ///< when health reports expire; until then one sidecar sends trials
  bool isTrialOwner = false;     ///< this sidecar is the one that may send trial attempts

  // ConnectionSubset
  std::uint32_t connections = 0;  ///< open connections, as far as the outcomes of attempts show
  bool hasConnectFailed = false;  ///< the last outcome was a failed connect
  bool isInSubset = false;        ///< connections to it are kept open
};

/// All endpoints by id, and the serving ones of the current list.
///
/// Grows with the highest id that the caller has assigned; entries are never removed.
class EndpointRegistry {
 public:
  /// Whether the id is within range. An endpoint in range may still never have been listed
  /// (Endpoint::isKnown).
  [[nodiscard]] bool contains(EndpointId id) const { return id < endpoints_.size(); }
  /// `id` must be contained.
  Endpoint& operator[](EndpointId id) { return endpoints_[id]; }
  /// `id` must be contained. For components that only read.
  const Endpoint& operator[](EndpointId id) const { return endpoints_[id]; }

  /// The serving endpoints, in the order in which they were listed.
  [[nodiscard]] const std::vector<EndpointId>& listed() const { return listed_; }
  /// The mean size of the serving endpoints; 0 while there are none.
  [[nodiscard]] double meanSize() const { return meanSize_; }

  /// Applies a list or changes of it (not Kind::Failed). An endpoint that is new, restarted or a different
  /// process starts without a history: with `startLimit`, and with a random fraction of a slow-start credit,
  /// since sidecars that learn of a start at the same time must not all send at once.
  /// @return the endpoints that are no longer serving, in the order in which they were listed
  std::vector<EndpointId> apply(const MembershipUpdate& update, double startLimit, RandomSource& random);

 private:
  void apply(const EndpointEntry& entry, double startLimit, RandomSource& random);

  std::vector<Endpoint> endpoints_;  // by id
  std::vector<EndpointId> listed_;
  double meanSize_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_ENDPOINT_REGISTRY_H_
