// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The one clock of what carries faults out: monotonic microseconds.
#ifndef IVYPOST_FAULT_CLOCK_H_
#define IVYPOST_FAULT_CLOCK_H_

#include <chrono>

#include "fault/plan.h"

namespace ivypost::fault {

inline Micros now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_CLOCK_H_
