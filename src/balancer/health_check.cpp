// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/health_check.h"

#include <algorithm>
#include <cmath>

#include "balancer/endpoint_backoff.h"
#include "balancer/latency_statistics.h"
#include "figures.h"

namespace orchiddrum::internal {
namespace {

// So many looks a request at most, none beyond what costs this part of its worth, and one is given up after
// so many times the usual time of a look.
constexpr double kMaxLookPrice = 0.016;
constexpr double kMaxLooks = 4;
constexpr double kLookPatience = 4;
// A price below it counts as this much.
constexpr double kLeastPrice = 1e-9;

// Requests in hand for the endpoint's size; -1 where the result tells none.
double busyOf(const ProbeResult& event, const Endpoint& endpoint) {
  return event.report ? event.report->busyRequests.value_or(-1) / endpoint.size : -1;
}

}  // namespace

HealthCheck::HealthCheck(const Settings& settings, EndpointRegistry& endpoints, LoadReports& loadReports,
                         const Priority& priority)
    : settings_(settings),
      endpoints_(endpoints),
      loadReports_(loadReports),
      priority_(priority),
      looks_(settings.mayProbe && settings.reportsBusy && settings.probePrice <= kMaxLookPrice),
      lookLag_(std::max<std::uint32_t>(1, settings.zones)) {}

bool HealthCheck::mayLook(const Request& request, const ReducedService& reduced,
                          const EventContext& context) {
  if (!looks_ || !context.blind || request.looks >= looksFor(request, settings_.probePrice)) return false;
  lookCredit_ = std::min(1.0, lookCredit_ + reduced.probes);
  if (lookCredit_ < 1) return false;
  lookCredit_ -= reduced.probes < 1 ? 1 : 0;
  return true;
}

// How long a look at this endpoint is waited for, by the usual time of one into its zone: another data
// centre is far. Before one was answered from there it is what a connection may take.
Micros HealthCheck::lookPatience(const Endpoint& endpoint) const {
  const double usual = lookLag_[endpoint.zone];
  const auto patience = usual > 0 ? static_cast<Micros>(kLookPatience * usual) : settings_.connectTimeout;
  return std::max(patience, 2 * settings_.resolution);
}

void HealthCheck::look(RequestId id, Request& request, UpstreamId to, const EventContext& context) {
  if (request.looks++ == 0) context.deadlines.push({request.holdUntil, id, Wake::What::Hold});
  request.lookAt = to;
  request.lookUntil = context.now + lookPatience(endpoints_[to]);
  context.deadlines.push({request.lookUntil, id, Wake::What::Look});
  looking_.push_back(id);
  context.act(Probe{to});
}

void HealthCheck::learn(const ProbeResult& event) {
  Endpoint& endpoint = endpoints_[event.upstream];
  double& lookLag = lookLag_[endpoint.zone];
  smooth(lookLag, static_cast<double>(event.lag), lookLag > 0 ? kLagGain : 1);
  if (event.report) loadReports_.learn(endpoint, *event.report);
  usualBefore_ = usualBusy_;
  const double busy = busyOf(event, endpoint);
  if (busy >= 0) smooth(usualBusy_, busy, usualBusy_ < 0 ? 1 : kLagGain);
}

HealthCheck::Verdict HealthCheck::judge(const ProbeResult& event, const Request& request) const {
  const Endpoint& endpoint = endpoints_[event.upstream];
  const double busy = busyOf(event, endpoint);
  // One that has no figures yet is not crowded for that: reports may be far between.
  if (event.ok && !endpoint.reported) return Verdict::Room;
  if (!event.ok || busy < 0 || loadReports_.isCrowded(request, endpoint, *event.report))
    return Verdict::Crowded;
  return usualBefore_ >= 0 && busy > usualBefore_ ? Verdict::Busier : Verdict::Room;
}

bool HealthCheck::picks(const Request& request, Verdict verdict) const {
  if (verdict == Verdict::Room) return true;
  return verdict == Verdict::Busier && request.looks >= looksFor(request, settings_.probePrice);
}

// Guards against refusing for one crowded endpoint a request whose other looks have met room. One that is
// only busier than usual is left out of this request's other looks.
bool HealthCheck::passOver(Request& request, Verdict verdict, double typicalLag,
                           const EventContext& context) {
  Endpoint& endpoint = endpoints_[request.lookAt];
  if (verdict == Verdict::Busier) rest(endpoint, kMaxLooks * lookLag_[endpoint.zone], context);
  if (verdict == Verdict::Crowded) {
    rest(endpoint, typicalLag, context);
    ++request.crowdedLooks;
  }
  return request.crowdedLooks >= looksFor(request, 0);
}

// The less a request is worth against the worthiest, the fewer looks at this price. When as many as are for
// nothing find crowding, it gives way: fewer, where they are dear, prove nothing of the others.
int HealthCheck::looksFor(const Request& request, double price) const {
  const double looks = std::min(kMaxLooks, kMaxLookPrice / std::max(kLeastPrice, price));
  return std::max(1, static_cast<int>(std::ceil(std::floor(looks) * priority_.relativeWorth(request))));
}

}  // namespace orchiddrum::internal
