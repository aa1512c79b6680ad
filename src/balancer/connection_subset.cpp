// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/connection_subset.h"

#include <algorithm>

#include "balancer/endpoint_readiness.h"

namespace ivypost::balancer::internal {
namespace {

// The subset has as many endpoints as the sidecar can send to kUsesPerConnection times each within the time
// that an idle connection is kept; at least kMinSubsetSize, and at most kSubsetSizePerInFlight for each
// request that is usually in flight.
constexpr double kUsesPerConnection = 4;
constexpr double kMinSubsetSize = 4;
constexpr double kSubsetSizePerInFlight = 4;

}  // namespace

// The number of endpoints to which connections should be kept.
double ConnectionSubset::targetSize(Micros now) const {
  const double byUse = sendRate_.sendsInIdleTime(now) / kUsesPerConnection;
  const double inFlight = sendRate_.typicalInFlight(latency_.baselineLatency(), now);
  return std::max(kMinSubsetSize, std::min(byUse, kSubsetSizePerInFlight * inFlight));
}

bool ConnectionSubset::isPartial(Micros now) const {
  return settings_.idleTimeout > 0 && targetSize(now) < static_cast<double>(endpoints_.listed().size());
}

bool ConnectionSubset::isConnected(const Endpoint& endpoint, Micros now) const {
  return endpoint.connections > 0 && static_cast<double>(now - endpoint.lastOutcomeAt) < sendRate_.idleTime();
}

// Whether a send finds a free stream on an open connection; true if the connections' limits are unknown.
bool ConnectionSubset::canReuseConnection(const Endpoint& endpoint, Micros now) const {
  if (settings_.idleTimeout <= 0 || settings_.maxStreamsPerConnection == 0) return true;
  return isConnected(endpoint, now) &&
         endpoint.inFlight / settings_.maxStreamsPerConnection < endpoint.connections;
}

bool ConnectionSubset::connect(Endpoint& endpoint, Micros now) const {
  const bool needsConnection = !canReuseConnection(endpoint, now);
  if (needsConnection && endpoint.inFlight == 0)
    endpoint.connections = 0;  // open connections have closed by their idle time-out
  return needsConnection;
}

void ConnectionSubset::join(Endpoint& endpoint, Micros now) const {
  if (settings_.idleTimeout > 0 && freeSlots(now) >= 1) endpoint.isInSubset = true;
}

// A reset, or the second failed connect in a row, is taken as the loss of all connections to the endpoint.
void ConnectionSubset::learnConnection(Endpoint& endpoint, const Attempt& attempt, Outcome outcome) {
  const bool failed = outcome == Outcome::ConnectFailed;
  if (outcome == Outcome::Reset || (failed && endpoint.hasConnectFailed)) endpoint.connections = 0;
  endpoint.hasConnectFailed = failed;
  if (!attempt.needsConnection || outcome == Outcome::Cancelled || outcome == Outcome::Timeout ||
      outcome == Outcome::Moot)
    return;
  if (!failed) ++endpoint.connections;
}

// How many more endpoints fit into the subset; below 0 when it has too many.
double ConnectionSubset::freeSlots(Micros now) const {
  const auto& listed = endpoints_.listed();
  return targetSize(now) -
         static_cast<double>(std::count_if(listed.begin(), listed.end(),
                                           [this](EndpointId id) { return endpoints_[id].isInSubset; }));
}

void ConnectionSubset::leaveIfUnfit(Endpoint& endpoint, const Request& request, Outcome outcome,
                                    Micros latency, Micros now) const {
  if (settings_.idleTimeout <= 0 || outcome == Outcome::Cancelled || outcome == Outcome::Moot) return;
  const double typicalLatency = latency_.typicalLatency(request.requestClass) * request.relativeWork;
  const bool isLate = typicalLatency > 0 && static_cast<double>(latency) > kSilenceMultiple * typicalLatency;
  if (outcome != Outcome::Ok || isLate || !endpoint.isListed || freeSlots(now) < 0)
    endpoint.isInSubset = false;
}

void ConnectionSubset::closeUnused(EndpointId id, const EventContext& context) const {
  if (endpoints_[id].inFlight > 0 || endpoints_[id].isInSubset || !isPartial(context.now)) return;
  endpoints_[id].connections = 0;
  context.act(CloseIdle{id});
}

void ConnectionSubset::closeDraining(EndpointId id, const EventContext& context) const {
  if (settings_.closeDrainingWithin <= 0) return;
  context.act(CloseIdle{id});
  const Micros delay = settings_.closeDrainingWithin - 2 * settings_.resolution;
  if (delay > 0) context.deadlines.push({context.now + delay, id, Wake::Kind::CloseDraining});
}

void ConnectionSubset::closeDrainingAgain(EndpointId id, const EventContext& context) const {
  if (!endpoints_[id].isListed) context.act(CloseIdle{id});
}

}  // namespace ivypost::balancer::internal
