// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_BYTE_BUDGET_H_
#define IVYPOST_GOSSIP_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace ivypost::gossip {

/// A token bucket over bytes (RFC 2697's committed rate and burst) that bounds what is sent in any second,
/// and that what must go may overdraw by a little. In any second at most rate + depth + debt go out, which
/// together are what the operator allows.
class ByteBudget {
 public:
  /// Microseconds of the own monotonic clock.
  using Micros = std::int64_t;
  /// Full at the start. `rate`: bytes that come back each second. `depth`: bytes that may be saved. `debt`:
  /// bytes that may be overdrawn.
  ByteBudget(double rate, double depth, double debt, Micros now)
      : rate_(rate), depth_(depth), debt_(debt), credit_(depth), at_(now) {}

  /// Takes the bytes where they are there, and tells whether: for what can wait or be left out.
  [[nodiscard]] bool take(std::size_t bytes, Micros now) { return takeAbove(bytes, 0, now); }
  /// Takes the bytes down to the debt, and tells whether: for what the protocol can't do without.
  [[nodiscard]] bool demand(std::size_t bytes, Micros now) { return takeAbove(bytes, -debt_, now); }
  /// So many bytes have gone out already.
  void charge(std::size_t bytes, Micros now) {
    refill(now);
    credit_ -= static_cast<double>(bytes);
  }
  /// Bytes that are there; negative while overdrawn.
  [[nodiscard]] double credit(Micros now) {
    refill(now);
    return credit_;
  }

 private:
  static constexpr double kMicrosPerSecond = 1e6;

  bool takeAbove(std::size_t bytes, double floor, Micros now) {
    refill(now);
    if (credit_ - static_cast<double>(bytes) < floor) return false;
    credit_ -= static_cast<double>(bytes);
    return true;
  }
  void refill(Micros now) {
    // A clock that stands or steps back earns nothing.
    const auto elapsed = static_cast<double>(std::max<Micros>(0, now - at_));
    credit_ = std::min(depth_, credit_ + rate_ * elapsed / kMicrosPerSecond);
    at_ = std::max(at_, now);
  }

  double rate_;
  double depth_;
  double debt_;
  double credit_;
  Micros at_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_BYTE_BUDGET_H_
