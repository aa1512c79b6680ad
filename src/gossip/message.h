// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_MESSAGE_H_
#define IVYPOST_GOSSIP_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/byte_codec.h"

/// \file
/// What sidecars send one another: one datagram, one message. Free of I/O; the seal that proves where it
/// comes from is seal.h's.
///
///     byte 0     version, 1            byte 1     kind
///     2 to 9     sender's id           10 to 17   sender's incarnation
///     18 to 23   sender's address      24 to 31   sequence, counting up within an incarnation
///     32 to 35   nonce: a ping's own, an ack's that of the ping which it answers
///     then sections: tag, length, that many bytes; a tag that is not known is skipped
///     last 16    the seal
///
/// Sidecars from before anti-entropy skip the sections Table and Entries, and take kinds from Rumours on for
/// no messages; so these go only to who has sent a Table.
///
/// All numbers are big-endian. A version that is not known is an error; a later one keeps the first two
/// bytes.

namespace ivypost::gossip {

/// Microseconds: of a span, or of the own monotonic clock.
using Micros = std::int64_t;
/// A hash of the sidecar's name; 0 is nobody.
using PeerId = std::uint64_t;

/// Bytes of a datagram at the most: the platform's limit (PROTOCOL-ivypost.md).
constexpr std::size_t kMaxDatagram = 256;
/// Bytes of the seal behind a message.
constexpr std::size_t kSealBytes = 16;
/// Bytes ahead of the first section.
constexpr std::size_t kHeaderBytes = 36;
/// The version that is sent and understood.
constexpr std::uint8_t kVersion = 1;

/// Where a sidecar receives datagrams, IPv4, in host byte order.
struct Address {
  std::uint32_t ip = 0;    ///< 0: not known
  std::uint16_t port = 0;  ///< of UDP
  /// By the address, then by the port.
  // NOLINTNEXTLINE(modernize-use-nullptr): the checker mistakes the comparison with a literal 0.
  auto operator<=>(const Address&) const = default;
};
/// As in "10.0.0.4:7946".
[[nodiscard]] std::string format(const Address& address);

/// The id of a sidecar of this name. Never 0.
[[nodiscard]] PeerId idOf(std::string_view name);

/// What a member is believed to be. Of the same incarnation the later one wins: what is dead comes back with
/// a higher incarnation only (SWIM, section 4.2). The values are those on the wire.
enum class State : std::uint8_t {
  Alive,    ///< reachable
  Suspect,  ///< reachable until the suspicion's time is over
  Dead,     ///< not reachable, or it has left
};

/// The highest region: an entry has six bits for it.
constexpr std::uint8_t kMaxRegion = 63;

/// What one sidecar believes of another (SWIM, section 4.2: piggybacked updates).
struct Update {
  PeerId id = 0;                  ///< of whom
  std::uint64_t incarnation = 0;  ///< rises with each start and each refutation of that sidecar
  Address address;                ///< where it is reached
  State state = State::Alive;     ///< what it is believed to be
  PeerId witness = 0;             ///< of Suspect and Dead: who says so; its own id if it has left
  std::uint8_t region = 0;        ///< its Settings::region; 0: not known
  bool usesAntiEntropy = false;   ///< it takes part in anti-entropy
  /// Whether all of it is the same.
  bool operator==(const Update&) const = default;
};
/// Bytes of an Update in the section Updates, where it is without region and usesAntiEntropy.
constexpr std::size_t kUpdateBytes = 31;

/// Ranges of a table that a digest is sent of.
constexpr std::size_t kRanges = 4;
/// What a sender's table comes to.
struct Table {
  std::array<std::uint32_t, kRanges> digests{};  ///< exclusive or of the hashes of the range's incarnations
  std::uint16_t reachable = 0;                   ///< members that are not dead, the sender among them
  std::uint8_t region = 0;                       ///< the sender's
  /// Whether all of it is the same.
  bool operator==(const Table&) const = default;
};

/// A part of the members: those whose mixed id begins with these bits.
struct Range {
  std::uint8_t index = 0;  ///< the bits; under 2^bits
  std::uint8_t bits = 0;   ///< how many, kMaxRangeBits at the most; 0: all members
  /// Whether it is the same part.
  bool operator==(const Range&) const = default;
};
/// The bits of the smallest range.
constexpr std::uint8_t kMaxRangeBits = 8;

/// What a message is for. The values are those on the wire.
enum class Kind : std::uint8_t {
  Ping = 1,      ///< answer with Ack
  Ack = 2,       ///< of the ping with this nonce
  Relay = 3,     ///< ping `target` and pass its ack on (SWIM's ping-req)
  Nack = 4,      ///< the relayed ping has no answer yet (Lifeguard, section 3.1): the relay itself is there
  Announce = 5,  ///< there is a new payload: ask for it by a ping
  Rumours = 6,   ///< changes; not answered
  Pull = 7,      ///< answer with Pages of what this filter over a range does not hold
  Page = 8,      ///< of the answer to the pull with this nonce
};
/// The highest kind that is understood.
constexpr Kind kLastKind = Kind::Page;

/// One message, without its seal.
struct Message {
  Kind kind = Kind::Ping;             ///< what it is for
  PeerId sender = 0;                  ///< who has sent it
  std::uint64_t incarnation = 0;      ///< the sender's
  Address address;                    ///< the sender's
  std::uint64_t sequence = 0;         ///< counts up within the sender's incarnation, from 1
  std::uint32_t nonce = 0;            ///< of a question its own, of an answer the question's
  std::optional<Update> target;       ///< of Relay
  std::vector<Update> updates;        ///< kMaxUpdates at the most
  std::vector<std::uint8_t> payload;  ///< of acks; what it is is src/health_reports's
  std::optional<Table> table;         ///< of senders that take part in anti-entropy
  std::vector<Update> entries;        ///< beside or instead of updates, packed (entry_codec.h)
  Range range;                        ///< of Pull
  std::vector<std::uint8_t> filter;   ///< of Pull; a BloomFilter's, salted with the nonce
  std::uint8_t pageFlags = 0;         ///< of Page; kLastPage, kTruncated
};
/// A page's flag: no more pages come for this pull.
constexpr std::uint8_t kLastPage = 1;
/// A page's flag: there was more than was sent. Nobody goes by it; it stays since it is on the wire.
constexpr std::uint8_t kTruncated = 2;

/// Bytes that are left for the payload beside what the message holds; 0 if that alone doesn't fit.
[[nodiscard]] std::size_t roomForPayload(const Message& message);
/// Bytes that are left for entries, likewise.
[[nodiscard]] std::size_t roomForEntries(const Message& message);
/// Updates of one message; four fit.
constexpr std::size_t kMaxUpdates = 4;
/// Entries of one message: an entry has 10 bytes at the least, so no datagram holds more.
constexpr std::size_t kMaxEntries = 20;

/// The message's bytes without a seal, kMaxDatagram - kSealBytes at the most. Updates beyond kMaxUpdates, and
/// entries and payload beyond the room are left out.
[[nodiscard]] std::vector<std::uint8_t> encode(const Message& message);

/// Reads a message without its seal. None where it is no message of this version, a length is wrong, or the
/// sections don't fit the kind; sections of unknown tags are skipped.
[[nodiscard]] std::optional<Message> decode(std::span<const std::uint8_t> bytes);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_MESSAGE_H_
