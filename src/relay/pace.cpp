// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "relay/pace.h"

#include <algorithm>

namespace ivypost::relay {

Micros Pace::due() const {
  const Micros byPace = from_ + kGrace + static_cast<Micros>(bytes_) * 1'000'000 / kLeastPerSecond;
  return std::max(std::min(byPace, last_ + kStall), from_ + kGrace);
}

Micros Pace::expected(std::uint64_t bytes) const {
  const auto slowest = static_cast<double>(bytes) * 1e6 / static_cast<double>(kLeastPerSecond);
  if (bytes_ == 0) return static_cast<Micros>(slowest);
  const auto span = static_cast<double>(std::max<Micros>(1, last_ - from_));
  return static_cast<Micros>(
      std::min(slowest, span * static_cast<double>(bytes) / static_cast<double>(bytes_)));
}

}  // namespace ivypost::relay
