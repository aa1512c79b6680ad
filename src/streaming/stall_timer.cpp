// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/stall_timer.h"

#include <algorithm>

namespace ivypost::streaming {

Micros StallTimer::deadline() const {
  const Micros byPace = begin_ + kGracePeriod + static_cast<Micros>(bytes_) * 1'000'000 / kMinBytesPerSecond;
  return std::max(std::min(byPace, last_ + kStallTimeout), begin_ + kGracePeriod);
}

Micros StallTimer::expectedTime(std::uint64_t bytes) const {
  const auto slowest = static_cast<double>(bytes) * 1e6 / static_cast<double>(kMinBytesPerSecond);
  if (bytes_ == 0) return static_cast<Micros>(slowest);
  const auto span = static_cast<double>(std::max<Micros>(1, last_ - begin_));
  return static_cast<Micros>(
      std::min(slowest, span * static_cast<double>(bytes) / static_cast<double>(bytes_)));
}

}  // namespace ivypost::streaming
