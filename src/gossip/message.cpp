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

// The header of a section: its tag and its length.
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

void putSection(Writer& to, Tag tag, std::size_t length) {
  to.put(static_cast<std::uint8_t>(tag));
  to.put(static_cast<std::uint8_t>(length));
}

void putHeader(Writer& to, const Message& message) {
  to.put(kVersion);
  to.put(static_cast<std::uint8_t>(message.kind));
  to.put(message.sender);
  to.put(message.incarnation);
  to.put(message.address.ip);
  to.put(message.address.port);
  to.put(message.sequence);
  to.put(message.nonce);
}

void putTable(Writer& to, const TableSummary& table) {
  putSection(to, Tag::Table, kTableBytes);
  for (const std::uint32_t digest : table.digests) to.put(digest);
  to.put(table.reachable);
  to.put(table.region);
}

// The bytes left for the body of one more section.
std::size_t remainingBodyBytes(const std::vector<std::uint8_t>& bytes) {
  const std::size_t used = bytes.size() + kSectionBytes;
  return used < kMaxBody ? kMaxBody - used : 0;
}

bool getHeader(Reader& from, Message& message) {
  if (from.get<std::uint8_t>() != kVersion) return false;
  const auto kind = from.get<std::uint8_t>();
  if (kind < static_cast<std::uint8_t>(Kind::Ping) || kind > static_cast<std::uint8_t>(kLastKind))
    return false;
  message.kind = static_cast<Kind>(kind);
  message.sender = from.get<PeerId>();
  message.incarnation = from.get<std::uint64_t>();
  message.address.ip = from.get<std::uint32_t>();
  message.address.port = from.get<std::uint16_t>();
  message.sequence = from.get<std::uint64_t>();
  message.nonce = from.get<std::uint32_t>();
  return message.sender != 0;
}

bool getUpdates(Reader& body, Message& message) {
  while (body.left() > 0) {
    const auto update = getUpdate(body);
    if (!update || message.updates.size() == kMaxUpdates) return false;
    message.updates.push_back(*update);
  }
  return true;
}

bool getTable(Reader& body, Message& message) {
  TableSummary table;
  for (std::uint32_t& digest : table.digests) digest = body.get<std::uint32_t>();
  table.reachable = body.get<std::uint16_t>();
  table.region = body.get<std::uint8_t>();
  message.table = table;
  return body.good() && table.region <= kMaxRegion;
}

bool getFilter(Reader& body, Message& message) {
  message.range.index = body.get<std::uint8_t>();
  message.range.bits = body.get<std::uint8_t>();
  const auto filter = body.take(body.left());
  message.filter.assign(filter.begin(), filter.end());
  return body.good() && !filter.empty() && filter.size() <= BloomFilter::kMaxBytes &&
         message.range.bits <= kMaxRangeBits && message.range.index >> message.range.bits == 0;
}

// False if the section is malformed; a section with an unknown tag is skipped.
bool getSection(std::uint8_t tag, std::span<const std::uint8_t> bytes, Message& message) {
  Reader body(bytes);
  switch (static_cast<Tag>(tag)) {
    case Tag::Target:
      message.target = getUpdate(body);
      return message.target && body.left() == 0;
    case Tag::Updates:
      return getUpdates(body, message);
    case Tag::Payload:
      message.payload.assign(bytes.begin(), bytes.end());
      return true;
    case Tag::Table:
      return getTable(body, message);
    case Tag::Entries:
      return unpackEntries(bytes, message.entries);
    case Tag::Filter:
      return getFilter(body, message);
    case Tag::Page:
      message.pageFlags = body.get<std::uint8_t>();
      return body.good();
  }
  return true;
}

}  // namespace

std::string format(const Address& address) {
  constexpr int kTopOctet = 24;
  constexpr std::uint32_t kOctet = 0xff;
  std::string text;
  for (int shift = kTopOctet; shift >= 0; shift -= kByteBits)
    text.append(std::to_string(address.ip >> shift & kOctet)).append(shift > 0 ? "." : ":");
  return text.append(std::to_string(address.port));
}

PeerId idOf(std::string_view name) {
  const std::uint64_t hash = util::fnv1a(name);
  return hash == 0 ? 1 : hash;
}

std::size_t roomForPayload(const Message& message) {
  return remainingBodyBytes(encode(message));
}

std::size_t roomForEntries(const Message& message) {
  return roomForPayload(message);
}

std::vector<std::uint8_t> encode(const Message& message) {
  std::vector<std::uint8_t> bytes;
  bytes.reserve(kMaxDatagram);
  Writer to(bytes);
  putHeader(to, message);
  if (message.target) {
    putSection(to, Tag::Target, kUpdateBytes);
    put(to, *message.target);
  }
  const std::size_t count = std::min(message.updates.size(), kMaxUpdates);
  if (count > 0) {
    putSection(to, Tag::Updates, count * kUpdateBytes);
    for (std::size_t n = 0; n < count; ++n) put(to, message.updates[n]);
  }
  if (message.table) putTable(to, *message.table);
  if (message.kind == Kind::Pull) {
    putSection(to, Tag::Filter, kRangeBytes + message.filter.size());
    to.put(message.range.index);
    to.put(message.range.bits);
    bytes.insert(bytes.end(), message.filter.begin(), message.filter.end());
  }
  if (message.kind == Kind::Page) {
    putSection(to, Tag::Page, 1);
    to.put(message.pageFlags);
  }
  if (!message.entries.empty()) {
    std::vector<std::uint8_t> packed;
    if (packEntries(message.entries, remainingBodyBytes(bytes), packed) > 0) {
      putSection(to, Tag::Entries, packed.size());
      bytes.insert(bytes.end(), packed.begin(), packed.end());
    }
  }
  if (!message.payload.empty() && message.payload.size() <= remainingBodyBytes(bytes)) {
    putSection(to, Tag::Payload, message.payload.size());
    bytes.insert(bytes.end(), message.payload.begin(), message.payload.end());
  }
  return bytes;
}

std::optional<Message> decode(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxBody) return std::nullopt;
  Reader from(bytes);
  Message message;
  if (!getHeader(from, message)) return std::nullopt;
  while (from.left() > 0) {
    const auto tag = from.get<std::uint8_t>();
    const auto length = from.get<std::uint8_t>();
    const auto body = from.take(length);
    if (!from.good() || !getSection(tag, body, message)) return std::nullopt;
  }
  if ((message.kind == Kind::Relay) != message.target.has_value()) return std::nullopt;
  if ((message.kind == Kind::Pull) == message.filter.empty()) return std::nullopt;
  return message;
}

}  // namespace ivypost::gossip
