// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "peers/message.h"

#include <algorithm>

namespace ivypost::peers {
namespace {

enum class Tag : std::uint8_t { Target = 1, Updates = 2, Facts = 3 };

// Of each section: its tag and its length.
constexpr std::size_t kSectionBytes = 2;
constexpr std::size_t kMaxBody = kMaxDatagram - kSealBytes;

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

// FNV-1a, 64 bits (RFC 9923); two of 2,000 names share one with odds of 1 in 10^13.
PeerId idOf(std::string_view name) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char one : name) hash = (hash ^ static_cast<unsigned char>(one)) * 0x100000001b3;
  return hash == 0 ? 1 : hash;
}

std::size_t roomForFacts(std::size_t updates, bool target) {
  std::size_t used = kHeaderBytes + kSectionBytes;
  if (updates > 0) used += kSectionBytes + updates * kUpdateBytes;
  if (target) used += kSectionBytes + kUpdateBytes;
  return used < kMaxBody ? kMaxBody - used : 0;
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
  if (!message.facts.empty() && message.facts.size() <= roomForFacts(count, message.target.has_value())) {
    section(Tag::Facts, message.facts.size());
    bytes.insert(bytes.end(), message.facts.begin(), message.facts.end());
  }
  return bytes;
}

std::optional<Message> decode(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxBody) return std::nullopt;
  Reader from(bytes);
  Message message;
  if (from.get<std::uint8_t>() != kVersion) return std::nullopt;
  const auto kind = from.get<std::uint8_t>();
  if (kind < static_cast<std::uint8_t>(Kind::Ping) || kind > static_cast<std::uint8_t>(Kind::News))
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
      case Tag::Facts:
        message.facts.assign(body.begin(), body.end());
        break;
    }
  }
  if ((message.kind == Kind::Relay) != message.target.has_value()) return std::nullopt;
  return message;
}

}  // namespace ivypost::peers
