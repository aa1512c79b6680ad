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

/// The size of the fleet's key.
constexpr std::size_t kKeyBytes = 32;

/// The keyed seal behind every message: BLAKE2b with a key (RFC 7693), kSealBytes long, by libsodium. One key
/// for the whole fleet, out of one file: it proves that a message is from somebody who has the key, not from
/// whom.
class Seal {
 public:
  /// The key of this file, which holds 64 hexadecimal digits and perhaps a line's end. Throws
  /// std::runtime_error, one line that names the file and the mend.
  static Seal read(const std::string& path);
  /// Of this key.
  explicit Seal(const std::array<std::uint8_t, kKeyBytes>& key) : key_(key) {}

  /// Appends the seal of the message to it.
  void close(std::vector<std::uint8_t>& message) const;
  /// What stands before the seal, a part of `datagram`; empty where the seal is not of this key or the length
  /// is out of range. The time that it takes does not tell how far a seal fits.
  [[nodiscard]] std::span<const std::uint8_t> open(std::span<const std::uint8_t> datagram) const;

  /// Whether the keys are the same.
  bool operator==(const Seal&) const = default;

 private:
  std::array<std::uint8_t, kKeyBytes> key_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_SEAL_H_
