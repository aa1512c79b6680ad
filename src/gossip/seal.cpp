// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/seal.h"

#include <sodium.h>

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace ivypost::gossip {

Seal Seal::read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file) throw std::runtime_error("peers.key_file: cannot read " + path);
  if (sodium_init() < 0) throw std::runtime_error("peers.key_file: libsodium cannot be started");
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
  std::array<std::uint8_t, kKeyBytes> key{};
  std::size_t length = 0;
  const int bad = sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &length, nullptr);
  if (bad != 0 || length != kKeyBytes || text.size() != 2 * kKeyBytes)
    throw std::runtime_error("peers.key_file: " + path + " has to hold 64 hexadecimal digits");
  return Seal(key);
}

void Seal::close(std::vector<std::uint8_t>& message) const {
  std::array<std::uint8_t, kSealBytes> seal{};
  crypto_generichash(seal.data(), seal.size(), message.data(), message.size(), key_.data(), key_.size());
  message.insert(message.end(), seal.begin(), seal.end());
}

std::span<const std::uint8_t> Seal::open(std::span<const std::uint8_t> datagram) const {
  if (datagram.size() <= kSealBytes || datagram.size() > kMaxDatagram) return {};
  const auto message = datagram.first(datagram.size() - kSealBytes);
  std::array<std::uint8_t, kSealBytes> seal{};
  crypto_generichash(seal.data(), seal.size(), message.data(), message.size(), key_.data(), key_.size());
  if (sodium_memcmp(seal.data(), datagram.last(kSealBytes).data(), kSealBytes) != 0) return {};
  return message;
}

}  // namespace ivypost::gossip
