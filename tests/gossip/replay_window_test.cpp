// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/replay_window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace ivypost::gossip {
namespace {

// Compares the window of RFC 4303, section 3.4.3, with a list of all accepted sequence numbers.
RC_GTEST_PROP(ReplayWindow, AcceptsEachSequenceOnceAndNoneBehindTheWindow,
              (std::vector<std::uint8_t> steps)) {
  ReplayWindow window;
  std::vector<std::uint64_t> taken;
  std::uint64_t highest = 0;
  for (const std::uint8_t step : steps) {
    const std::uint64_t sequence = step + highest / 2 + 1;
    const bool seen = std::find(taken.begin(), taken.end(), sequence) != taken.end();
    const bool behind = sequence + ReplayWindow::kWidth <= highest;
    RC_ASSERT(window.take(sequence) == (!seen && !behind));
    if (!seen && !behind) taken.push_back(sequence);
    highest = std::max(highest, sequence);
  }
}

}  // namespace
}  // namespace ivypost::gossip
