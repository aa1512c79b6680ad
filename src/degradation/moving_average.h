// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_MOVING_AVERAGE_H_
#define IVYPOST_DEGRADATION_MOVING_AVERAGE_H_

#include "degradation/time.h"

namespace ivypost::degradation {

/// An average that is weighted exponentially by time, so that samples may come at any interval.
class MovingAverage {
 public:
  /// Adds a sample. The first one stands for the past, of which nothing is known.
  /// @param sample finite.
  /// @param timeConstant a difference falls to 1/e in so long; 0 or less: the sample replaces the average.
  /// @param now no earlier than in the call before.
  void add(double sample, Duration timeConstant, TimePoint now);

  /// In the samples' unit; 0 ahead of the first one.
  [[nodiscard]] double value() const { return value_; }

 private:
  [[nodiscard]] double gain(Duration timeConstant, TimePoint now) const;

  double value_ = 0;
  TimePoint updatedAt_;
  bool hasSample_ = false;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_MOVING_AVERAGE_H_
