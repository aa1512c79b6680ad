// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/trace_ids.h"

namespace ivypost::admission {

bool TraceIds::isFree(std::uint64_t id, Micros now) {
  forget(now);
  return open_.count(id) == 0 && past_.count(id) == 0;
}

bool TraceIds::open(std::uint64_t id, Micros now) {
  return isFree(id, now) && open_.insert(id).second;
}

void TraceIds::over(std::uint64_t id, Micros now) {
  if (open_.erase(id) == 0) return;
  past_.insert(id);
  order_.emplace_back(now, id);
  forget(now);
}

void TraceIds::forget(Micros now) {
  while (!order_.empty() && (order_.size() > kMost || now - order_.front().first > kMemory)) {
    past_.erase(order_.front().second);
    order_.pop_front();
  }
}

}  // namespace ivypost::admission
