// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_ENTRY_CODEC_H_
#define IVYPOST_GOSSIP_ENTRY_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gossip/message.h"

/// \file
/// What one believes of others, packed: a datagram holds 12 to 20 entries where it holds six of Update's 31
/// bytes. Guards against wrong lengths, numbers out of range and more entries than a datagram can hold.
///
/// An entry, in the order of addresses:
///
///     byte 0       the state (0 alive, 1 suspect, 2 dead, 3 has left) in two bits, the region in six
///     bytes 1 to 8 the id
///     a varint     the incarnation less the last entry's, zigzag (0 ahead of the first)
///     Alive        a varint: the address less the last alive entry's as 48 bits, zigzag, and a bit
///                  `usesAntiEntropy`
///     Suspect      8 bytes: the witness
///
/// A varint is LEB128's (DWARF 5, section 7.6), zigzag Protocol Buffers' (encoding of signed integers).

namespace ivypost::gossip {

/// Appends the first so many of the entries that fit into `room` bytes, in the order of their addresses.
/// Returns how many; kMaxEntries at the most.
std::size_t packEntries(std::span<const Update> entries, std::size_t room, std::vector<std::uint8_t>& to);

/// Appends the entries that are packed there. False where they are malformed or more than kMaxEntries; those
/// ahead of the error are appended then.
[[nodiscard]] bool unpackEntries(std::span<const std::uint8_t> packed, std::vector<Update>& to);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_ENTRY_CODEC_H_
