// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_BYTE_BUDGET_H_
#define IVYPOST_GOSSIP_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace ivypost::gossip {

/// A token bucket over bytes (RFC 2697's committed rate and burst) that bounds the bytes sent in any second.
/// Required messages may overdraw it by a limited debt. In any second at most rate + depth + debt bytes are
/// sent, a sum that the caller sets to the operator's limit.
class ByteBudget {
 public:
  /// Microseconds of this process's monotonic clock.
  using Micros = std::int64_t;
  /// A full bucket. `rate`: bytes refilled per second. `depth`: the capacity in bytes. `debt`: bytes that
  /// takeWithDebt() may overdraw.
  ByteBudget(double rate, double depth, double debt, Micros now)
      : rate_(rate), depth_(depth), debt_(debt), credit_(depth), at_(now) {}

  /// Takes the bytes if the credit covers them, and returns whether it did: for optional messages.
  [[nodiscard]] bool take(std::size_t bytes, Micros now) { return takeAbove(bytes, 0, now); }
  /// Takes the bytes if credit and debt cover them, and returns whether they did: for messages that the
  /// protocol requires.
  [[nodiscard]] bool takeWithDebt(std::size_t bytes, Micros now) { return takeAbove(bytes, -debt_, now); }
  /// Subtracts bytes that have already been sent, without a limit.
  void charge(std::size_t bytes, Micros now) {
    refill(now);
    credit_ -= static_cast<double>(bytes);
  }
  /// The bytes available now; negative while the bucket is overdrawn.
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
    // Nothing is refilled while the clock stands still or steps back.
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
