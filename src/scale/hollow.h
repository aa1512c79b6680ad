// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A run of hollow sidecars in worker processes, and of real ivypost processes beside them, on loopback: what
// the control part costs in processor time, memory and bytes.
//
// What holds always: no more than kMaxProcesses and half of the machine's memory; however a run ends, nothing
// of it is left running, and its folder is removed unless this process itself is killed.
#ifndef IVYPOST_SCALE_HOLLOW_H_
#define IVYPOST_SCALE_HOLLOW_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ivypost::scale {

constexpr std::uint32_t kMaxProcesses = 200;

struct HollowPlan {
  std::uint32_t sidecars = 60;  // hollow ones
  std::uint32_t processes = 8;  // for them; one of them holds a single one where there are two or more
  std::uint32_t real = 0;       // ivypost processes beside them
  std::uint32_t regions = 0;    // 0: not told
  std::uint32_t zones = 1;
  double seconds = 10;  // of the measurement at rest
  double settle = 10;   // from when all hear all to it
  double within = 120;  // all are to hear all; else the run measures what is
  double memoryMb = 0;  // that may be used; 0, and at the most: half of the machine's
  std::uint64_t seed = 1;
  std::string keyFile;  // empty: a key is made up
  std::string worker;   // the program that is started as `worker ...`
  std::string ivypost;  // for the real ones
  std::function<void(const std::string&)> progress;
};

struct HollowFigures {
  std::optional<double> allHearAll;       // seconds from the start; none: not within the plan's
  std::size_t fewestHeard = 0, deaf = 0;  // at the end of the measurement
  // Of a hollow sidecar at rest: part of a core, bytes a second with headers.
  double processor = 0, sent = 0, received = 0, datagrams = 0;
  double worstSent = 0, worstReceived = 0;            // of any one in its worst second at rest
  double startWorstSent = 0, startWorstReceived = 0;  // and before
  double startProcessor = 0;
  std::uint64_t unsent = 0;
  double memory = 0;                           // resident bytes of the shared workers, by their sidecars
  double aloneProcessor = 0, aloneMemory = 0;  // of the process that holds a single one; 0: there is none
  // Of a real ivypost at rest, its peers on and off.
  double realOnProcessor = 0, realOnMemory = 0, realOffProcessor = 0, realOffMemory = 0;
};

// Throws std::invalid_argument for a plan that this machine or its own figures forbid and std::runtime_error
// for what went wrong later, one line each that names the option and the mend.
HollowFigures run(const HollowPlan& plan);

}  // namespace ivypost::scale

#endif  // IVYPOST_SCALE_HOLLOW_H_
