// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What one believes of others, packed: a datagram holds 12 to 20 entries where it holds six of Update's 31
// bytes. Guards against wrong lengths, numbers out of range and more entries than a datagram can hold.
//
// An entry, in the order of addresses:
//   byte 0       the state (0 alive, 1 suspect, 2 dead, 3 has left) in two bits, the region in six
//   bytes 1 to 8 the id
//   a varint     the incarnation less the last entry's, zigzag (0 ahead of the first)
//   Alive        a varint: the address less the last alive entry's as 48 bits, zigzag, and a bit `compares`
//   Suspect      8 bytes: the witness
//
// A varint is LEB128's (DWARF 5, section 7.6), zigzag Protocol Buffers' (encoding of signed integers).
#ifndef IVYPOST_GOSSIP_ENTRY_CODEC_H_
#define IVYPOST_GOSSIP_ENTRY_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gossip/message.h"

namespace ivypost::gossip {

// Appends the first so many of them that fit the room, in the order of their addresses; how many.
std::size_t packEntries(std::span<const Update> entries, std::size_t room, std::vector<std::uint8_t>& to);

// Appends what is packed there. False: it is no entries.
bool unpackEntries(std::span<const std::uint8_t> packed, std::vector<Update>& to);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_ENTRY_CODEC_H_
