// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_registry.h"

namespace orchiddrum::internal {

std::vector<UpstreamId> EndpointRegistry::apply(const MembershipUpdate& update, double startLimit,
                                                RandomSource& random) {
  std::vector<UpstreamId> before = listed_;
  if (update.kind != MembershipUpdate::Kind::Changes) {
    // Whoever is missing from a full list is gone.
    for (const UpstreamId id : listed_) upstreams_[id].listed = false;
    listed_.clear();
  }
  for (const UpstreamEntry& entry : update.entries) apply(entry, startLimit, random);
  meanSize_ = 0;
  for (const UpstreamId id : listed_) meanSize_ += upstreams_[id].size / static_cast<double>(listed_.size());
  std::erase_if(before, [this](UpstreamId id) { return upstreams_[id].listed; });
  return before;
}

void EndpointRegistry::apply(const UpstreamEntry& entry, double startLimit, RandomSource& random) {
  if (!contains(entry.upstream)) upstreams_.resize(entry.upstream + 1);
  Upstream& upstream = upstreams_[entry.upstream];
  const bool was = upstream.listed;
  const bool restarted = entry.launchedAt != upstream.launchedAt || entry.identity != upstream.identity;
  if (!upstream.known || restarted) {
    const std::uint32_t inFlight = upstream.inFlight;
    upstream = Upstream{};  // a restarted process, or another one, has no history
    upstream.inFlight = inFlight;
    upstream.launchedAt = entry.launchedAt;
    upstream.identity = entry.identity;
    upstream.limit = startLimit;
    upstream.coldCredit = random.uniform();
  }
  upstream.known = true;
  upstream.zone = entry.zone;
  upstream.cell = entry.cell;
  upstream.size = entry.size > 0 ? entry.size : 1;
  upstream.listed = entry.state == UpstreamState::Serving;
  if (upstream.listed && !was) listed_.push_back(entry.upstream);
  if (!upstream.listed && was) std::erase(listed_, entry.upstream);
}

}  // namespace orchiddrum::internal
