// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What a booking node does with its work, free of I/O: cores, a waiting room, a cold start, and falling over
// when too much comes at once. Time is a parameter; chance comes from a seed.
#ifndef IVYPOST_STANDINS_NODE_MODEL_H_
#define IVYPOST_STANDINS_NODE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ivypost::standins {

using Micros = std::int64_t;

struct NodeSettings {
  std::uint32_t cores = 2;       // jobs at work at once
  double speed = 1;              // work done a core and microsecond; over 0
  std::size_t waitingRoom = 32;  // jobs that may wait; one more is turned away
  double coldShare = 1;          // of its speed, when it starts; 0 excluded, 1: always warm
  Micros warm = 0;               // until it is warm; its speed rises evenly
  double fallMultiple = 0;  // falls over when more than this x its speed x window comes within it; 0: never
  Micros fallWindow = 1'000'000;
  double errorShare = 0;    // jobs that end in an error
  bool cancelStops = true;  // work stops when its request is given up
};

struct LoadFigures {
  std::size_t inflight = 0, queue = 0;
  double utilisation = 0;   // of the cores, now
  double latencyMs = 0;     // mean service time of the last second's jobs, without waiting
  double qps = 0, eps = 0;  // ended and failed in the last second
};

class NodeModel {
 public:
  using Job = std::uint64_t;
  struct Ended {
    Job job = 0;
    bool error = false;
  };
  enum class Verdict : std::uint8_t { Taken, Full, Draining, Down };

  NodeModel(const NodeSettings& settings, std::uint64_t seed) : settings_(settings), chance_(seed) {}

  void start(Micros now);  // cold, empty, up; also a restart
  void drain() { draining_ = true; }
  // While it hangs it takes jobs and ends none; the work that it had goes on afterwards.
  void hang(bool on, Micros now);

  // `job` is new.
  Verdict submit(Job job, Micros work, Micros now);
  void cancel(Job job, Micros now);  // ignored when it isn't there
  // Jobs that have ended by now, in the order of their ends.
  std::vector<Ended> advance(Micros now);
  // When the next job ends; none: nothing ends by itself.
  std::optional<Micros> next() const;

  bool up() const { return up_; }
  bool fallen() const { return fallen_; }  // down by too much work, until start()
  bool hanging() const { return hanging_; }
  double speedAt(Micros now) const;  // of one core
  LoadFigures figures(Micros now) const;

 private:
  struct Waiting {
    Job job;
    Micros work;
  };
  struct Running {
    Job job;
    Micros startedAt, end;
  };
  void fill(Micros now);
  bool pushedOver(Micros work, Micros now);
  bool chance(double share);

  const NodeSettings settings_;
  std::uint64_t chance_;
  bool up_ = true, fallen_ = false, draining_ = false, hanging_ = false;
  Micros startedAt_ = 0, hungAt_ = 0;
  std::deque<Waiting> waiting_;
  std::vector<Running> running_;
  std::deque<std::pair<Micros, Micros>> arrived_;  // within the fall window: when, and how much work
  Micros arrivedWork_ = 0;
  struct Past {
    Micros at, service;
    bool error;
  };
  std::deque<Past> past_;  // ended in the last second
};

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_NODE_MODEL_H_
