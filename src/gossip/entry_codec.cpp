// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/entry_codec.h"

#include <algorithm>
#include <optional>

namespace ivypost::gossip {
namespace {

// An entry's first byte: the state in the low bits, the region in the high ones.
constexpr std::uint8_t kStateMask = 3;
constexpr int kStateBits = 2;
// The wire state of a member that has left; in an Update that is State::Dead with its own id as the witness.
constexpr std::uint8_t kLeft = 3;
constexpr int kPortBits = 16;

// LEB128: seven bits per byte, and a continuation bit.
constexpr int kVarintBits = 7;
constexpr std::uint8_t kContinues = 0x80;
constexpr int kLastShift = 63;

std::uint64_t zigzag(std::uint64_t difference) {
  return difference << 1 ^ (difference >> kLastShift != 0 ? ~std::uint64_t{0} : 0);
}
std::uint64_t unzigzag(std::uint64_t number) {
  return number >> 1 ^ ((number & 1) != 0 ? ~std::uint64_t{0} : 0);
}

void writeVarint(Writer& to, std::uint64_t number) {
  for (; number >= kContinues; number >>= kVarintBits) to.put(static_cast<std::uint8_t>(number | kContinues));
  to.put(static_cast<std::uint8_t>(number));
}

// Reads ten bytes at the most; false if the number is longer, has more than 64 bits, or is cut off.
bool readVarint(Reader& from, std::uint64_t& number) {
  number = 0;
  for (int shift = 0; shift <= kLastShift; shift += kVarintBits) {
    const auto byte = from.get<std::uint8_t>();
    if (!from.good() || (shift == kLastShift && byte > 1)) return false;
    number |= static_cast<std::uint64_t>(byte & (kContinues - 1)) << shift;
    if (byte < kContinues) return true;
  }
  return false;
}

std::uint64_t numberOf(const Address& address) {
  return std::uint64_t{address.ip} << kPortBits | address.port;
}

// An address has 48 bits, so a difference of two with its sign and the flag bit has 50.
constexpr int kAddressBits = 48;
constexpr std::uint64_t kAddresses = std::uint64_t{1} << kAddressBits;

void pack(std::span<const Update> sorted, std::vector<std::uint8_t>& bytes) {
  Writer to(bytes);
  std::uint64_t incarnation = 0;
  std::uint64_t address = 0;
  for (const Update& one : sorted) {
    auto state = static_cast<std::uint8_t>(one.state);
    if (one.state == State::Dead && one.witness == one.id) state = kLeft;
    to.put(static_cast<std::uint8_t>(state | one.region << kStateBits));
    to.put(one.id);
    writeVarint(to, zigzag(one.incarnation - incarnation));
    incarnation = one.incarnation;
    if (one.state == State::Suspect) to.put(one.witness);
    if (one.state != State::Alive) continue;
    writeVarint(to, zigzag(numberOf(one.address) - address) << 1 | (one.usesAntiEntropy ? 1U : 0U));
    address = numberOf(one.address);
  }
}

// Decodes the entries of a section in sequence.
class Unpacker {
 public:
  explicit Unpacker(std::span<const std::uint8_t> packed) : from_(packed) {}

  [[nodiscard]] bool isAtEnd() const { return from_.left() == 0; }
  // The next entry; none if it is malformed.
  std::optional<Update> next() {
    Update one;
    const auto head = from_.get<std::uint8_t>();
    const std::uint8_t state = head & kStateMask;
    one.region = head >> kStateBits;
    one.id = from_.get<PeerId>();
    std::uint64_t difference = 0;
    if (!readVarint(from_, difference) || one.id == 0) return std::nullopt;
    one.incarnation = incarnation_ += unzigzag(difference);
    one.state = state == kLeft ? State::Dead : static_cast<State>(state);
    if (state == kLeft) one.witness = one.id;
    if (one.state == State::Suspect) one.witness = from_.get<PeerId>();
    if (one.state == State::Alive && !readAddress(one)) return std::nullopt;
    if (!from_.good()) return std::nullopt;
    return one;
  }

 private:
  bool readAddress(Update& one) {
    std::uint64_t difference = 0;
    if (!readVarint(from_, difference)) return false;
    one.usesAntiEntropy = (difference & 1) != 0;
    address_ += unzigzag(difference >> 1);
    if (address_ >= kAddresses) return false;
    one.address = {static_cast<std::uint32_t>(address_ >> kPortBits), static_cast<std::uint16_t>(address_)};
    return true;
  }

  Reader from_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t address_ = 0;
};

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
  Unpacker from(packed);
  while (!from.isAtEnd()) {
    if (to.size() == kMaxEntries) return false;
    const auto one = from.next();
    if (!one) return false;
    to.push_back(*one);
  }
  return true;
}

}  // namespace ivypost::gossip
