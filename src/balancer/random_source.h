// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_RANDOM_SOURCE_H_
#define IVYPOST_BALANCER_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace ivypost::balancer::internal {

/// The balancer's only source of random numbers. The same seed gives the same numbers, so the order in which
/// decisions draw from it is part of the module's behaviour.
class RandomSource {
 public:
  /// Any seed is valid; sidecars need different ones, or they all draw the same numbers.
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// A number in [0, 1), with all 53 bits of a double's fraction.
  double uniform() {
    constexpr int kUnusedBits = 11;
    return static_cast<double>(engine_() >> kUnusedBits) * 0x1p-53;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_RANDOM_SOURCE_H_
