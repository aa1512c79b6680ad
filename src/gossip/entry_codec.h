// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_ENTRY_CODEC_H_
#define IVYPOST_GOSSIP_ENTRY_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gossip/message.h"

/// \file
/// The compact encoding of updates: a datagram holds 12 to 20 entries, but only six updates of 31 bytes. The
/// decoder rejects wrong lengths, numbers out of range and more entries than a datagram can hold.
///
/// Entries are sorted by address. Each one is:
///
///     byte 0       the state (0 alive, 1 suspect, 2 dead, 3 has left) in two bits, the region in six
///     bytes 1 to 8 the id
///     a varint     the incarnation minus the previous entry's (0 before the first), zigzag
///     if alive     a varint: the address as 48 bits minus the previous alive entry's, zigzag, shifted
///                  left by one, and `usesAntiEntropy` as the lowest bit
///     if suspect   8 bytes: the witness
///
/// A varint is an unsigned LEB128 (DWARF 5, section 7.6); zigzag is Protocol Buffers' encoding of signed
/// integers.

namespace ivypost::gossip {

/// Appends the longest prefix of `entries` that fits into `room` bytes encoded, sorted by address. Returns
/// its length, kMaxEntries at the most.
std::size_t packEntries(std::span<const Update> entries, std::size_t room, std::vector<std::uint8_t>& to);

/// Decodes the entries and appends them to `to`. False if one is malformed or `to` would exceed kMaxEntries;
/// the entries before the error are appended all the same.
[[nodiscard]] bool unpackEntries(std::span<const std::uint8_t> packed, std::vector<Update>& to);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_ENTRY_CODEC_H_
