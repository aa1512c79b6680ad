// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_BYTE_CODEC_H_
#define IVYPOST_GOSSIP_BYTE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ivypost::gossip {

/// The bits of a byte.
constexpr int kByteBits = 8;

/// Appends big-endian numbers to bytes, which have to outlive it.
class Writer {
 public:
  /// Behind what `to` holds.
  explicit Writer(std::vector<std::uint8_t>& to) : to_(&to) {}
  /// Appends the number in its own width.
  template <class Number>
  void put(Number number) {
    for (int shift = kByteBits * (static_cast<int>(sizeof number) - 1); shift >= 0; shift -= kByteBits)
      to_->push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(number) >> shift));
  }

 private:
  std::vector<std::uint8_t>* to_;
};

/// Reads big-endian numbers, one after the other; beyond the end it gives 0 and is no longer good(). The
/// bytes have to outlive it.
class Reader {
 public:
  /// From the first of these bytes.
  explicit Reader(std::span<const std::uint8_t> from) : from_(from) {}
  /// The next number, of its own width.
  template <class Number>
  Number get() {
    std::uint64_t number = 0;
    for (std::size_t n = 0; n < sizeof(Number); ++n) {
      number = number << kByteBits | (at_ < from_.size() ? from_[at_] : 0U);
      if (at_++ >= from_.size()) good_ = false;
    }
    return static_cast<Number>(number);
  }
  /// The next so many bytes; empty, and no longer good(), where fewer are left.
  std::span<const std::uint8_t> take(std::size_t length) {
    if (length > left()) {
      good_ = false;
      return {};
    }
    at_ += length;
    return from_.subspan(at_ - length, length);
  }
  /// Bytes that were not read yet.
  [[nodiscard]] std::size_t left() const { return at_ < from_.size() ? from_.size() - at_ : 0; }
  /// Whether nothing was read beyond the end.
  [[nodiscard]] bool good() const { return good_; }

 private:
  std::span<const std::uint8_t> from_;
  std::size_t at_ = 0;
  bool good_ = true;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_BYTE_CODEC_H_
