// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_MOVING_AVERAGE_H_
#define IVYPOST_DEGRADATION_MOVING_AVERAGE_H_

#include "degradation/time.h"

namespace ivypost::degradation {

/// An exponentially weighted moving average (EWMA) by time, so that samples may arrive at any interval.
class MovingAverage {
 public:
  /// Adds a sample. The first sample sets the average.
  /// @param sample must be finite.
  /// @param timeConstant time in which a difference falls to 1/e; 0 or less: the sample replaces the average.
  /// @param now not earlier than in the previous call.
  void add(double sample, Duration timeConstant, TimePoint now);

  /// The average, in the samples' unit; 0 before the first sample.
  [[nodiscard]] double value() const { return value_; }

 private:
  [[nodiscard]] double gain(Duration timeConstant, TimePoint now) const;

  double value_ = 0;
  TimePoint updatedAt_;
  bool hasSample_ = false;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_MOVING_AVERAGE_H_
