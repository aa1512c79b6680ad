// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_SEND_RATE_H_
#define IVYPOST_BALANCER_SEND_RATE_H_

#include "balancer/decay.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// How many attempts this sidecar has lately sent, faded exponentially over the time for which an idle
/// connection is kept (Settings::idleTimeout; kDefaultIdleTime where that is unknown).
class SendRate {
 public:
  /// `startedAt`: when the balancer began, in microseconds; until idleTime() has
  /// passed since then, what was counted is scaled up to it.
  SendRate(const Settings& settings, Micros startedAt)
      : resolution_(settings.resolution),
        idleTime_(settings.idleTimeout > 0 ? static_cast<double>(settings.idleTimeout) : kDefaultIdleTime),
        startedAt_(startedAt),
        sendsAt_(startedAt) {}

  /// An attempt is sent at `now`, in microseconds; earlier ones fade by the time since the last call.
  void count(Micros now) {
    sends_ = 1 + sends_ * retainedFraction(sendsAt_, idleTime_, now);
    sendsAt_ = now;
  }

  /// How many sends this sidecar makes in the time that an idle connection is kept. What was seen since the
  /// start is scaled up to the whole of that time.
  [[nodiscard]] double sendsInIdleTime(Micros now) const {
    const double seen = 1 - std::exp(-static_cast<double>(now - startedAt_ + resolution_) / idleTime_);
    return sends_ * retainedFraction(sendsAt_, idleTime_, now) / seen;
  }

  /// How many requests this sidecar has in flight when answers take `latency` microseconds (Little's law).
  [[nodiscard]] double typicalInFlight(double latency, Micros now) const {
    return sendsInIdleTime(now) * latency / idleTime_;
  }

  /// In microseconds, above 0.
  [[nodiscard]] double idleTime() const { return idleTime_; }

 private:
  /// Microseconds: long enough for a steady figure at a few requests a second.
  static constexpr double kDefaultIdleTime = 5e6;

  Micros resolution_;
  double idleTime_;
  Micros startedAt_;
  double sends_ = 0;  // lately, faded over idleTime_
  Micros sendsAt_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_SEND_RATE_H_
