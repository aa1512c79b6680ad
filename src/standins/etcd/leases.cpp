// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/etcd/leases.h"

#include <algorithm>

namespace ivypost::standins::etcd {

std::optional<std::int64_t> Leases::grant(std::int64_t wanted, std::int64_t ttl, Micros now) {
  if (ttl <= 0 || has(wanted)) return std::nullopt;
  const std::int64_t id = wanted != 0 ? wanted : ++last_;
  leases_[id] = {ttl, now + ttl * 1'000'000, {}};
  return id;
}

std::int64_t Leases::keepAlive(std::int64_t id, Micros now) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return 0;
  found->second.until = now + found->second.ttl * 1'000'000;
  return found->second.ttl;
}

std::optional<std::vector<std::string>> Leases::revoke(std::int64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return std::nullopt;
  std::vector<std::string> keys(found->second.keys.begin(), found->second.keys.end());
  for (const std::string& key : keys) holders_.erase(key);
  leases_.erase(found);
  return keys;
}

void Leases::attach(const std::string& key, std::int64_t id) {
  if (const auto holder = holders_.find(key); holder != holders_.end()) {
    leases_.at(holder->second).keys.erase(key);
    holders_.erase(holder);
  }
  const auto found = leases_.find(id);
  if (found == leases_.end()) return;
  found->second.keys.insert(key);
  holders_[key] = id;
}

std::vector<Leases::Ended> Leases::expire(Micros now) {
  std::vector<std::int64_t> ids;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= now) ids.push_back(id);
  }
  std::vector<Ended> ended;
  ended.reserve(ids.size());
  for (const std::int64_t id : ids) ended.push_back({id, *revoke(id)});
  return ended;
}

std::optional<Leases::Micros> Leases::nextEnd() const {
  std::optional<Micros> next;
  for (const auto& [id, lease] : leases_) next = std::min(next.value_or(lease.until), lease.until);
  return next;
}

}  // namespace ivypost::standins::etcd
