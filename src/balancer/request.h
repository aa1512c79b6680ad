// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_REQUEST_H_
#define IVYPOST_BALANCER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "balancer/endpoint_registry.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// One attempt of a request at an endpoint. Times are microseconds.
struct Attempt {
  EndpointId endpoint = kNoEndpoint;  ///< where it was sent; always one that the registry contains
  std::uint32_t zone = 0;             ///< the endpoint's, at the time
  std::optional<std::uint32_t> cell;  ///< the endpoint's, at the time
  Micros sentAt = 0;                  ///< the time of the event that led to it; repeat windows begin here
  bool isPending = true;              ///< until its first outcome; further ones are ignored
  bool countsAsInFlight = true;       ///< among those in flight
  bool needsConnection = false;       ///< needs a new connection
  bool mayHaveRun = true;             ///< until an outcome proves otherwise
};

/// A request from its arrival until it has its final answer and none of its attempts is out. Times are
/// microseconds.
struct Request {
  std::uint32_t requestClass = 0;       ///< index into Settings::classes; always in range
  std::optional<std::uint32_t> tenant;  ///< index into Settings::tenants; none: of no known tenant
  double timeliness = 1;        ///< part of its weight that an answer may still earn, as far as is known
  double relativeWork = 1;      ///< its expected work against the usual of its class
  Micros latencyObjective = 0;  ///< a span since its arrival: an answer inside it earns the full weight
  Micros deadline = 0;          ///< the moment by which it must have its final answer, unless it is streaming
  Micros holdUntil = 0;         ///< not worth holding any longer
  EndpointId probedEndpoint = kNoEndpoint;  ///< waits for a probe of this endpoint
  Micros probeDeadline = 0;                 ///< the moment from which that probe counts as unanswered
  int probes = 0;                     ///< how many were started for it, by HealthCheck; bounded by kMaxProbes
  int overloadedProbes = 0;           ///< how many of them found overload or went unanswered
  std::vector<Attempt> attempts;      ///< in the order of their Send; an attempt's number is its index
  std::uint32_t pendingAttempts = 0;  ///< attempts without an outcome
  bool isFinished = false;            ///< it has its final answer, or the client has left
  bool isStreaming = false;           ///< an attempt is the client's now
  bool isBodyConsumed = false;        ///< the body can't be sent again
  bool hasEarnedCredit = false;       ///< endpoints that are warming up have had their credit for it
};

/// The requests that are open or have an attempt out, by id: looked up only, never iterated, so their order
/// decides nothing.
using RequestTable = std::unordered_map<RequestId, Request>;

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_REQUEST_H_
