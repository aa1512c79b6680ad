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
  EndpointId endpoint = kNoEndpoint;  ///< where it was sent; the registry contains it
  std::uint32_t zone = 0;             ///< the endpoint's zone at that time
  std::optional<std::uint32_t> cell;  ///< the endpoint's cell at that time
  Micros sentAt = 0;                  ///< the time of the event that caused it; retry windows start here
  bool isPending = true;              ///< it has no outcome yet; later outcomes are ignored
  bool countsAsInFlight = true;       ///< included in the in-flight counts; a streaming attempt is not
  bool needsConnection = false;       ///< no open connection had a free stream when it was sent
  bool mayHaveRun = true;             ///< false once an outcome proves that it never ran
  Micros launchedAt = 0;              ///< the endpoint's start at that time; with the identity, its process
  std::uint64_t identity = 0;         ///< the endpoint's identity at that time
};

/// A request, from its arrival until it has its final answer and no attempt in flight. Times are
/// microseconds.
struct Request {
  std::uint32_t requestClass = 0;       ///< index into Settings::classes, in range
  std::optional<std::uint32_t> tenant;  ///< index into Settings::tenants; none: unknown tenant
  double timeliness = 1;                ///< estimated fraction of its weight that an answer still has
  double relativeWork = 1;              ///< its expected work relative to the typical work of its class
  Micros latencyObjective = 0;          ///< time from its arrival within which an answer has the full weight
  Micros deadline = 0;                  ///< when it must have its final answer, unless it is streaming
  Micros holdUntil = 0;                 ///< time from which it can no longer be answered in time
  EndpointId probedEndpoint = kNoEndpoint;  ///< the endpoint last probed for it
  Micros probeDeadline = 0;                 ///< when that probe times out
  int probes = 0;                           ///< probes started for it by HealthCheck; at most kMaxProbes
  int overloadedProbes = 0;                 ///< how many of them found overload or timed out
  std::vector<Attempt> attempts;            ///< in the order of their Send; an attempt's number is its index
  std::uint32_t pendingAttempts = 0;        ///< attempts without an outcome
  bool isFinished = false;                  ///< it has its final answer, or the client has disconnected
  bool isStreaming = false;                 ///< an attempt's answer is being streamed to the client
  bool isBodyConsumed = false;              ///< the body can't be sent again
  bool hasEarnedCredit = false;  ///< endpoints warming up have received their credit for this request
};

/// The requests that are open or have an attempt in flight, by id. Only looked up, never iterated, since the
/// order of iteration would influence decisions.
using RequestTable = std::unordered_map<RequestId, Request>;

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_REQUEST_H_
