// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "gossip/options.h"

namespace ivypost::gossip {
namespace {

Update someUpdate(std::uint64_t number) {
  return {number + 1, 3 * number, {0x0a000001, 7946}, static_cast<State>(number % 3), number};
}

Message someMessage(Kind kind, std::size_t updates, std::size_t payload) {
  Message message;
  message.kind = kind;
  message.sender = idOf("s1");
  message.incarnation = 1'790'000'000'000;
  message.address = {0x7f000001, 1};
  message.sequence = 77;
  message.nonce = 0xfffffffe;
  if (kind == Kind::Relay) message.target = someUpdate(9);
  for (std::size_t n = 0; n < updates; ++n) message.updates.push_back(someUpdate(n));
  message.payload.assign(payload, 0xab);
  return message;
}

TEST(MessageCodec, RoundTripsWithinADatagram) {
  for (const Kind kind : {Kind::Ping, Kind::Ack, Kind::Relay, Kind::Nack}) {
    for (std::size_t updates = 0; updates <= kMaxUpdates; ++updates) {
      for (const std::size_t payload :
           {std::size_t{0}, std::size_t{1}, roomForPayload(someMessage(kind, updates, 0))}) {
        const Message message = someMessage(kind, updates, payload);
        const auto bytes = encode(message);
        EXPECT_LE(bytes.size() + kSealBytes, kMaxDatagram);
        const auto back = decode(bytes);
        ASSERT_TRUE(back) << updates << " " << payload;
        EXPECT_EQ(back->updates, message.updates);
        EXPECT_EQ(back->payload, message.payload);
        EXPECT_EQ(back->target, message.target);
        EXPECT_EQ(back->sequence, message.sequence);
        EXPECT_EQ(back->nonce, message.nonce);
        EXPECT_EQ(back->incarnation, message.incarnation);
        EXPECT_EQ(back->address, message.address);
      }
    }
  }
}

// Of six updates only four are encoded, and a payload of 200 bytes does not fit beside them.
TEST(MessageCodec, OmitsWhatDoesNotFit) {
  const auto bytes = encode(someMessage(Kind::Ping, 6, 200));
  EXPECT_LE(bytes.size() + kSealBytes, kMaxDatagram);
  const auto back = decode(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->updates.size(), kMaxUpdates);
  EXPECT_TRUE(back->payload.empty());
}

TEST(MessageCodec, SkipsSectionsOfUnknownTags) {
  auto bytes = encode(someMessage(Kind::Ack, 1, 0));
  bytes.insert(bytes.end(), {200, 3, 1, 2, 3});
  const auto back = decode(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->updates.size(), 1u);
}

TEST(MessageCodec, RejectsMalformedMessages) {
  const auto good = encode(someMessage(Kind::Relay, 2, 0));
  ASSERT_TRUE(decode(good));
  for (std::size_t length = 0; length < good.size(); ++length) {
    // A message that is cut exactly between its target section and its updates section is valid, without
    // updates.
    const bool isComplete = length == kHeaderBytes + 2 + kUpdateBytes;
    EXPECT_EQ(decode(std::span(good).first(length)).has_value(), isComplete) << length;
  }
  const struct {
    const char* what;
    std::size_t at;
    std::uint8_t value;
  } rows[] = {{"version", 0, 2},
              {"kind 0", 1, 0},
              {"kind 5", 1, 5},
              {"a ping with a target", 1, 1},
              {"an unknown state", kHeaderBytes + 2 + 22, 3},
              {"a section longer than the message", kHeaderBytes + 1, 255}};
  for (const auto& row : rows) {
    auto bytes = good;
    bytes[row.at] = row.value;
    EXPECT_FALSE(decode(bytes)) << row.what;
  }
}

// A message decoded from arbitrary bytes can be encoded into a datagram again.
RC_GTEST_PROP(MessageCodec, ReadsAnyBytesWithoutHarm, (std::vector<std::uint8_t> bytes)) {
  if (bytes.size() > 2) bytes[0] = kVersion, bytes[1] = static_cast<std::uint8_t>(1 + bytes[1] % 4);
  const auto message = decode(bytes);
  if (message) RC_ASSERT(encode(*message).size() + kSealBytes <= kMaxDatagram);
}

TEST(Addresses, ParseAndFormat) {
  for (const char* text : {"0.0.0.0:0", "127.0.0.1:7946", "255.255.255.255:65535"}) {
    const auto address = parseAddress(text);
    ASSERT_TRUE(address) << text;
    EXPECT_EQ(format(*address), text);
  }
  for (const char* text : {"", "1.2.3.4", "1.2.3:80", "256.1.1.1:80", "1.2.3.4:65536", "1.2.3.4:80 ",
                           "a.b.c.d:1", "1.2.3.4:", "-1.2.3.4:5", "[::1]:80"})
    EXPECT_FALSE(parseAddress(text)) << text;
}

}  // namespace
}  // namespace ivypost::gossip
