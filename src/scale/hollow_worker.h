// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Hollow sidecars in one process: of each the control part as in ivypost (GossipHealthView with its
// membership and judgements, its socket, seal and timers), and no data plane, no list of upstreams, no
// operators' calls. Tells what they cost on its standard error, one line of JSON a second.
#ifndef IVYPOST_SCALE_HOLLOW_WORKER_H_
#define IVYPOST_SCALE_HOLLOW_WORKER_H_

#include <cstdint>
#include <string>

#include "gossip/members.h"

namespace ivypost::scale {

// How the sidecars of a run are numbered and grouped; the same in each of its processes.
struct Fleet {
  std::uint32_t sidecars = 60;  // hollow and real ones
  std::uint32_t regions = 0;    // 0: not told
  std::uint32_t zones = 1;
  std::uint16_t port = 0;

  // Each has a loopback address of its own, and all the same port.
  gossip::Address addressOf(std::uint32_t number) const;
  std::uint8_t regionOf(std::uint32_t number) const;
  // Of a sidecar of this number, a new life of it.
  gossip::Settings settingsOf(std::uint32_t number) const;
};
constexpr std::uint32_t kFleetSeeds = 3;
std::string nameOfSidecar(std::uint32_t number);

struct WorkerPlan {
  Fleet fleet;
  std::uint32_t first = 0, count = 1;
  std::uint64_t seed = 1;
  std::string keyFile;
  gossip::Micros startAt = 0;  // by the monotonic clock, which is the same in all processes
};

// Runs until SIGTERM or SIGINT. Throws std::runtime_error, one line.
void work(const WorkerPlan& plan);

}  // namespace ivypost::scale

#endif  // IVYPOST_SCALE_HOLLOW_WORKER_H_
