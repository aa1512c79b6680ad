// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_
#define IVYPOST_ADMISSION_EXPIRING_AVERAGE_H_

#include <optional>

#include "admission/time.h"

namespace ivypost::admission {

/// An exponentially weighted moving average of recent durations that expires. No I/O and no clock.
///
/// The expiry prevents a lock-in: when all requests are rejected because of a high average, nothing is
/// measured any more and the average would never change. So an average older than kTimeToLive counts as
/// unknown, and the requests that are then admitted provide new measurements.
class ExpiringAverage {
 public:
  /// The weight of a new measurement is 1 / kWeightDivisor.
  static constexpr Micros kWeightDivisor = 16;
  /// Microseconds after the last measurement until the average expires.
  static constexpr Micros kTimeToLive = 500'000;

  /// Adds a duration that was measured at `now`. The first duration, and the first one after an expiry,
  /// becomes the average.
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
