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

/// The maximum number of seeds in the operator's file.
constexpr std::size_t kMaxSeeds = 64;
/// The lowest bytes_per_second. Below it, the probes and acks of a stable fleet (1.2 kB per second at a
/// period of 250 ms) would leave too little for the dissemination of changes.
constexpr std::int64_t kMinBytesPerSecond = 2000;
/// The highest bytes_per_second, more than any fleet needs.
constexpr std::int64_t kMaxBytesPerSecond = 1'000'000;

/// The settings in [peers] of the operator's file, as written there. Times are microseconds.
struct Options {
  bool on = false;                  ///< whether gossip is enabled
  std::string address;              ///< address for other sidecars; empty: the platform's setting
  std::string listen;               ///< address to bind to; empty: `address`
  std::vector<std::string> seeds;   ///< addresses of other sidecars; empty: the platform's setting
  std::string keyFile;              ///< path of the fleet's key file
  std::int64_t sidecars = 0;        ///< expected number of sidecars; 0: the platform's setting
  std::int64_t region = 0;          ///< 1 to kMaxRegion; 0: not set
  std::int64_t regionSidecars = 0;  ///< expected number in the region, this one included; 0: not set
  std::int64_t bytesPerSecond = Settings{}.bytesPerSecond;  ///< kMinBytesPerSecond to kMaxBytesPerSecond
  std::int64_t period = Settings{}.period;                  ///< as Settings::period
  std::int64_t timeout = Settings{}.timeout;                ///< as Settings::timeout; under `period`
  std::int64_t isolatedAfter = Settings{}.isolatedAfter;    ///< `deaf_after`; at least four periods
  double quorumFraction = Settings{}.quorumFraction;        ///< `deaf_part`; up to 1
  /// Compares all fields.
  bool operator==(const Options&) const = default;
};

/// Parses an address such as "10.0.0.4:7946"; none if the text is not an IPv4 address with a port.
[[nodiscard]] std::optional<Address> parseAddress(const std::string& text);

/// The first error in the options, as one line that names the key; none if they are valid.
[[nodiscard]] std::optional<std::string> flawOf(const Options& options);

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_OPTIONS_H_
