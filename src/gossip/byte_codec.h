// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_BYTE_CODEC_H_
#define IVYPOST_GOSSIP_BYTE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ivypost::gossip {

/// The number of bits in a byte.
constexpr int kByteBits = 8;

/// Appends big-endian integers to a byte vector, which must outlive the writer.
class Writer {
 public:
  /// Appends to the present contents of `to`.
  explicit Writer(std::vector<std::uint8_t>& to) : to_(&to) {}
  /// Appends the number in the width of its type.
  template <class Number>
  void put(Number number) {
    for (int shift = kByteBits * (static_cast<int>(sizeof number) - 1); shift >= 0; shift -= kByteBits)
      to_->push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(number) >> shift));
  }

 private:
  std::vector<std::uint8_t>* to_;
};

/// Reads big-endian integers in sequence; a read past the end yields 0 bytes and makes good() false. The
/// bytes must outlive the reader.
class Reader {
 public:
  /// Starts at the first of these bytes.
  explicit Reader(std::span<const std::uint8_t> from) : from_(from) {}
  /// Reads the next number, in the width of `Number`.
  template <class Number>
  Number get() {
    std::uint64_t number = 0;
    for (std::size_t n = 0; n < sizeof(Number); ++n) {
      number = number << kByteBits | (at_ < from_.size() ? from_[at_] : 0U);
      if (at_++ >= from_.size()) good_ = false;
    }
    return static_cast<Number>(number);
  }
  /// Reads the next `length` bytes; empty, and good() becomes false, if fewer are left.
  std::span<const std::uint8_t> take(std::size_t length) {
    if (length > left()) {
      good_ = false;
      return {};
    }
    at_ += length;
    return from_.subspan(at_ - length, length);
  }
  /// The number of bytes not read yet.
  [[nodiscard]] std::size_t left() const { return at_ < from_.size() ? from_.size() - at_ : 0; }
  /// Whether no read has gone past the end.
  [[nodiscard]] bool good() const { return good_; }

 private:
  std::span<const std::uint8_t> from_;
  std::size_t at_ = 0;
  bool good_ = true;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_BYTE_CODEC_H_
