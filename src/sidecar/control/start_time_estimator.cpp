// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/start_time_estimator.h"

#include <algorithm>

namespace ivypost {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

}  // namespace

void StartTimeEstimator::beginList(std::optional<Micros> previousUntil, Micros now) {
  now_ = now;
  earliestSeen_.reset();
  if (previousUntil) earliestSeen_ = std::min(*previousUntil, now) - kNoticeDelay;
}

StartTimeEstimator::Micros StartTimeEstimator::startOf(std::uint64_t upstream, std::int64_t startedAtMs) {
  if (startedAtMs == 0) return 0;
  const Start start{upstream, startedAtMs};
  if (const auto found = starts_.find(start); found != starts_.end()) return found->second;
  Micros at = startedAtMs * kMicrosPerMilli + unixToSteady_;
  const bool contradicted = earliestSeen_ && at < *earliestSeen_;
  if (contradicted || at > now_) at = now_;
  at = std::max<Micros>(1, at);
  if (insertionOrder_.size() >= kMaxStarts) {
    starts_.erase(insertionOrder_.front());
    insertionOrder_.pop_front();
  }
  starts_.emplace(start, at);
  insertionOrder_.push_back(start);
  return at;
}

}  // namespace ivypost
