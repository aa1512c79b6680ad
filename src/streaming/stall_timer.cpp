// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/stall_timer.h"

#include <algorithm>

namespace ivypost::streaming {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

}  // namespace

StallTimer::TimePoint StallTimer::deadline() const {
  const Duration atMinRate(static_cast<std::int64_t>(bytes_) * kMicrosPerSecond / kMinBytesPerSecond);
  const TimePoint byRate = begin_ + kGracePeriod + atMinRate;
  return std::max(std::min(byRate, last_ + kStallTimeout), begin_ + kGracePeriod);
}

StallTimer::Duration StallTimer::expectedTime(std::uint64_t bytes) const {
  using Micros = std::chrono::duration<double, std::micro>;
  const auto remaining = static_cast<double>(bytes);
  const Micros slowest(remaining * kMicrosPerSecond / kMinBytesPerSecond);
  if (bytes_ == 0) return std::chrono::duration_cast<Duration>(slowest);
  // At least a microsecond: the first bytes may be received at begin_, which would give a rate without bound.
  const Micros elapsed = std::max<TimePoint::duration>(Duration(1), last_ - begin_);
  const Micros atRate = elapsed * remaining / static_cast<double>(bytes_);
  return std::chrono::duration_cast<Duration>(std::min(slowest, atRate));
}

}  // namespace ivypost::streaming
