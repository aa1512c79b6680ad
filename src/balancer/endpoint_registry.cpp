// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_registry.h"

namespace ivypost::balancer::internal {

std::vector<EndpointId> EndpointRegistry::apply(const MembershipUpdate& update, double startLimit,
                                                RandomSource& random) {
  std::vector<EndpointId> before = listed_;
  if (update.kind != MembershipUpdate::Kind::Changes) {
    // Endpoints missing from a full list are gone.
    for (const EndpointId id : listed_) endpoints_[id].isListed = false;
    listed_.clear();
  }
  for (const EndpointEntry& entry : update.entries) apply(entry, startLimit, random);
  meanSize_ = 0;
  for (const EndpointId id : listed_) meanSize_ += endpoints_[id].size / static_cast<double>(listed_.size());
  std::erase_if(before, [this](EndpointId id) { return endpoints_[id].isListed; });
  return before;
}

void EndpointRegistry::apply(const EndpointEntry& entry, double startLimit, RandomSource& random) {
  if (!contains(entry.upstream)) endpoints_.resize(entry.upstream + 1);
  Endpoint& endpoint = endpoints_[entry.upstream];
  const bool wasListed = endpoint.isListed;
  const bool restarted = entry.launchedAt != endpoint.launchedAt || entry.identity != endpoint.identity;
  if (!endpoint.isKnown || restarted) {
    const std::uint32_t inFlight = endpoint.inFlight;
    endpoint = Endpoint{};  // a restarted or different process has no history
    endpoint.inFlight = inFlight;
    endpoint.launchedAt = entry.launchedAt;
    endpoint.identity = entry.identity;
    endpoint.limit = startLimit;
    endpoint.slowStartCredit = random.uniform();
  }
  endpoint.isKnown = true;
  endpoint.zone = entry.zone;
  endpoint.cell = entry.cell;
  endpoint.size = entry.size > 0 ? entry.size : 1;
  endpoint.isListed = entry.state == EndpointState::Serving;
  if (endpoint.isListed && !wasListed) listed_.push_back(entry.upstream);
  if (!endpoint.isListed && wasListed) std::erase(listed_, entry.upstream);
}

}  // namespace ivypost::balancer::internal
