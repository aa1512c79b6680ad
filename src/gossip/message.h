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
/// The messages of the gossip protocol, one per datagram, and their encoding. No I/O; the seal that
/// authenticates a message is in seal.h.
///
///     byte 0     version, 1            byte 1     kind
///     2 to 9     sender's id           10 to 17   sender's incarnation
///     18 to 23   sender's address      24 to 31   sequence number, increasing within an incarnation
///     32 to 35   nonce: an answer repeats the nonce of the message that it answers
///     then sections: tag, length, body of that many bytes; a section with an unknown tag is skipped
///     last 16    the seal
///
/// Sidecars that predate anti-entropy skip the sections Table and Entries, and reject the kinds from Rumours
/// on as malformed; so these kinds are sent only to members that have sent a Table.
///
/// All numbers are big-endian. An unknown version is an error; later versions keep the first two bytes.

namespace ivypost::gossip {

/// Microseconds: a duration, or a time of this process's monotonic clock.
using Micros = std::int64_t;
/// A sidecar's id, a hash of its name; 0 means none.
using PeerId = std::uint64_t;

/// The maximum size of a datagram in bytes, the platform's limit (PROTOCOL-ivypost.md).
constexpr std::size_t kMaxDatagram = 256;
/// The size of the seal that follows a message, in bytes.
constexpr std::size_t kSealBytes = 16;
/// The size of the header that precedes the sections, in bytes.
constexpr std::size_t kHeaderBytes = 36;
/// The protocol version sent and accepted.
constexpr std::uint8_t kVersion = 1;

/// The IPv4 address and port at which a sidecar receives datagrams, in host byte order.
struct Address {
  std::uint32_t ip = 0;    ///< 0: unknown
  std::uint16_t port = 0;  ///< UDP port
  /// Orders by IP address, then by port.
  // NOLINTNEXTLINE(modernize-use-nullptr): the checker mistakes the comparison with a literal 0.
  auto operator<=>(const Address&) const = default;
};
/// The address as text, such as "10.0.0.4:7946".
[[nodiscard]] std::string format(const Address& address);

/// The id of the sidecar with this name. Never 0.
[[nodiscard]] PeerId idOf(std::string_view name);

/// The state of a member. Within one incarnation a later enumerator overrides an earlier one: a dead member
/// returns only with a higher incarnation (SWIM, section 4.2). The values are those on the wire.
enum class State : std::uint8_t {
  Alive,    ///< reachable
  Suspect,  ///< considered reachable until the suspicion times out
  Dead,     ///< not reachable, or it has left
};

/// The highest region number: an entry has six bits for it.
constexpr std::uint8_t kMaxRegion = 63;

/// What a sidecar knows of a member, as disseminated to others (SWIM, section 4.2).
struct Update {
  PeerId id = 0;                  ///< the member's id
  std::uint64_t incarnation = 0;  ///< rises with each start and each refutation of the member
  Address address;                ///< the member's address
  State state = State::Alive;     ///< the member's state
  PeerId witness = 0;             ///< reporter of Suspect or Dead; the member itself if it has left
  std::uint8_t region = 0;        ///< the member's Settings::region; 0: unknown
  bool usesAntiEntropy = false;   ///< whether the member takes part in anti-entropy
  /// Compares all fields.
  bool operator==(const Update&) const = default;
};
/// The size of an Update in the section Updates in bytes; region and usesAntiEntropy are not part of it
/// there.
constexpr std::size_t kUpdateBytes = 31;

/// The number of ranges of a member table that have a digest each.
constexpr std::size_t kRanges = 4;
/// A summary of the sender's member table.
struct TableSummary {
  std::array<std::uint32_t, kRanges> digests{};  ///< per range the exclusive or of its incarnations' hashes
  std::uint16_t reachable = 0;                   ///< number of members not dead, the sender included
  std::uint8_t region = 0;                       ///< the sender's Settings::region
  /// Compares all fields.
  bool operator==(const TableSummary&) const = default;
};

/// A subset of the members: those whose id, hashed by mix(), begins with a certain prefix.
struct Range {
  std::uint8_t index = 0;  ///< the prefix; less than 2^bits
  std::uint8_t bits = 0;   ///< length of the prefix, 0 (all members) to kMaxRangeBits
  /// Compares all fields.
  bool operator==(const Range&) const = default;
};
/// The length of the longest prefix, that of the smallest range, in bits.
constexpr std::uint8_t kMaxRangeBits = 8;

/// The type of a message. The values are those on the wire.
enum class Kind : std::uint8_t {
  Ping = 1,      ///< probe; answered with Ack
  Ack = 2,       ///< answer to the ping or relay request with this nonce
  Relay = 3,     ///< request for an indirect probe of `target` (SWIM's ping-req); answered with Ack or Nack
  Nack = 4,      ///< the relay is alive but has no ack from the target yet (Lifeguard, section 3.1)
  Announce = 5,  ///< the sender has a new payload; answered with a Ping, whose ack carries the payload
  Rumours = 6,   ///< updates; not answered
  Pull = 7,      ///< request for the entries of `range` that `filter` lacks; answered with Pages
  Page = 8,      ///< part of the answer to the pull with this nonce
};
/// The highest kind that is accepted.
constexpr Kind kLastKind = Kind::Page;

/// One message, without its seal.
struct Message {
  Kind kind = Kind::Ping;             ///< the type
  PeerId sender = 0;                  ///< the sender's id
  std::uint64_t incarnation = 0;      ///< the sender's incarnation
  Address address;                    ///< the sender's address
  std::uint64_t sequence = 0;         ///< increases within the sender's incarnation, from 1
  std::uint32_t nonce = 0;            ///< identifies a request; an answer repeats it
  std::optional<Update> target;       ///< Relay only: the member to probe
  std::vector<Update> updates;        ///< kMaxUpdates at the most
  std::vector<std::uint8_t> payload;  ///< Ack only: health reports, encoded by src/health_reports
  std::optional<TableSummary> table;  ///< only from senders that take part in anti-entropy
  std::vector<Update> entries;        ///< further updates in the compact encoding of entry_codec.h
  Range range;                        ///< Pull only
  std::vector<std::uint8_t> filter;   ///< Pull only: bytes of a BloomFilter salted with the nonce
  std::uint8_t pageFlags = 0;         ///< Page only: kLastPage and kTruncated
};
/// A page flag: this is the last page for its pull.
constexpr std::uint8_t kLastPage = 1;
/// A page flag: the answer leaves out entries. Receivers ignore it; it is kept for compatibility on the wire.
constexpr std::uint8_t kTruncated = 2;

/// The bytes left for a payload beside the message's other contents; 0 if those alone don't fit.
[[nodiscard]] std::size_t roomForPayload(const Message& message);
/// The bytes left for entries beside the message's other contents; 0 if those alone don't fit.
[[nodiscard]] std::size_t roomForEntries(const Message& message);
/// The most updates in one message: with its other sections, a datagram has room for four.
constexpr std::size_t kMaxUpdates = 4;
/// The most entries in one message: an entry has at least 10 bytes, so no datagram holds more.
constexpr std::size_t kMaxEntries = 20;

/// Encodes the message without a seal, into kMaxDatagram - kSealBytes bytes at the most. Updates beyond
/// kMaxUpdates, entries that don't fit, and a payload that doesn't fit are left out.
[[nodiscard]] std::vector<std::uint8_t> encode(const Message& message);

/// Decodes a message without its seal. None if it is malformed or of another version, or its sections don't
/// match its kind; sections with unknown tags are skipped.
[[nodiscard]] std::optional<Message> decode(std::span<const std::uint8_t> bytes);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_MESSAGE_H_
