// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/trace_ids.h"

namespace ivypost::admission {

bool TraceIds::isFree(std::uint64_t id, Micros now) {
  forget(now);
  return ids_.count(id) == 0;
}

bool TraceIds::open(std::uint64_t id, Micros now) {
  forget(now);
  return ids_.emplace(id, false).second;
}

void TraceIds::over(std::uint64_t id, Micros now) {
  const auto found = ids_.find(id);
  if (found == ids_.end() || found->second) return;
  found->second = true;
  past_.emplace_back(now, id);
  forget(now);
}

void TraceIds::forget(Micros now) {
  while (!past_.empty() && (past_.size() > kMost || now - past_.front().first > kMemory)) {
    ids_.erase(past_.front().second);
    past_.pop_front();
  }
}

}  // namespace ivypost::admission
