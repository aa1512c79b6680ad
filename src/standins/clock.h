// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The one clock of all stand-ins of a process: monotonic microseconds.
#ifndef IVYPOST_STANDINS_CLOCK_H_
#define IVYPOST_STANDINS_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace ivypost::standins {

using SteadyClock = std::chrono::steady_clock;
using Micros = std::int64_t;

inline Micros nowMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now().time_since_epoch()).count();
}

inline SteadyClock::time_point timeOf(Micros micros) {
  return SteadyClock::time_point(std::chrono::microseconds(micros));
}

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_CLOCK_H_
