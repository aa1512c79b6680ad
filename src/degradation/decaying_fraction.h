// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_DECAYING_FRACTION_H_
#define IVYPOST_DEGRADATION_DECAYING_FRACTION_H_

#include <chrono>

#include "degradation/time.h"

namespace ivypost::degradation {

/// The fraction of recent events that have a property. The weight of an event decays exponentially with its
/// age. Uses constant memory regardless of the number of events.
class DecayingFraction {
 public:
  /// Time in which an event's weight falls to 1/e. Short compared with the smoothing times of the
  /// signals that are computed from it, which are smoothed again.
  static constexpr Duration kDecayTime = std::chrono::seconds(1);
  /// Total weight below which value() returns 0: one failure in two events is no sign of overload.
  static constexpr double kMinEvents = 10;

  /// Counts an event. If `now` is earlier than in a previous call, no time is taken to have passed.
  void add(bool hasProperty, TimePoint now);

  /// The fraction, 0 to 1; 0 while the total weight of events is below kMinEvents.
  [[nodiscard]] double value(TimePoint now);

 private:
  void decay(TimePoint now);

  double matching_ = 0;
  double total_ = 0;
  TimePoint updatedAt_;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_DECAYING_FRACTION_H_
