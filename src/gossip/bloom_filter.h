// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A Bloom filter over 64-bit keys with a salt (Bloom 1970; the positions by double hashing, Kirsch and
// Mitzenmacher 2006). Who asks for a part of a table tells by it what it has already. A key that it holds by
// mistake is not sent, this time: the next filter has another salt, and another mistake.
#ifndef IVYPOST_GOSSIP_BLOOM_FILTER_H_
#define IVYPOST_GOSSIP_BLOOM_FILTER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace ivypost::gossip {

// SplitMix64's finisher: every bit of the number bears on every bit of the result.
constexpr std::uint64_t mix(std::uint64_t number) {
  number = (number ^ number >> 30) * 0xbf58476d1ce4e5b9;
  number = (number ^ number >> 27) * 0x94d049bb133111eb;
  return number ^ number >> 31;
}

class BloomFilter {
 public:
  static constexpr std::size_t kMaxBytes = 168;
  // With so many bits a key one in 200 is held by mistake; at the 5 of 268 keys in kMaxBytes one in 11.
  static constexpr std::size_t kBitsPerKey = 16;

  // Empty, wide enough for so many keys if kMaxBytes are.
  BloomFilter(std::size_t keys, std::uint32_t salt)
      : bytes_(std::clamp<std::size_t>((keys * kBitsPerKey + 7) / 8, 8, kMaxBytes)), salt_(salt) {}
  // As it came; empty bytes hold nothing.
  BloomFilter(std::vector<std::uint8_t> bytes, std::uint32_t salt) : bytes_(std::move(bytes)), salt_(salt) {}

  void add(std::uint64_t key) {
    forEachBit(key, [&](std::size_t bit) { bytes_[bit / 8] |= static_cast<std::uint8_t>(1U << bit % 8); });
  }
  bool holds(std::uint64_t key) const {
    if (bytes_.empty()) return false;
    bool all = true;
    forEachBit(key, [&](std::size_t bit) { all = all && (bytes_[bit / 8] >> bit % 8 & 1U) != 0; });
    return all;
  }
  const std::vector<std::uint8_t>& bytes() const { return bytes_; }

 private:
  template <class Visit>
  void forEachBit(std::uint64_t key, Visit visit) const {
    constexpr int kHashes = 3;
    const std::uint64_t hash = mix(key ^ mix(salt_));
    const std::uint64_t step = hash >> 32 | 1;
    for (std::uint64_t n = 0; n < kHashes; ++n)
      visit(static_cast<std::size_t>(((hash & 0xffffffff) + n * step) % (8 * bytes_.size())));
  }

  std::vector<std::uint8_t> bytes_;
  std::uint32_t salt_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_BLOOM_FILTER_H_
