// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// [peers] of the operator's file, as it stands there, and what it comes to for one sidecar.
#ifndef IVYPOST_GOSSIP_OPTIONS_H_
#define IVYPOST_GOSSIP_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gossip/members.h"

namespace ivypost::gossip {

constexpr std::size_t kMaxSeeds = 64;
// Bytes a second that may be set. Below the first, the probes and answers of a calm fleet alone (1.2 kB a
// second at a period of 250 ms) would leave too little for what changes; the last is more than any fleet has
// to say.
constexpr std::int64_t kMinBytesPerSecond = 2000, kMaxBytesPerSecond = 1'000'000;

struct Options {
  bool on = false;
  std::string address, listen;     // empty: the platform's; `listen` empty: `address`
  std::vector<std::string> seeds;  // empty: the platform's
  std::string keyFile;
  std::int64_t sidecars = 0;        // 0: as many as the platform says
  std::int64_t region = 0;          // 1 to kMaxRegion; 0: not told
  std::int64_t regionSidecars = 0;  // that should be in the region, this one among them; 0: not told
  std::int64_t bytesPerSecond = Settings{}.bytesPerSecond;
  std::int64_t period = Settings{}.period;
  std::int64_t timeout = Settings{}.timeout;
  std::int64_t isolatedAfter = Settings{}.isolatedAfter;
  double quorumFraction = Settings{}.quorumFraction;
  bool operator==(const Options&) const = default;
};

// "10.0.0.4:7946"; none: it is no IPv4 address and port.
std::optional<Address> parseAddress(const std::string& text);

// What makes them unfit for use by themselves, one line that names the key; none: nothing.
std::optional<std::string> flawOf(const Options& options);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_OPTIONS_H_
