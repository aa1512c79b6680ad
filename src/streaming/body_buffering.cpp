// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/body_buffering.h"

#include <algorithm>

namespace ivypost::streaming {

std::optional<std::size_t> BodyBuffering::capacityFor(std::size_t received,
                                                      std::optional<std::uint64_t> statedLength) {
  if (received <= freeBytes_) return received;
  // Capacity for a stated length is taken at once: a buffer that grows holds twice its bytes while it is
  // copied.
  const std::uint64_t wanted = std::max<std::uint64_t>(received, statedLength.value_or(0));
  if (wanted > kMaxBuffered) return std::nullopt;
  while (share_.bytes() < wanted) {
    if (!share_.grow(kBudgetStep)) return std::nullopt;
  }
  return static_cast<std::size_t>(wanted);
}

StallTimer::Duration BodyBuffering::uploadTime(const StallTimer& rate,
                                               std::optional<std::uint64_t> remaining) {
  return kUploadSlack * rate.expectedTime(remaining.value_or(kMaxBuffered)) + kUploadAllowance;
}

}  // namespace ivypost::streaming
