// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/trace_ids.h"

namespace ivypost::admission {

bool TraceIds::isFree(std::uint64_t id, Micros now) {
  removeExpired(now);
  return !ids_.contains(id);
}

bool TraceIds::open(std::uint64_t id, Micros now) {
  removeExpired(now);
  return ids_.emplace(id, false).second;
}

void TraceIds::close(std::uint64_t id, Micros now) {
  const auto found = ids_.find(id);
  if (found == ids_.end() || found->second) return;
  found->second = true;
  closed_.emplace_back(now, id);
  removeExpired(now);
}

void TraceIds::removeExpired(Micros now) {
  while (!closed_.empty() && (closed_.size() > kMaxClosed || now - closed_.front().first > kRetention)) {
    ids_.erase(closed_.front().second);
    closed_.pop_front();
  }
}

}  // namespace ivypost::admission
