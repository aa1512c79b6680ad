// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A token bucket over bytes (RFC 2697's committed rate and burst) that bounds what is sent in any second, and
// that what must go may overdraw by a little. In any second at most rate + depth + debt go out, which
// together are what the operator allows.
#ifndef IVYPOST_GOSSIP_BYTE_BUDGET_H_
#define IVYPOST_GOSSIP_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace ivypost::gossip {

class ByteBudget {
 public:
  using Micros = std::int64_t;
  // `rate`: what comes back each second. `depth`: what may be saved. `debt`: what may be overdrawn. In bytes.
  ByteBudget(double rate, double depth, double debt, Micros now)
      : rate_(rate), depth_(depth), debt_(debt), credit_(depth), at_(now) {}

  // For what can wait or be left out: taken only where it is there.
  bool take(std::size_t bytes, Micros now) { return takeAbove(bytes, 0, now); }
  // For what the protocol can't do without: down to the debt.
  bool demand(std::size_t bytes, Micros now) { return takeAbove(bytes, -debt_, now); }
  // Has gone out already.
  void charge(std::size_t bytes, Micros now) {
    refill(now);
    credit_ -= static_cast<double>(bytes);
  }
  double credit(Micros now) {
    refill(now);
    return credit_;
  }

 private:
  bool takeAbove(std::size_t bytes, double floor, Micros now) {
    refill(now);
    if (credit_ - static_cast<double>(bytes) < floor) return false;
    credit_ -= static_cast<double>(bytes);
    return true;
  }
  void refill(Micros now) {
    // A clock that stands or steps back earns nothing.
    credit_ = std::min(depth_, credit_ + rate_ * static_cast<double>(std::max<Micros>(0, now - at_)) / 1e6);
    at_ = std::max(at_, now);
  }

  double rate_, depth_, debt_, credit_;
  Micros at_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_BYTE_BUDGET_H_
