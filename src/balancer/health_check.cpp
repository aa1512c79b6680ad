// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/health_check.h"

#include <algorithm>
#include <cmath>

#include "balancer/endpoint_backoff.h"
#include "balancer/latency_statistics.h"
#include "util/bounded_math.h"

namespace ivypost::balancer::internal {
namespace {

// A request gets at most kMaxProbes probes, whose total cost is at most kMaxProbeCost of its weight. A probe
// times out after kProbeTimeoutMultiple of the typical latency of probes.
constexpr double kMaxProbeCost = 0.016;
constexpr double kMaxProbes = 4;
constexpr double kProbeTimeoutMultiple = 4;
// Lower costs of a probe are raised to this, to avoid a division by zero.
constexpr double kMinCost = 1e-9;

// Busy requests in proportion to the endpoint's size; -1 if the result does not report them.
double busyRequestsForSize(const ProbeResult& event, const Endpoint& endpoint) {
  return event.report ? event.report->busyRequests.value_or(-1) / endpoint.size : -1;
}

}  // namespace

HealthCheck::HealthCheck(const Settings& settings, EndpointRegistry& endpoints, LoadReports& loadReports,
                         const Priority& priority)
    : settings_(settings),
      endpoints_(endpoints),
      loadReports_(loadReports),
      priority_(priority),
      isEnabled_(settings.mayProbe && settings.reportsBusyRequests && settings.probeCost <= kMaxProbeCost),
      probeLatency_(std::max<std::uint32_t>(1, settings.zones)) {}

bool HealthCheck::shouldProbe(const Request& request, const ReducedService& reduced,
                              const EventContext& context) {
  if (!isEnabled_ || !context.lacksLoadInformation ||
      request.probes >= maxProbes(request, settings_.probeCost))
    return false;
  probeCredit_ = std::min(1.0, probeCredit_ + reduced.probeFraction);
  if (probeCredit_ < 1) return false;
  probeCredit_ -= reduced.probeFraction < 1 ? 1 : 0;
  return true;
}

// The time-out of a probe of this endpoint, by the typical latency of probes into its zone, since another
// data centre may be far away. Before the first answer from that zone it is the connect time-out.
Micros HealthCheck::probeTimeout(const Endpoint& endpoint) const {
  const double usual = probeLatency_[endpoint.zone];
  const auto timeout =
      usual > 0 ? static_cast<Micros>(kProbeTimeoutMultiple * usual) : settings_.connectTimeout;
  return std::max(timeout, 2 * settings_.resolution);
}

void HealthCheck::startProbe(RequestId id, Request& request, EndpointId to, const EventContext& context) {
  if (request.probes++ == 0) context.deadlines.push({request.holdUntil, id, Wake::Kind::Hold});
  request.probedEndpoint = to;
  request.probeDeadline = context.now + probeTimeout(endpoints_[to]);
  context.deadlines.push({request.probeDeadline, id, Wake::Kind::ProbeTimeout});
  waiting_.push_back(id);
  context.act(Probe{to});
}

void HealthCheck::learn(const ProbeResult& event) {
  Endpoint& endpoint = endpoints_[event.upstream];
  double& probeLatency = probeLatency_[endpoint.zone];
  util::smooth(probeLatency, static_cast<double>(event.latency), probeLatency > 0 ? kLatencyGain : 1);
  if (event.report) loadReports_.learn(endpoint, *event.report);
  previousTypicalBusyRequests_ = typicalBusyRequests_;
  const double busyForSize = busyRequestsForSize(event, endpoint);
  if (busyForSize >= 0)
    util::smooth(typicalBusyRequests_, busyForSize, typicalBusyRequests_ < 0 ? 1 : kLatencyGain);
}

HealthCheck::Verdict HealthCheck::judge(const ProbeResult& event, const Request& request) const {
  const Endpoint& endpoint = endpoints_[event.upstream];
  const double busyForSize = busyRequestsForSize(event, endpoint);
  // An endpoint that has not reported yet does not count as overloaded: reports may be rare.
  if (event.ok && !endpoint.hasReported) return Verdict::HasCapacity;
  if (!event.ok || busyForSize < 0 || loadReports_.isOverloaded(request, endpoint, *event.report))
    return Verdict::Overloaded;
  return previousTypicalBusyRequests_ >= 0 && busyForSize > previousTypicalBusyRequests_
             ? Verdict::BusierThanUsual
             : Verdict::HasCapacity;
}

bool HealthCheck::acceptsPick(const Request& request, Verdict verdict) const {
  if (verdict == Verdict::HasCapacity) return true;
  return verdict == Verdict::BusierThanUsual && request.probes >= maxProbes(request, settings_.probeCost);
}

// One overloaded endpoint must not cause a rejection while other endpoints have capacity, so overloaded
// probes are counted. An endpoint that is only busier than usual is put in backoff for the time of the
// request's other probes.
bool HealthCheck::rejectPick(Request& request, Verdict verdict, double typicalLatency,
                             const EventContext& context) {
  Endpoint& endpoint = endpoints_[request.probedEndpoint];
  if (verdict == Verdict::BusierThanUsual)
    backOff(endpoint, kMaxProbes * probeLatency_[endpoint.zone], context);
  if (verdict == Verdict::Overloaded) {
    backOff(endpoint, typicalLatency, context);
    ++request.overloadedProbes;
  }
  return request.overloadedProbes >= maxProbes(request, 0);
}

// The maximum number of probes for the request if one probe costs `cost`; fewer for a lower relative weight.
// rejectPick() passes a cost of 0, so that a request is rejected only when as many probes have found overload
// as would be made at no cost: fewer probes say too little about the other endpoints.
int HealthCheck::maxProbes(const Request& request, double cost) const {
  const double probes = std::min(kMaxProbes, kMaxProbeCost / std::max(kMinCost, cost));
  return std::max(1, static_cast<int>(std::ceil(std::floor(probes) * priority_.relativeWeight(request))));
}

}  // namespace ivypost::balancer::internal
