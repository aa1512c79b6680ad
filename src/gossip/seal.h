// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_SEAL_H_
#define IVYPOST_GOSSIP_SEAL_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gossip/message.h"

namespace ivypost::gossip {

/// The size of the fleet's key in bytes.
constexpr std::size_t kKeyBytes = 32;

/// The seal that follows every message, a message authentication code: keyed BLAKE2b (RFC 7693) of
/// kSealBytes, by libsodium. The whole fleet shares one key, read from a file, so the seal proves that a
/// sender holds the key, but not which sender it is.
class Seal {
 public:
  /// Reads the key from a file of 64 hexadecimal digits and optional line ends. Throws std::runtime_error,
  /// whose message is one line with the file and the remedy.
  static Seal read(const std::string& path);
  /// A seal with this key.
  explicit Seal(const std::array<std::uint8_t, kKeyBytes>& key) : key_(key) {}

  /// Appends the seal to the message.
  void close(std::vector<std::uint8_t>& message) const;
  /// The message without its seal, a view into `datagram`; empty if the seal is not valid under this key or
  /// the length is out of range. Seals are compared in constant time.
  [[nodiscard]] std::span<const std::uint8_t> open(std::span<const std::uint8_t> datagram) const;

  /// Compares the keys.
  bool operator==(const Seal&) const = default;

 private:
  std::array<std::uint8_t, kKeyBytes> key_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_SEAL_H_
