// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_
#define IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_

#include <optional>

#include "admission/time.h"

namespace ivypost::admission {

/// An exponentially weighted moving average of recent durations, which expires. No I/O and no clock.
///
/// Guards against an average that keeps itself alive: when all requests are rejected because of it, nothing
/// is measured any more, and it would never change. So one that is older than kTimeToLive is unknown, and
/// what is admitted then is measured anew.
class ExpiringAverage {
 public:
  /// A new measurement counts for one part of so many.
  static constexpr Micros kWeightDivisor = 16;
  /// How long after its last measurement the average is known.
  static constexpr Micros kTimeToLive = 500'000;

  /// Adds a duration that was measured at `now`. The first one, and the first after an expiry, is the
  /// average.
  void add(Micros duration, Micros now) {
    value_ = isCurrent(now) ? value_ + (duration - value_) / kWeightDivisor : duration;
    addedAt_ = now;
  }
  /// The average; 0: unknown.
  [[nodiscard]] Micros value(Micros now) const { return isCurrent(now) ? value_ : 0; }

 private:
  [[nodiscard]] bool isCurrent(Micros now) const { return addedAt_ && now - *addedAt_ <= kTimeToLive; }

  Micros value_ = 0;
  std::optional<Micros> addedAt_;  // of the last measurement
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_
