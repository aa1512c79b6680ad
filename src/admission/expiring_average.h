// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// How long something took lately. No I/O and no clock.
#ifndef IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_
#define IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_

#include <cstdint>
#include <optional>

namespace ivypost::admission {

using Micros = std::int64_t;

// Guards against an estimate that keeps itself alive: when everything is refused because of it, nothing is
// measured any more, and it would never change. So one that is older than kTimeToLive says nothing, and what
// is then let through measures anew.
class ExpiringAverage {
 public:
  void add(Micros took, Micros now) {
    value_ = isCurrent(now) ? value_ + (took - value_) / kWeightDivisor : took;
    addedAt_ = now;
  }
  // 0: nothing is known.
  Micros value(Micros now) const { return isCurrent(now) ? value_ : 0; }

  static constexpr Micros kWeightDivisor = 16;
  static constexpr Micros kTimeToLive = 500'000;

 private:
  bool isCurrent(Micros now) const { return addedAt_ && now - *addedAt_ <= kTimeToLive; }

  Micros value_ = 0;
  std::optional<Micros> addedAt_;  // of the last measure
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_
