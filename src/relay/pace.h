// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// By when more of a body has to have come, so that a client which writes slowly is waited for and one that
// has stopped is not. No clock of its own.
#ifndef IVYPOST_RELAY_PACE_H_
#define IVYPOST_RELAY_PACE_H_

#include <cstdint>

namespace ivypost::relay {

using Micros = std::int64_t;

class Pace {
 public:
  // Clients may write 64 kB a second; half of that is asked for, after some grace.
  static constexpr std::int64_t kLeastPerSecond = 32'000;
  static constexpr Micros kGrace = 2'500'000;
  // Between two pieces, however fast a body came at first: a client that has stopped is owed an error or a
  // close within 3 s.
  static constexpr Micros kStall = 2'500'000;

  explicit Pace(Micros now) : from_(now), last_(now) {}

  void came(std::uint64_t bytes, Micros now) {
    bytes_ += bytes;
    last_ = now;
  }
  // Time that the body was not read because we had no room for it does not count.
  void heldBack(Micros span) { from_ += span; }
  // Given up if nothing comes until then.
  Micros due() const;
  // How long `bytes` more take at the pace so far.
  Micros expected(std::uint64_t bytes) const;

 private:
  Micros from_, last_;
  std::uint64_t bytes_ = 0;
};

}  // namespace ivypost::relay

#endif  // IVYPOST_RELAY_PACE_H_
