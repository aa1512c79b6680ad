// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What sidecars send one another: one datagram, one message, 256 bytes at the most. Free of I/O; the seal
// that proves where it comes from is seal.h's.
//
//   byte 0     version, 1            byte 1     kind
//   2 to 9     sender's id           10 to 17   sender's incarnation
//   18 to 23   sender's address      24 to 31   sequence, counting up within an incarnation
//   32 to 35   nonce: a ping's own, an ack's that of the ping which it answers
//   then sections: tag, length, that many bytes; a tag that is not known is skipped
//   last 16    the seal
//
// Sidecars from before anti-entropy skip the sections Table and Entries, and take kinds from Rumours on for
// no messages; so these go only to who has sent a Table.
//
// All numbers are big-endian. A version that is not known is an error; a later one keeps the first two bytes.
#ifndef IVYPOST_GOSSIP_MESSAGE_H_
#define IVYPOST_GOSSIP_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ivypost::gossip {

using Micros = std::int64_t;
using PeerId = std::uint64_t;  // a hash of the sidecar's name; 0 is nobody

constexpr std::size_t kMaxDatagram = 256;  // the platform's limit (PROTOCOL-ivypost.md)
constexpr std::size_t kSealBytes = 16;
constexpr std::size_t kHeaderBytes = 36;
constexpr std::uint8_t kVersion = 1;

// Where a sidecar hears others, IPv4, host byte order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
std::string format(const Address& address);

// The id of a sidecar of this name. Never 0.
PeerId idOf(std::string_view name);

// Of the same incarnation the later one wins: what is dead comes back with a higher incarnation only.
enum class State : std::uint8_t { Alive, Suspect, Dead };

// A region's number is this at the most: an entry has six bits for it.
constexpr std::uint8_t kMaxRegion = 63;

// What one sidecar believes of another (SWIM, 4.2: piggybacked updates).
struct Update {
  PeerId id = 0;
  std::uint64_t incarnation = 0;
  Address address;
  State state = State::Alive;
  PeerId witness = 0;       // of Suspect and Dead: who says so; of Dead it is its own id for who has left
  std::uint8_t region = 0;  // Settings::region of it; 0: not known
  bool usesAntiEntropy = false;  // it takes part in anti-entropy
  bool operator==(const Update&) const = default;
};
constexpr std::size_t kUpdateBytes = 31;  // in the section Updates, without region and compares

// What one's table comes to: ivypost::gossip::Digest of each of kRanges ranges of it.
constexpr std::size_t kRanges = 4;
struct Table {
  std::array<std::uint32_t, kRanges> digests{};
  std::uint16_t reachable = 0;  // members that are not dead, the sender among them
  std::uint8_t region = 0;      // the sender's
  bool operator==(const Table&) const = default;
};

// A part of the members: those whose mixed id begins with these bits.
struct Range {
  std::uint8_t index = 0, bits = 0;  // index < 2^bits, bits at most kMaxRangeBits
  bool operator==(const Range&) const = default;
};
constexpr std::uint8_t kMaxRangeBits = 8;

enum class Kind : std::uint8_t {
  Ping = 1,      // answer with Ack
  Ack = 2,       // of the ping with this nonce
  Relay = 3,     // ping `target` and pass its ack on
  Nack = 4,      // the relayed ping has no answer yet (Lifeguard, 3.1): the relay itself is there
  Announce = 5,  // there are new facts: ask for them by a ping
  Rumours = 6,   // changes; not answered
  Pull = 7,      // answer with Pages of what this filter over a range does not hold
  Page = 8,      // of the answer to the pull with this nonce
};
constexpr Kind kLastKind = Kind::Page;

struct Message {
  Kind kind = Kind::Ping;
  PeerId sender = 0;
  std::uint64_t incarnation = 0;
  Address address;
  std::uint64_t sequence = 0;
  std::uint32_t nonce = 0;
  std::optional<Update> target;  // of Relay
  std::vector<Update> updates;
  std::vector<std::uint8_t> payload;  // of acks; what they are is src/health_reports's
  std::optional<Table> table;
  std::vector<Update> entries;  // beside or instead of updates, packed (entry_codec.h); of Page and Rumours
  Range range;                  // of Pull
  std::vector<std::uint8_t> filter;  // of Pull; gossip::Filter's, salted with the nonce
  std::uint8_t pageFlags = 0;        // of Page
};
constexpr std::uint8_t kLastPage = 1;   // no more pages come for this pull
constexpr std::uint8_t kTruncated = 2;  // there was more than was sent

// Bytes that are left for facts beside what the message holds; 0 if that alone doesn't fit.
std::size_t roomForPayload(const Message& message);
// Bytes that are left for entries, likewise.
std::size_t roomForEntries(const Message& message);
constexpr std::size_t kMaxUpdates = 4;
// An entry has 10 bytes at the least, so no datagram holds more.
constexpr std::size_t kMaxEntries = 20;

// Without its seal. Updates beyond kMaxUpdates, and entries and facts beyond the room are left out.
std::vector<std::uint8_t> encode(const Message& message);

// None: it is no message of this version. Every length is checked; sections of unknown tags are skipped.
std::optional<Message> decode(std::span<const std::uint8_t> bytes);

// Big-endian numbers, one after the other; a reader beyond its end gives 0 and is no longer good().
class Writer {
 public:
  explicit Writer(std::vector<std::uint8_t>& to) : to_(to) {}
  template <class Number>
  void put(Number number) {
    for (int shift = 8 * (static_cast<int>(sizeof number) - 1); shift >= 0; shift -= 8)
      to_.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(number) >> shift));
  }

 private:
  std::vector<std::uint8_t>& to_;
};

class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> from) : from_(from) {}
  template <class Number>
  Number get() {
    std::uint64_t number = 0;
    for (std::size_t n = 0; n < sizeof(Number); ++n) {
      number = number << 8 | (at_ < from_.size() ? from_[at_] : 0U);
      if (at_++ >= from_.size()) good_ = false;
    }
    return static_cast<Number>(number);
  }
  std::span<const std::uint8_t> take(std::size_t length) {
    if (length > left()) {
      good_ = false;
      return {};
    }
    at_ += length;
    return from_.subspan(at_ - length, length);
  }
  std::size_t left() const { return at_ < from_.size() ? from_.size() - at_ : 0; }
  bool good() const { return good_; }

 private:
  std::span<const std::uint8_t> from_;
  std::size_t at_ = 0;
  bool good_ = true;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_MESSAGE_H_
