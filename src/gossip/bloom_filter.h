// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_BLOOM_FILTER_H_
#define IVYPOST_GOSSIP_BLOOM_FILTER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace ivypost::gossip {

/// SplitMix64's finisher: every bit of the number bears on every bit of the result.
constexpr std::uint64_t mix(std::uint64_t number) {
  // The shifts and factors are David Stafford's variant 13.
  // NOLINTBEGIN(readability-magic-numbers,cppcoreguidelines-avoid-magic-numbers)
  number = (number ^ number >> 30) * 0xbf58476d1ce4e5b9;
  number = (number ^ number >> 27) * 0x94d049bb133111eb;
  return number ^ number >> 31;
  // NOLINTEND(readability-magic-numbers,cppcoreguidelines-avoid-magic-numbers)
}

/// A Bloom filter over 64-bit keys with a salt (Bloom 1970; the positions by double hashing, Kirsch and
/// Mitzenmacher 2006). Who pulls a range of a table sends in it what it has already. A key that it holds by
/// mistake is not sent, this time: the next filter has another salt, and another mistake.
class BloomFilter {
 public:
  /// The widest filter, in bytes, that a datagram has room for.
  static constexpr std::size_t kMaxBytes = 168;
  /// With so many bits a key one in 200 is held by mistake; at the 5 of 268 keys in kMaxBytes one in 11.
  static constexpr std::size_t kBitsPerKey = 16;

  /// Empty, wide enough for so many keys if kMaxBytes are.
  BloomFilter(std::size_t keys, std::uint32_t salt)
      : bytes_(std::clamp<std::size_t>((keys * kBitsPerKey + kBitsPerByte - 1) / kBitsPerByte, kMinBytes,
                                       kMaxBytes)),
        salt_(salt) {}
  /// As it was received; empty bytes hold nothing.
  BloomFilter(std::vector<std::uint8_t> bytes, std::uint32_t salt) : bytes_(std::move(bytes)), salt_(salt) {}

  /// The filter holds the key from then on. Not for one of empty bytes.
  void add(std::uint64_t key) {
    forEachBit(key, [&](std::size_t bit) {
      bytes_[bit / kBitsPerByte] |= static_cast<std::uint8_t>(1U << bit % kBitsPerByte);
    });
  }
  /// Whether the key was added, or by mistake.
  [[nodiscard]] bool holds(std::uint64_t key) const {
    if (bytes_.empty()) return false;
    bool all = true;
    forEachBit(key, [&](std::size_t bit) {
      all = all && (bytes_[bit / kBitsPerByte] >> bit % kBitsPerByte & 1U) != 0;
    });
    return all;
  }
  /// As they are sent.
  [[nodiscard]] const std::vector<std::uint8_t>& bytes() const { return bytes_; }

 private:
  static constexpr std::size_t kBitsPerByte = 8;
  static constexpr std::size_t kMinBytes = 8;

  template <class Visit>
  void forEachBit(std::uint64_t key, Visit visit) const {
    constexpr std::uint64_t kHashes = 3;
    constexpr std::uint64_t kLowHalf = 0xffffffff;
    constexpr int kHighHalf = 32;
    const std::uint64_t hash = mix(key ^ mix(salt_));
    const std::uint64_t step = hash >> kHighHalf | 1;
    for (std::uint64_t n = 0; n < kHashes; ++n)
      visit(static_cast<std::size_t>(((hash & kLowHalf) + n * step) % (kBitsPerByte * bytes_.size())));
  }

  std::vector<std::uint8_t> bytes_;
  std::uint32_t salt_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_BLOOM_FILTER_H_
