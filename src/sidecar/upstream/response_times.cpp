// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/response_times.h"

#include <algorithm>
#include <chrono>

namespace ivypost {

bool ResponseTimes::isEarly(Clock::duration responseTime) const {
  using Nanoseconds = std::chrono::duration<double, std::nano>;
  return shortest_ && Nanoseconds(responseTime) < kEarlyFraction * Nanoseconds(*shortest_);
}

void ResponseTimes::record(Clock::duration responseTime) {
  if (responseTime <= Clock::duration::zero()) return;
  shortest_ = std::min(shortest_.value_or(responseTime), responseTime);
  longest_ = std::max(longest_, responseTime);
}

void ResponseTimes::recordRepetition(bool isRepeated) {
  auto& count = isRepeated ? repeatedAnswers_ : distinctAnswers_;
  count = std::min(count + 1, isRepeated ? 1U : kMinDistinctAnswers);
}

}  // namespace ivypost
