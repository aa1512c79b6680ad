// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/endpoint_table.h"

#include <chrono>
#include <utility>

namespace ivypost {
namespace {

using balancer::EndpointEntry;
using balancer::EndpointState;
using balancer::MembershipUpdate;

// Applies the exclusions to an entry: an excluded endpoint is draining, and one that was included again
// counts as started at its inclusion.
discovery::Instance overlay(const discovery::Instance& received, const exclusion::ExclusionSet& exclusions) {
  discovery::Instance overlaid = received;
  if (overlaid.state == EndpointState::Serving && exclusions.isExcluded(overlaid.id))
    overlaid.state = EndpointState::Draining;
  overlaid.startedAt = exclusions.effectiveStart(overlaid.id, overlaid.startedAt);
  return overlaid;
}

}  // namespace

MembershipUpdate EndpointTable::apply(const discovery::EndpointList& list, MembershipUpdate::Kind kind,
                                      const exclusion::ExclusionSet& exclusions, Micros now) {
  MembershipUpdate update;
  update.kind = kind;
  const auto previousUntil = list.previousUntil;
  startTimes_.beginList(
      previousUntil ? std::optional(previousUntil->time_since_epoch().count()) : std::nullopt, now);
  if (kind == MembershipUpdate::Kind::Full) {
    for (EndpointRecord& record : records_)
      record.isListed = false;  // the list below sets it again for those that it names
  }
  for (const discovery::Instance& received : list.instances) {
    if (exclusions.isEmpty()) {
      applyInstance(received, received, update);
    } else {
      applyInstance(overlay(received, exclusions), received, update);
    }
  }
  return update;
}

void EndpointTable::applyInstance(const discovery::Instance& instance, const discovery::Instance& asReceived,
                                  MembershipUpdate& update) {
  if (instance.state == EndpointState::Gone && !numbers_.contains(instance.id)) return;
  EndpointEntry entry;
  entry.upstream = findOrAddNumber(instance.id);
  // An endpoint whose zone or kind the settings don't name can still serve; the field keeps its default.
  if (const auto zone = site_.zones.find(instance.zone); zone != site_.zones.end()) entry.zone = zone->second;
  if (const auto kind = site_.kinds.find(instance.kind); kind != site_.kinds.end()) entry.kind = kind->second;
  entry.cell = instance.cell;
  entry.state = instance.state;
  entry.size = instance.weight;
  entry.identity = settings::identity(instance.id);
  EndpointRecord& record = records_[entry.upstream];
  const std::int64_t startedAtMs = instance.startedAt.time_since_epoch().count();
  if (record.startedAtMs != startedAtMs) record.launchedAt = startTimes_.startOf(entry.identity, startedAtMs);
  entry.launchedAt = record.launchedAt;
  if (record.address != instance.address) releaseAddress(entry.upstream);
  record.address = instance.address;
  record.startedAtMs = startedAtMs;
  if (keepsReceived_) record.asReceived = asReceived;
  record.isListed = instance.state != EndpointState::Gone;
  if (record.isListed && !claimAddress(entry.upstream, update)) {
    record.isListed = false;
    entry.state = EndpointState::Gone;
  }
  update.entries.push_back(entry);
}

std::vector<discovery::Instance> EndpointTable::received(const std::vector<std::string>& ids) const {
  std::vector<discovery::Instance> instances;
  for (const std::string& id : ids) {
    const auto number = find(id);
    if (number && records_[*number].isListed) instances.push_back(records_[*number].asReceived);
  }
  return instances;
}

std::optional<EndpointId> EndpointTable::find(const std::string& id) const {
  const auto found = numbers_.find(id);
  return found == numbers_.end() ? std::nullopt : std::optional(found->second);
}

EndpointId EndpointTable::findOrAddNumber(const std::string& id) {
  if (const auto known = find(id)) return *known;
  if (freeNumbers_.empty()) {
    freeNumbers_.push_back(static_cast<EndpointId>(records_.size()));
    records_.emplace_back();
  }
  const EndpointId upstream = freeNumbers_.back();
  freeNumbers_.pop_back();
  records_[upstream] = EndpointRecord{};
  records_[upstream].id = id;
  numbers_.emplace(id, upstream);
  return upstream;
}

// Prevents requests for an endpoint from reaching another process that now has its address: of two endpoints
// with one address, the one that started last keeps it, and the other one counts as gone even if the list
// still names it. Returns false if `upstream` is the one that counts as gone.
bool EndpointTable::claimAddress(EndpointId upstream, MembershipUpdate& update) {
  const EndpointRecord& own = records_[upstream];
  const auto holder = holders_.try_emplace(own.address, upstream).first;
  const EndpointId before = std::exchange(holder->second, upstream);
  EndpointRecord& other = records_[before];
  if (before == upstream || !other.isListed) return true;
  if (other.startedAtMs > own.startedAtMs) {
    holder->second = before;
    return false;
  }
  other.isListed = false;
  EndpointEntry gone;
  gone.upstream = before;
  gone.state = EndpointState::Gone;
  gone.launchedAt = other.launchedAt;
  gone.identity = settings::identity(other.id);
  update.entries.push_back(gone);
  return true;
}

void EndpointTable::releaseAddress(EndpointId upstream) {
  const auto holder = holders_.find(records_[upstream].address);
  if (holder != holders_.end() && holder->second == upstream) holders_.erase(holder);
}

void EndpointTable::dropUse(EndpointId upstream) {
  --records_[upstream].uses;
  freeIfUnused(upstream);
}

std::vector<EndpointId> EndpointTable::unlisted() const {
  std::vector<EndpointId> unlisted;
  for (EndpointId upstream = 0; upstream < records_.size(); ++upstream) {
    if (!records_[upstream].isListed && !records_[upstream].id.empty()) unlisted.push_back(upstream);
  }
  return unlisted;
}

void EndpointTable::freeIfUnused(EndpointId upstream) {
  EndpointRecord& record = records_[upstream];
  if (record.isListed || record.uses > 0 || record.id.empty()) return;
  numbers_.erase(record.id);
  releaseAddress(upstream);
  record = EndpointRecord{};
  freeNumbers_.push_back(upstream);
}

}  // namespace ivypost
