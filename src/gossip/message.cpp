// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/message.h"

#include <algorithm>

#include "gossip/bloom_filter.h"
#include "gossip/entry_codec.h"
#include "util/fnv1a.h"

namespace ivypost::gossip {
namespace {

enum class Tag : std::uint8_t {
  Target = 1,
  Updates = 2,
  Payload = 3,
  Table = 4,
  Entries = 5,
  Filter = 6,
  Page = 7
};

// Of each section: its tag and its length.
constexpr std::size_t kSectionBytes = 2;
constexpr std::size_t kMaxBody = kMaxDatagram - kSealBytes;
constexpr std::size_t kTableBytes = 4 * kRanges + 3;
constexpr std::size_t kRangeBytes = 2;

void put(Writer& to, const Update& update) {
  to.put(update.id);
  to.put(update.incarnation);
  to.put(update.address.ip);
  to.put(update.address.port);
  to.put(static_cast<std::uint8_t>(update.state));
  to.put(update.witness);
}

std::optional<Update> getUpdate(Reader& from) {
  Update update;
  update.id = from.get<PeerId>();
  update.incarnation = from.get<std::uint64_t>();
  update.address.ip = from.get<std::uint32_t>();
  update.address.port = from.get<std::uint16_t>();
  const auto state = from.get<std::uint8_t>();
  update.witness = from.get<PeerId>();
  if (!from.good() || update.id == 0 || state > static_cast<std::uint8_t>(State::Dead)) return std::nullopt;
  update.state = static_cast<State>(state);
  return update;
}

}  // namespace

std::string format(const Address& address) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8)
    text.append(std::to_string(address.ip >> shift & 0xff)).append(shift > 0 ? "." : ":");
  return text.append(std::to_string(address.port));
}

PeerId idOf(std::string_view name) {
  const std::uint64_t hash = util::fnv1a(name);
  return hash == 0 ? 1 : hash;
}

std::size_t roomForPayload(const Message& message) {
  const std::size_t used = encode(message).size() + kSectionBytes;
  return used < kMaxBody ? kMaxBody - used : 0;
}

std::size_t roomForEntries(const Message& message) {
  return roomForPayload(message);
}

std::vector<std::uint8_t> encode(const Message& message) {
  std::vector<std::uint8_t> bytes;
  bytes.reserve(kMaxDatagram);
  Writer to(bytes);
  to.put(kVersion);
  to.put(static_cast<std::uint8_t>(message.kind));
  to.put(message.sender);
  to.put(message.incarnation);
  to.put(message.address.ip);
  to.put(message.address.port);
  to.put(message.sequence);
  to.put(message.nonce);
  const auto section = [&](Tag tag, std::size_t length) {
    to.put(static_cast<std::uint8_t>(tag));
    to.put(static_cast<std::uint8_t>(length));
  };
  if (message.target) {
    section(Tag::Target, kUpdateBytes);
    put(to, *message.target);
  }
  const std::size_t count = std::min(message.updates.size(), kMaxUpdates);
  if (count > 0) {
    section(Tag::Updates, count * kUpdateBytes);
    for (std::size_t n = 0; n < count; ++n) put(to, message.updates[n]);
  }
  if (message.table) {
    section(Tag::Table, kTableBytes);
    for (const std::uint32_t digest : message.table->digests) to.put(digest);
    to.put(message.table->reachable);
    to.put(message.table->region);
  }
  if (message.kind == Kind::Pull) {
    section(Tag::Filter, kRangeBytes + message.filter.size());
    to.put(message.range.index);
    to.put(message.range.bits);
    bytes.insert(bytes.end(), message.filter.begin(), message.filter.end());
  }
  if (message.kind == Kind::Page) {
    section(Tag::Page, 1);
    to.put(message.pageFlags);
  }
  const auto room = [&] {
    const std::size_t used = bytes.size() + kSectionBytes;
    return used < kMaxBody ? kMaxBody - used : 0;
  };
  if (!message.entries.empty()) {
    std::vector<std::uint8_t> packed;
    if (packEntries(message.entries, room(), packed) > 0) {
      section(Tag::Entries, packed.size());
      bytes.insert(bytes.end(), packed.begin(), packed.end());
    }
  }
  if (!message.payload.empty() && message.payload.size() <= room()) {
    section(Tag::Payload, message.payload.size());
    bytes.insert(bytes.end(), message.payload.begin(), message.payload.end());
  }
  return bytes;
}

std::optional<Message> decode(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxBody) return std::nullopt;
  Reader from(bytes);
  Message message;
  if (from.get<std::uint8_t>() != kVersion) return std::nullopt;
  const auto kind = from.get<std::uint8_t>();
  if (kind < static_cast<std::uint8_t>(Kind::Ping) || kind > static_cast<std::uint8_t>(kLastKind))
    return std::nullopt;
  message.kind = static_cast<Kind>(kind);
  message.sender = from.get<PeerId>();
  message.incarnation = from.get<std::uint64_t>();
  message.address.ip = from.get<std::uint32_t>();
  message.address.port = from.get<std::uint16_t>();
  message.sequence = from.get<std::uint64_t>();
  message.nonce = from.get<std::uint32_t>();
  if (message.sender == 0) return std::nullopt;
  while (from.left() > 0) {
    const auto tag = from.get<std::uint8_t>();
    const auto length = from.get<std::uint8_t>();
    const auto body = from.take(length);
    if (!from.good()) return std::nullopt;
    Reader part(body);
    switch (static_cast<Tag>(tag)) {
      case Tag::Target:
        message.target = getUpdate(part);
        if (!message.target || part.left() > 0) return std::nullopt;
        break;
      case Tag::Updates:
        while (part.left() > 0) {
          const auto update = getUpdate(part);
          if (!update || message.updates.size() == kMaxUpdates) return std::nullopt;
          message.updates.push_back(*update);
        }
        break;
      case Tag::Payload:
        message.payload.assign(body.begin(), body.end());
        break;
      case Tag::Table: {
        Table table;
        for (std::uint32_t& digest : table.digests) digest = part.get<std::uint32_t>();
        table.reachable = part.get<std::uint16_t>();
        table.region = part.get<std::uint8_t>();
        if (!part.good() || table.region > kMaxRegion) return std::nullopt;
        message.table = table;
        break;
      }
      case Tag::Entries:
        if (!unpackEntries(body, message.entries)) return std::nullopt;
        break;
      case Tag::Filter: {
        message.range.index = part.get<std::uint8_t>();
        message.range.bits = part.get<std::uint8_t>();
        const auto filter = part.take(part.left());
        if (!part.good() || filter.empty() || filter.size() > BloomFilter::kMaxBytes ||
            message.range.bits > kMaxRangeBits || message.range.index >> message.range.bits != 0)
          return std::nullopt;
        message.filter.assign(filter.begin(), filter.end());
        break;
      }
      case Tag::Page:
        message.pageFlags = part.get<std::uint8_t>();
        if (!part.good()) return std::nullopt;
        break;
    }
  }
  if ((message.kind == Kind::Relay) != message.target.has_value()) return std::nullopt;
  if ((message.kind == Kind::Pull) == message.filter.empty()) return std::nullopt;
  return message;
}

}  // namespace ivypost::gossip
