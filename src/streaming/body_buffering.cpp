// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/body_buffering.h"

#include <algorithm>
#include <bit>

namespace ivypost::streaming {

bool BodyBuffering::mustStream(std::size_t received, std::optional<std::uint64_t> statedLength) {
  return received >= kMaxBuffered ||
         (received >= kStreamingThreshold && statedLength.value_or(0) > kMaxBuffered);
}

std::optional<std::size_t> BodyBuffering::capacityFor(std::size_t received,
                                                      std::optional<std::uint64_t> statedLength) {
  if (received < kFreeBytes) return kFreeBytes;
  const auto stated =
      static_cast<std::size_t>(std::min<std::uint64_t>(statedLength.value_or(0), kMaxBuffered));
  const std::size_t doubled = std::bit_ceil(received + 1);
  const std::size_t capacity = received < stated ? std::min(kMaxUnusedFactor * received, stated) : doubled;
  if (!share_.growTo(capacity)) return std::nullopt;
  return capacity;
}

StallTimer::Duration BodyBuffering::uploadTime(const StallTimer& rate,
                                               std::optional<std::uint64_t> remaining) {
  return kUploadSlack * rate.expectedTime(remaining.value_or(kMaxBuffered)) + kUploadAllowance;
}

}  // namespace ivypost::streaming
