// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Faults on datagrams, one way between two processes. Free of I/O and clock; what a plan leaves to chance
// comes from a seed, so the same datagrams at the same times meet the same faults.
#ifndef IVYPOST_FAULT_DATAGRAM_H_
#define IVYPOST_FAULT_DATAGRAM_H_

#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace ivypost::fault {

using Micros = std::int64_t;

// Shares from 0 to 1, each drawn for every datagram by itself; times in microseconds.
struct DatagramPlan {
  bool silent = false;  // nothing gets through
  double loss = 0;
  double doubled = 0;            // two copies, each late by its own
  double reordered = 0;          // held back until after those that follow in the next kHeldBack
  double cut = 0;                // to a length from 0 to one less
  double flipped = 0;            // one bit
  Micros delay = 0, jitter = 0;  // late by delay and up to jitter more
  bool operator==(const DatagramPlan&) const = default;
};

class DatagramLink {
 public:
  static constexpr Micros kHeldBack = 20'000;
  struct Passed {
    Micros at = 0;
    std::vector<std::uint8_t> bytes;
  };

  explicit DatagramLink(std::uint64_t seed) : random_(seed) {}

  // For datagrams to come.
  void apply(const DatagramPlan& plan) { plan_ = plan; }
  const DatagramPlan& plan() const { return plan_; }
  // What becomes of this one: nothing, or one or two copies and when they are to be passed on.
  std::vector<Passed> take(std::span<const std::uint8_t> datagram, Micros now);

 private:
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  bool drawn(double share) { return share > 0 && uniform() < share; }
  std::size_t below(std::size_t most) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(most));
  }

  DatagramPlan plan_;
  std::mt19937_64 random_;
};

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_DATAGRAM_H_
