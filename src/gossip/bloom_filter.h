// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_BLOOM_FILTER_H_
#define IVYPOST_GOSSIP_BLOOM_FILTER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace ivypost::gossip {

/// SplitMix64's finalizer, a bijective hash: every bit of the number affects every bit of the result.
constexpr std::uint64_t mix(std::uint64_t number) {
  // The shifts and factors are those of David Stafford's variant 13.
  // NOLINTBEGIN(readability-magic-numbers,cppcoreguidelines-avoid-magic-numbers)
  number = (number ^ number >> 30) * 0xbf58476d1ce4e5b9;
  number = (number ^ number >> 27) * 0x94d049bb133111eb;
  return number ^ number >> 31;
  // NOLINTEND(readability-magic-numbers,cppcoreguidelines-avoid-magic-numbers)
}

/// A salted Bloom filter over 64-bit keys (Bloom 1970; bit positions by double hashing, Kirsch and
/// Mitzenmacher 2006). A pull sends the keys of the entries that the puller already has in such a filter. An
/// entry whose key is a false positive is missing from the answer; the next pull's filter has another salt,
/// and so other false positives.
class BloomFilter {
 public:
  /// The size of the largest filter that fits into a datagram, in bytes.
  static constexpr std::size_t kMaxBytes = 168;
  /// The size of a filter in bits per key. At 16 the false-positive rate is one in 200; at 5, with 268 keys
  /// in kMaxBytes, it is one in 11.
  static constexpr std::size_t kBitsPerKey = 16;

  /// An empty filter for this many keys, at kBitsPerKey each, of kMaxBytes at the most.
  BloomFilter(std::size_t keys, std::uint32_t salt)
      : bytes_(std::clamp<std::size_t>((keys * kBitsPerKey + kBitsPerByte - 1) / kBitsPerByte, kMinBytes,
                                       kMaxBytes)),
        salt_(salt) {}
  /// A received filter; with empty `bytes` it contains no key.
  BloomFilter(std::vector<std::uint8_t> bytes, std::uint32_t salt) : bytes_(std::move(bytes)), salt_(salt) {}

  /// Adds the key. Must not be called on a filter made from empty bytes.
  void add(std::uint64_t key) {
    forEachBit(key, [&](std::size_t bit) {
      bytes_[bit / kBitsPerByte] |= static_cast<std::uint8_t>(1U << bit % kBitsPerByte);
    });
  }
  /// Whether the key was added; may also be true for a key that was not (a false positive).
  [[nodiscard]] bool holds(std::uint64_t key) const {
    if (bytes_.empty()) return false;
    bool all = true;
    forEachBit(key, [&](std::size_t bit) {
      all = all && (bytes_[bit / kBitsPerByte] >> bit % kBitsPerByte & 1U) != 0;
    });
    return all;
  }
  /// The filter's bits, as they are sent.
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
