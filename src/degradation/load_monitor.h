// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Turns what the sidecar counts into the ladder's signals. No I/O and no clock: the program tells what
// happens, and at each tick what its gauges show.
#ifndef IVYPOST_DEGRADATION_LOAD_MONITOR_H_
#define IVYPOST_DEGRADATION_LOAD_MONITOR_H_

#include <cstdint>
#include <optional>

#include "degradation/level_controller.h"

namespace ivypost::degradation {

// What the program measures at a tick. Times in microseconds.
struct Measurements {
  Micros processor = 0;    // used by the process since its start
  Micros late = 0;         // from when the tick was due to when it ran
  double openShare = 0;    // requests that are open, of the most that may be; 0 where there is no limit
  double busyPlaces = 0;   // places for connections at work, of all; the fuller of the two sides
  double beyondShare = 0;  // requests of schools beyond their share, of all
  Micros listAge = 0;      // since the list of upstreams was last known to be right
};

class LoadMonitor {
 public:
  // `cores`: of processor that the process may use; over 0.
  LoadMonitor(const Settings& settings, double cores, Micros now);

  void requestCame(bool resent, Micros now);
  // `bad`: it hung, failed or was turned away. One that its sidecar gave up by itself is not meant.
  void attemptEnded(bool bad, Micros now);
  std::optional<Transition> tick(const Measurements& gauges, Micros now);

  // Takes over other settings; the level stays, and is judged by them from now on.
  void adopt(const Settings& settings, Micros now);

  const LevelController& ladder() const { return ladder_; }

  // A part of fewer events than so many, lately, says nothing.
  static constexpr double kLeast = 10;
  static constexpr double kConstant = 1e6;  // of the counts' decay, microseconds

 private:
  struct DecayingFraction {
    double some = 0, all = 0;
    Micros at = 0;
    void count(bool one, Micros now);
    void decay(Micros now);
    double value(Micros now);
  };

  const double cores_;
  LevelController ladder_;
  DecayingFraction bad_, resent_;
  std::optional<Micros> processor_;  // at the last tick
  Micros tickedAt_;
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LOAD_MONITOR_H_
