// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_DECAYING_FRACTION_H_
#define IVYPOST_DEGRADATION_DECAYING_FRACTION_H_

#include <chrono>

#include "degradation/time.h"

namespace ivypost::degradation {

/// The fraction of recent events that have a property. Old events lose weight exponentially by time. Takes
/// constant memory whatever the number of events.
class DecayingFraction {
 public:
  /// An event's weight falls to 1/e in so long. Short against the signals' own smoothing, which follows.
  static constexpr Duration kDecayTime = std::chrono::seconds(1);
  /// Total weight below which the fraction says nothing: one failure of two is no sign of overload.
  static constexpr double kMinEvents = 10;

  /// Counts an event. Time that goes back counts as standing still.
  void add(bool hasProperty, TimePoint now);

  /// 0 to 1; 0 while there are fewer recent events than kMinEvents.
  [[nodiscard]] double value(TimePoint now);

 private:
  void decay(TimePoint now);

  double matching_ = 0;
  double total_ = 0;
  TimePoint updatedAt_;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_DECAYING_FRACTION_H_
