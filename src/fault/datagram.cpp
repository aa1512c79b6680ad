// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/datagram.h"

namespace ivypost::fault {

std::vector<DatagramLink::Passed> DatagramLink::take(std::span<const std::uint8_t> datagram, Micros now) {
  std::vector<Passed> passed;
  if (plan_.silent) return passed;
  const int copies = drawn(plan_.doubled) ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    if (drawn(plan_.loss)) continue;
    Passed one;
    one.at = now + plan_.delay + static_cast<Micros>(uniform() * static_cast<double>(plan_.jitter));
    if (drawn(plan_.reordered)) one.at += kHeldBack;
    one.bytes.assign(datagram.begin(), datagram.end());
    if (drawn(plan_.cut)) one.bytes.resize(below(one.bytes.size()));
    if (drawn(plan_.flipped) && !one.bytes.empty()) {
      const std::size_t bit = below(8 * one.bytes.size());
      one.bytes[bit / 8] = static_cast<std::uint8_t>(one.bytes[bit / 8] ^ 1U << bit % 8);
    }
    passed.push_back(std::move(one));
  }
  return passed;
}

}  // namespace ivypost::fault
