// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The keyed seal behind every message: BLAKE2b with a key (RFC 7693), 16 bytes, by libsodium. One key for
// the whole fleet, out of one file: it proves that a message is from somebody who has the key, not from whom.
#ifndef IVYPOST_GOSSIP_SEAL_H_
#define IVYPOST_GOSSIP_SEAL_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gossip/message.h"

namespace ivypost::gossip {

constexpr std::size_t kKeyBytes = 32;

class Seal {
 public:
  // The file holds 64 hexadecimal digits and perhaps a line's end. Throws std::runtime_error, one line that
  // names the file and the mend.
  static Seal read(const std::string& path);
  explicit Seal(const std::array<std::uint8_t, kKeyBytes>& key) : key_(key) {}

  void close(std::vector<std::uint8_t>& message) const;  // appends it
  // What stands before the seal; empty where it is not from this key. Time does not tell how far it fits.
  std::span<const std::uint8_t> open(std::span<const std::uint8_t> datagram) const;

  bool operator==(const Seal&) const = default;

 private:
  std::array<std::uint8_t, kKeyBytes> key_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_SEAL_H_
