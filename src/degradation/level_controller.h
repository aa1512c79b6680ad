// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The ladder of reduced service: named levels, each with its conditions of entry and exit, climbed by what
// the sidecar sees of itself and of its upstreams. No I/O and no clock: it is told signals and the time, and
// says at which level the sidecar is and what that switches. Other rooms read the effect; the ladder calls
// none of them.
//
// Guards against flapping by four means, each of its own: signals are smoothed; each signal asks for a level,
// and ceases to ask at a lower threshold than it began; service is reduced by one level at a time, kStepDown
// apart; and it is restored by one level at a time, after a calm that doubles with each restoration that did
// not hold (a probe, as a circuit breaker's half-open state is).
#ifndef IVYPOST_DEGRADATION_LEVEL_CONTROLLER_H_
#define IVYPOST_DEGRADATION_LEVEL_CONTROLLER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivypost::degradation {

using Micros = std::int64_t;

enum class Level : std::uint8_t {
  Normal,
  Thrifty,  // no second copies, fewer probes
  Protect,  // worth first; schools over their share last
  Shed,     // what can't be served in time is refused from its head
  Cutoff,   // nothing new is taken but what is worth most
};
constexpr std::size_t kLevelCount = 5;
const char* nameOf(Level level);

// What the ladder goes by.
enum class Signal : std::uint8_t {
  CpuUtilization,          // of the core that the sidecar may use; 0 to 1
  EventLoopLag,            // microseconds from when a handler was ready to when it ran
  OpenRequestFraction,     // open requests, of the most that may be; 0 to 1
  BusyConnectionFraction,  // descriptors in use, of the limit; 0 to 1
  FailedAttemptFraction,   // attempts that hung, failed or were turned away, of all; 0 to 1
  OverQuotaFraction,       // requests of schools beyond their share, of all; 0 to 1
  RetryFraction,           // requests that their client marked as retries, of all; 0 to 1
  EndpointListAge,         // microseconds since the list of upstreams was last known to be right
};
constexpr std::size_t kSignalCount = 8;
const char* nameOf(Signal signal);

// What a level is entered and left at, by one signal. None: this signal never leads to this level.
struct Threshold {
  double enter = 0, exit = 0;  // exit under enter
};

struct Settings {
  // [level - 1][signal], from Thrifty on. A higher level's thresholds lie no lower than those of the one
  // under it.
  std::array<std::array<std::optional<Threshold>, kSignalCount>, kLevelCount - 1> thresholds;
  // Time constants of the signals' smoothing (exponentially weighted by time), microseconds.
  std::array<Micros, kSignalCount> smoothingTimes{};
  Micros escalationInterval = 300'000;  // between two reductions
  Micros recoveryDelay = 2'000'000;     // below all exits for so long before the first restoration
  Micros maxRecoveryDelay =
      32'000'000;                       // the calm doubles up to this with each restoration that did not hold
  Micros probationPeriod = 10'000'000;  // a restoration that held so long has held
};
// Measured or argued for in docs/design/reduced-service.md.
Settings defaultSettings();
// One line that names what is wrong with them; none: nothing.
std::optional<std::string> findFlaw(const Settings& settings);

// What a level switches, as data.
struct Restrictions {
  bool allowsHedging = true;
  double healthCheckFraction = 1;  // of the usual probes
  bool admitsByPriority = false;   // admission in the order of worth; over-share schools last
  bool rejectsBeforeBody = false;  // what can't be in time is refused before its body is read
  double minPriorityWeight = 0;    // relative to the worthiest class: less is refused
};
Restrictions restrictionsAt(Level level);

struct Transition {
  Level from = Level::Normal, to = Level::Normal;
  Micros at = 0;
  std::optional<Signal> cause;  // of a reduction: the signal that is furthest over its threshold
  double value = 0, threshold = 0;
};
// One line for the log.
std::string describe(const Transition& change);

class LevelController {
 public:
  // `settings` flawless.
  LevelController(const Settings& settings, Micros now);

  // A new sample. Not finite or negative: passed over. Time that goes back counts as standing still.
  void observe(Signal signal, double value, Micros now);
  // Judges; at most one change a call. Call it every kEvaluationInterval or so, and after samples that
  // matter.
  std::optional<Transition> evaluate(Micros now);

  // Takes over other, flawless settings. Level and smoothed signals stay; what the signals ask for is judged
  // anew, from nothing, and a restoration waits for a whole calm.
  void apply(const Settings& settings, Micros now);

  Level level() const { return level_; }
  Micros lastTransitionAt() const { return lastTransitionAt_; }
  double smoothedValue(Signal signal) const { return averages_.at(static_cast<std::size_t>(signal)).value; }

  static constexpr Micros kEvaluationInterval = 50'000;

 private:
  struct MovingAverage {
    double value = 0;
    Micros at = 0;
    bool any = false;
  };
  std::size_t strictestRequestedLevel();
  std::optional<Transition> escalate(Micros now);
  std::optional<Transition> recover(Micros now, std::size_t wanted);

  Settings settings_;
  std::array<MovingAverage, kSignalCount> averages_;
  std::array<std::size_t, kSignalCount> requestedLevels_{};  // the level that each signal asks for
  Level level_ = Level::Normal;
  Micros now_, lastTransitionAt_;
  std::optional<Micros> calmSince_;
  Micros recoveryDelay_;
  std::optional<Micros> unconfirmedRecoveryAt_;  // the last restoration that may not have held yet
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LEVEL_CONTROLLER_H_
