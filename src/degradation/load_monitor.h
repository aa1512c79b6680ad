// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Turns what the sidecar counts into the ladder's signals. No I/O and no clock: the program tells what
// happens, and at each tick what its measurements show.
#ifndef IVYPOST_DEGRADATION_LOAD_MONITOR_H_
#define IVYPOST_DEGRADATION_LOAD_MONITOR_H_

#include <cstdint>
#include <optional>

#include "degradation/level_controller.h"

namespace ivypost::degradation {

// What the program measures at a tick. Times in microseconds.
struct Measurements {
  Micros cpuTime = 0;       // used by the process since its start
  Micros eventLoopLag = 0;  // from when the tick was due to when it ran
  double openRequestFraction =
      0;  // requests that are open, of the most that may be; 0 where there is no limit
  double busyConnectionFraction = 0;  // places for connections at work, of all; the fuller of the two sides
  double overQuotaFraction = 0;       // requests of schools beyond their share, of all
  Micros endpointListAge = 0;         // since the list of upstreams was last known to be right
};

class LoadMonitor {
 public:
  // `cores`: of cpuTime that the process may use; over 0.
  LoadMonitor(const Settings& settings, double cores, Micros now);

  void onRequest(bool isRetry, Micros now);
  // `bad`: it hung, failed or was turned away. One that its sidecar gave up by itself is not meant.
  void onAttemptEnd(bool failed, Micros now);
  std::optional<Transition> tick(const Measurements& measurements, Micros now);

  // Takes over other settings; the level stays, and is judged by them from now on.
  void apply(const Settings& settings, Micros now);

  const LevelController& controller() const { return controller_; }

  // A part of fewer events than so many, lately, says nothing.
  static constexpr double kMinEvents = 10;
  static constexpr double kDecayTime = 1e6;  // of the counts' decay, microseconds

 private:
  struct DecayingFraction {
    double some = 0, all = 0;
    Micros at = 0;
    void count(bool one, Micros now);
    void decay(Micros now);
    double value(Micros now);
  };

  const double cores_;
  LevelController controller_;
  DecayingFraction failedAttempts_, retries_;
  std::optional<Micros> cpuTime_;  // at the last tick
  Micros lastTickAt_;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LOAD_MONITOR_H_
