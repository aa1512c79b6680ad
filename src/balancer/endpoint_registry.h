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

/// No endpoint: the value of an id that names none.
constexpr EndpointId kNoEndpoint = static_cast<EndpointId>(-1);

/// An answer of this sidecar's own counts for more than what others say of an endpoint for so long, in
/// microseconds: about as long as it takes others to meet the endpoint too.
constexpr Micros kOwnEvidenceValidity = 1'000'000;

/// All that is known of an endpoint. Each group of fields is written by the part that is named above it.
/// Times are microseconds.
struct Endpoint {
  // EndpointRegistry
  bool isKnown = false;    ///< some list has named it
  bool isListed = false;   ///< it is in the current list and serving
  std::uint32_t zone = 0;  ///< from the list; one of another zone than Settings::zone may cost more
  std::optional<std::uint32_t> cell;  ///< from the list; none: by cell it is a group of its own
  double size = 1;                    ///< registered capacity against others, above 0
  Micros launchedAt = 0;       ///< when its process started, as the list has it; 0: long ago, so it is warm
  std::uint64_t identity = 0;  ///< the same at every sidecar; another one starts without a history

  // RequestLifecycle
  std::uint32_t inFlight = 0;  ///< this sidecar's own attempts that have no outcome yet
  Micros lastOutcomeAt = 0;    ///< its last outcome, or when it had nothing in flight

  // SlowStart
  double slowStartCredit = 0;  ///< attempts it may get while it is warming up; at most kMaxCredit

  // LatencyStatistics
  double logSlowness = 0;  ///< smoothed, of answer times against the usual of their class
  Micros slownessAt = 0;   ///< when logSlowness was last updated; it fades from then on
  Micros minLatency = std::numeric_limits<Micros>::max();  ///< of its answers

  // LoadReports
  bool hasReported = false;        ///< ever, what it has in hand
  std::optional<double> cpuShare;  ///< as it last reported, 0 to 1

  // ConcurrencyLimit and endpoint_backoff.h
  double limit = 1;               ///< of inFlight
  Micros limitCutAt = 0;          ///< attempts sent before this do not cut the limit again
  Micros backoffUntil = 0;        ///< in backoff, by a rejection or a limit under one
  int consecutiveRejections = 0;  ///< in a row

  // OutlierDetection
  double failureRate = 0;                       ///< smoothed, of answers and failures, 0 to 1
  Micros ejectedUntil = 0;                      ///< no ordinary attempt before this; 0 or past: none in force
  int consecutiveEjections = 0;                 ///< in a row
  bool isHalfOpen = false;                      ///< ejected, or back on trial: one attempt at a time
  bool isAnswering = true;                      ///< the last outcome was an answer, good or bad
  Micros lastServedAt = -kOwnEvidenceValidity;  ///< its last own answer
  Micros reportsValidUntil = 0;  ///< others have said something of it: a trial is one sidecar's turn ...
  bool isTrialOwner = false;     ///< ... this one's

  // ConnectionSubset
  std::uint32_t connections = 0;  ///< that stand open, as far as attempts have shown
  bool hasConnectFailed = false;  ///< the last outcome was a failed connect
  bool isInSubset = false;        ///< a connection to it is worth keeping
};

/// The endpoints by id, and those of the current list that serve.
///
/// Grows with the highest id that the caller has given; ids are never taken away.
class EndpointRegistry {
 public:
  /// Whether the id is within range. One that is may still never have been named by a list
  /// (Endpoint::isKnown).
  [[nodiscard]] bool contains(EndpointId id) const { return id < endpoints_.size(); }
  /// `id` must be contained.
  Endpoint& operator[](EndpointId id) { return endpoints_[id]; }
  /// `id` must be contained. For the parts that only read.
  const Endpoint& operator[](EndpointId id) const { return endpoints_[id]; }

  /// Those that serve, in the order they were listed.
  [[nodiscard]] const std::vector<EndpointId>& listed() const { return listed_; }
  /// The mean size of those listed; 0 while there are none.
  [[nodiscard]] double meanSize() const { return meanSize_; }

  /// Takes a list or changes of one (not Kind::Failed). An endpoint that is new, restarted or another process
  /// starts without a history: with `startLimit`, and a random part of a slow-start credit, since sidecars
  /// that hear of a start together must not all send at once.
  /// @return those that were listed and are no more, in the order they were listed
  std::vector<EndpointId> apply(const MembershipUpdate& update, double startLimit, RandomSource& random);

 private:
  void apply(const EndpointEntry& entry, double startLimit, RandomSource& random);

  std::vector<Endpoint> endpoints_;  // by id
  std::vector<EndpointId> listed_;
  double meanSize_ = 0;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_ENDPOINT_REGISTRY_H_
