// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_OPTIONS_H_
#define IVYPOST_GOSSIP_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gossip/settings.h"

namespace ivypost::gossip {

/// Seeds that may be set.
constexpr std::size_t kMaxSeeds = 64;
/// The least bytes_per_second. Below it, the probes and answers of a calm fleet alone (1.2 kB a second at a
/// period of 250 ms) would leave too little for what changes.
constexpr std::int64_t kMinBytesPerSecond = 2000;
/// The highest bytes_per_second, more than any fleet has to send.
constexpr std::int64_t kMaxBytesPerSecond = 1'000'000;

/// [peers] of the operator's file, as it stands there. Times are microseconds.
struct Options {
  bool on = false;                  ///< whether there is gossip at all
  std::string address;              ///< where others reach this one; empty: the platform's
  std::string listen;               ///< where it binds; empty: `address`
  std::vector<std::string> seeds;   ///< addresses of others; empty: the platform's
  std::string keyFile;              ///< the path of the fleet's key
  std::int64_t sidecars = 0;        ///< that there should be; 0: as many as the platform says
  std::int64_t region = 0;          ///< 1 to kMaxRegion; 0: not set
  std::int64_t regionSidecars = 0;  ///< that should be in the region, this one among them; 0: not set
  std::int64_t bytesPerSecond = Settings{}.bytesPerSecond;  ///< kMinBytesPerSecond to kMaxBytesPerSecond
  std::int64_t period = Settings{}.period;                  ///< as Settings::period
  std::int64_t timeout = Settings{}.timeout;                ///< as Settings::timeout; under `period`
  std::int64_t isolatedAfter = Settings{}.isolatedAfter;    ///< `deaf_after`; at least four periods
  double quorumFraction = Settings{}.quorumFraction;        ///< `deaf_part`; up to 1
  /// Whether nothing is set otherwise.
  bool operator==(const Options&) const = default;
};

/// The address as in "10.0.0.4:7946"; none: it is no IPv4 address and port.
[[nodiscard]] std::optional<Address> parseAddress(const std::string& text);

/// What makes the options unfit for use by themselves, one line that names the key; none: nothing does.
[[nodiscard]] std::optional<std::string> flawOf(const Options& options);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_OPTIONS_H_
