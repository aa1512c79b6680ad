// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Whether a process that may use a part of a core may run now: so much in each period, as the kernel's
// bandwidth control has it (sched-bwc: quota and period of 100 ms), without needing its privileges. No I/O,
// no clock.
#ifndef IVYPOST_FLEET_THROTTLE_H_
#define IVYPOST_FLEET_THROTTLE_H_

#include <algorithm>
#include <cstdint>

namespace ivypost::fleet {

using Micros = std::int64_t;

class Throttle {
 public:
  // `cores`: over 0; from 1 on it never has to wait.
  Throttle(double cores, Micros now) : quota_(static_cast<Micros>(cores * kPeriod)), periodAt_(now) {}

  // `used`: processor time since the process's start, microseconds.
  bool mayRun(Micros used, Micros now) {
    left_ -= std::max<Micros>(0, used - used_);
    used_ = used;
    while (now - periodAt_ >= kPeriod) {
      periodAt_ += kPeriod;
      left_ = std::min(quota_, left_ + quota_);  // what was overdrawn is owed, what was left is lost
    }
    return quota_ >= kPeriod || left_ > 0;
  }

  static constexpr Micros kPeriod = 100'000;

 private:
  const Micros quota_;
  Micros periodAt_, left_ = quota_, used_ = 0;
};

}  // namespace ivypost::fleet

#endif  // IVYPOST_FLEET_THROTTLE_H_
