// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/entry_codec.h"

#include <algorithm>

namespace ivypost::gossip {
namespace {

constexpr std::uint8_t kLeft = 3;  // State::Dead by its own word

std::uint64_t zigzag(std::uint64_t difference) {
  return difference << 1 ^ (difference >> 63 != 0 ? ~std::uint64_t{0} : 0);
}
std::uint64_t unzigzag(std::uint64_t number) {
  return number >> 1 ^ ((number & 1) != 0 ? ~std::uint64_t{0} : 0);
}

void writeVarint(Writer& to, std::uint64_t number) {
  for (; number >= 0x80; number >>= 7) to.put(static_cast<std::uint8_t>(number | 0x80));
  to.put(static_cast<std::uint8_t>(number));
}

// Ten bytes at the most; more, or bits beyond 64, are an error.
bool readVarint(Reader& from, std::uint64_t& number) {
  number = 0;
  for (int shift = 0; shift < 64; shift += 7) {
    const auto byte = from.get<std::uint8_t>();
    if (!from.good() || (shift == 63 && byte > 1)) return false;
    number |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
    if (byte < 0x80) return true;
  }
  return false;
}

std::uint64_t numberOf(const Address& address) {
  return std::uint64_t{address.ip} << 16 | address.port;
}

// An address is 48 bits, so its difference with the bit behind it has room in 50.
constexpr std::uint64_t kAddresses = std::uint64_t{1} << 48;

void pack(std::span<const Update> sorted, std::vector<std::uint8_t>& bytes) {
  Writer to(bytes);
  std::uint64_t incarnation = 0, address = 0;
  for (const Update& one : sorted) {
    auto state = static_cast<std::uint8_t>(one.state);
    if (one.state == State::Dead && one.witness == one.id) state = kLeft;
    to.put(static_cast<std::uint8_t>(state | one.region << 2));
    to.put(one.id);
    writeVarint(to, zigzag(one.incarnation - incarnation));
    incarnation = one.incarnation;
    if (one.state == State::Suspect) to.put(one.witness);
    if (one.state != State::Alive) continue;
    writeVarint(to, zigzag(numberOf(one.address) - address) << 1 | (one.usesAntiEntropy ? 1U : 0U));
    address = numberOf(one.address);
  }
}

}  // namespace

std::size_t packEntries(std::span<const Update> entries, std::size_t room, std::vector<std::uint8_t>& to) {
  for (std::size_t count = std::min(entries.size(), kMaxEntries); count > 0; --count) {
    std::vector<Update> sorted(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count));
    std::sort(sorted.begin(), sorted.end(), [](const Update& a, const Update& b) {
      return a.address != b.address ? a.address < b.address : a.id < b.id;
    });
    std::vector<std::uint8_t> bytes;
    pack(sorted, bytes);
    if (bytes.size() > room) continue;
    to.insert(to.end(), bytes.begin(), bytes.end());
    return count;
  }
  return 0;
}

bool unpackEntries(std::span<const std::uint8_t> packed, std::vector<Update>& to) {
  Reader from(packed);
  std::uint64_t incarnation = 0, address = 0;
  while (from.left() > 0) {
    if (to.size() == kMaxEntries) return false;
    Update one;
    const auto head = from.get<std::uint8_t>();
    const std::uint8_t state = head & 3U;
    one.region = head >> 2;
    one.id = from.get<PeerId>();
    std::uint64_t difference = 0;
    if (!readVarint(from, difference) || one.id == 0) return false;
    one.incarnation = incarnation += unzigzag(difference);
    one.state = state == kLeft ? State::Dead : static_cast<State>(state);
    if (state == kLeft) one.witness = one.id;
    if (one.state == State::Suspect) one.witness = from.get<PeerId>();
    if (one.state == State::Alive) {
      if (!readVarint(from, difference)) return false;
      one.usesAntiEntropy = (difference & 1) != 0;
      address += unzigzag(difference >> 1);
      if (address >= kAddresses) return false;
      one.address = {static_cast<std::uint32_t>(address >> 16), static_cast<std::uint16_t>(address)};
    }
    if (!from.good()) return false;
    to.push_back(one);
  }
  return true;
}

}  // namespace ivypost::gossip
