// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// One event at one size, run on the simulated network: how long until all who need to know of it do, and what
// that costs in bytes, processor time and memory. The same plan gives the same figures but for the last two.
//
// Bounds: each stage of a run ends by its cap in simulated time, and what was not reached within it is none.
#ifndef IVYPOST_SCALE_RUNS_H_
#define IVYPOST_SCALE_RUNS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ivypost::scale {

using Micros = std::int64_t;

enum class Event : std::uint8_t {
  Start,       // all at once
  Return,      // one dies, and returns in a new life
  Rack,        // kRack die at once, and return
  Zone,        // a fifth
  Cut,         // two regions of equal size lose each other, and find each other again
  CutUnequal,  // two thirds of the sidecars in the first region, a third in the second
  Rolling,     // restarts one after the other, a second apart
  Calm,        // nothing
};
constexpr std::size_t kEvents = 8, kRack = 20, kZones = 5;
const char* nameOf(Event event);
std::optional<Event> eventOf(const std::string& name);

struct Plan {
  Event event = Event::Start;
  std::size_t sidecars = 60;
  std::uint64_t seed = 1;
  double loss = 0.01;
  Micros cap = 120'000'000;       // of each stage that is measured
  Micros assemble = 600'000'000;  // the event does not come unless all hear all within this
  Micros settle = 10'000'000;     // after that, before the event
  Micros away = 20'000'000;       // at the least, from a death to the return
  Micros cutSpan = 60'000'000;    // at the least, from the cut to its end
  Micros calmSpan = 30'000'000;
  std::size_t restarts = 74;  // of Rolling
  bool antiEntropy = true;
  bool seedsInBoth = false;  // of the cuts: else all three seeds are in the first region
  bool measureProcessor = true;
  // What this thread has allocated and not freed, in bytes; empty: memory is not measured.
  std::function<std::int64_t()> allocated;
};

// Part of a run, from its begin to when it holds everywhere; none: not within the cap.
struct Stage {
  std::string name;
  std::optional<double> seconds;
  double cap = 0;
};

struct Figures {
  bool assembled = false;  // else the event did not come, and there is nothing else
  double assembleSeconds = 0;
  std::vector<Stage> stages;
  // From the event to the end of its last stage; bytes a second with headers.
  double simulatedSeconds = 0;
  double sentMean = 0, receivedMean = 0;   // of a sidecar
  double sentPeak = 0, receivedPeak = 0;   // of any one in its worst second
  double datagramsMean = 0;                // sent, a second and sidecar
  std::uint64_t falseDeaths = 0;           // of sidecars that ran and could be reached, believed by anybody
  double deafMost = 0, deafMostLater = 0;  // share at any moment of a cut: of all of it, and from 8 s on
  // Processor time for a second of one sidecar, in microseconds: of all that is simulated, and of Members
  // alone.
  double processor = 0, processorMembers = 0;
  double memory = 0;  // of one Members at the end of the run, in bytes; 0: not measured
};

// Throws std::invalid_argument, one line, for a plan that can't be run.
Figures run(const Plan& plan);

}  // namespace ivypost::scale

#endif  // IVYPOST_SCALE_RUNS_H_
