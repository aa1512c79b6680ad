// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/entry_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <span>
#include <tuple>
#include <vector>

namespace ivypost::gossip {
namespace {

rc::Gen<Update> arbitraryEntry() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::nonZero<PeerId>(), rc::gen::arbitrary<std::uint64_t>(),
                     rc::gen::arbitrary<std::uint32_t>(), rc::gen::arbitrary<std::uint16_t>(),
                     rc::gen::inRange(0, 4), rc::gen::inRange(0, kMaxRegion + 1), rc::gen::arbitrary<bool>()),
      [](const auto& parts) {
        const auto& [id, incarnation, ip, port, state, region, usesAntiEntropy] = parts;
        Update one{id, incarnation, {}, static_cast<State>(std::min(state, 2)), 0};
        one.region = static_cast<std::uint8_t>(region);
        if (state == 0) {
          one.address = {ip, port};
          one.usesAntiEntropy = usesAntiEntropy;
        }
        if (state == 1) one.witness = id ^ 1;
        if (state == 3)
          one.witness = id;  // the member has left, which is encoded as a death that it witnessed itself
        return one;
      });
}

RC_GTEST_PROP(EntryCodec, RoundTrips, ()) {
  const auto entries = *rc::gen::resize(30, rc::gen::container<std::vector<Update>>(arbitraryEntry()));
  const auto room = *rc::gen::inRange<std::size_t>(0, 240);
  std::vector<std::uint8_t> packed;
  const std::size_t count = packEntries(entries, room, packed);
  RC_ASSERT(count <= kMaxEntries);
  RC_ASSERT(packed.size() <= room);
  std::vector<Update> back;
  RC_ASSERT(unpackEntries(packed, back));
  std::vector<Update> sent(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count));
  const auto order = [](const Update& a, const Update& b) {
    return std::tuple(a.id, a.incarnation, a.state, a.address, a.witness, a.region, a.usesAntiEntropy) <
           std::tuple(b.id, b.incarnation, b.state, b.address, b.witness, b.region, b.usesAntiEntropy);
  };
  std::sort(sent.begin(), sent.end(), order);
  std::sort(back.begin(), back.end(), order);
  RC_ASSERT(sent == back);
}

// Entries of a truncated datagram are rejected, or fewer of them are decoded.
TEST(EntryCodec, RejectsOrShortensTruncatedBytes) {
  std::vector<Update> entries;
  for (std::uint64_t n = 1; n <= 9; ++n)
    entries.push_back({n, 1'790'000'000'000 + 977 * n, {0x0a000001, 7946}, static_cast<State>(n % 3), 5});
  std::vector<std::uint8_t> packed;
  ASSERT_EQ(packEntries(entries, 240, packed), 9u);
  for (std::size_t length = 0; length < packed.size(); ++length) {
    std::vector<Update> back;
    if (unpackEntries(std::span(packed).first(length), back)) {
      EXPECT_LT(back.size(), 9u) << length;
    }
  }
}

TEST(EntryCodec, RejectsMalformedBytes) {
  const struct {
    const char* what;
    std::vector<std::uint8_t> packed;
  } rows[] = {
      {"an id of 0", {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
      {"an incarnation with an unterminated varint",
       {2, 0, 0, 0, 0, 0, 0, 0, 1, 128, 128, 128, 128, 128, 128, 128, 128, 128, 128, 128, 0}},
      {"an incarnation of 70 bits",
       {2, 0, 0, 0, 0, 0, 0, 0, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 2}},
      {"an address below 0", {0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 2}},
      {"a truncated witness", {1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 1, 2, 3}},
  };
  for (const auto& row : rows) {
    std::vector<Update> back;
    EXPECT_FALSE(unpackEntries(row.packed, back)) << row.what;
  }
  // More entries than a datagram can hold.
  std::vector<std::uint8_t> many;
  for (std::size_t n = 0; n <= kMaxEntries; ++n) many.insert(many.end(), {2, 0, 0, 0, 0, 0, 0, 0, 1, 0});
  std::vector<Update> back;
  EXPECT_FALSE(unpackEntries(many, back));
}

}  // namespace
}  // namespace ivypost::gossip
