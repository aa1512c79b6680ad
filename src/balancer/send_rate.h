// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_SEND_RATE_H_
#define IVYPOST_BALANCER_SEND_RATE_H_

#include "balancer/decay.h"
#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// The rate at which this sidecar sends attempts: a count that decays exponentially, with the time for which
/// an idle connection is kept as its time constant (Settings::idleTimeout; kDefaultIdleTime if that is
/// unknown).
class SendRate {
 public:
  /// `startedAt`: when the balancer was constructed, in microseconds; the count is scaled up for the part of
  /// the time constant that has not passed since then.
  SendRate(const Settings& settings, Micros startedAt)
      : resolution_(settings.resolution),
        idleTime_(settings.idleTimeout > 0 ? static_cast<double>(settings.idleTimeout) : kDefaultIdleTime),
        startedAt_(startedAt),
        sendsAt_(startedAt) {}

  /// Counts an attempt sent at `now`, in microseconds; the earlier count decays by the time since the last
  /// call.
  void count(Micros now) {
    sends_ = 1 + sends_ * retainedFraction(sendsAt_, idleTime_, now);
    sendsAt_ = now;
  }

  /// Sends in the time for which an idle connection is kept, extrapolated while less than that has passed
  /// since the start.
  [[nodiscard]] double sendsInIdleTime(Micros now) const {
    const double observedFraction =
        1 - std::exp(-static_cast<double>(now - startedAt_ + resolution_) / idleTime_);
    return sends_ * retainedFraction(sendsAt_, idleTime_, now) / observedFraction;
  }

  /// Requests that this sidecar has in flight when answers take `latency` microseconds (Little's law).
  [[nodiscard]] double typicalInFlight(double latency, Micros now) const {
    return sendsInIdleTime(now) * latency / idleTime_;
  }

  /// The time constant in microseconds, above 0.
  [[nodiscard]] double idleTime() const { return idleTime_; }

 private:
  /// In microseconds; long enough for a stable rate at a few requests per second.
  static constexpr double kDefaultIdleTime = 5e6;

  Micros resolution_;
  double idleTime_;
  Micros startedAt_;
  double sends_ = 0;  // recent sends, decayed over idleTime_
  Micros sendsAt_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_SEND_RATE_H_
