// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/options.h"

#include <charconv>

namespace ivypost::gossip {

std::optional<Address> parseAddress(const std::string& text) {
  Address address;
  const char* at = text.data();
  const char* const end = at + text.size();
  const auto number = [&](std::uint32_t most, char behind) -> std::optional<std::uint32_t> {
    std::uint32_t value = 0;
    const auto [next, error] = std::from_chars(at, end, value);
    if (error != std::errc() || value > most || (behind != 0 ? next == end || *next != behind : next != end))
      return std::nullopt;
    at = behind != 0 ? next + 1 : next;
    return value;
  };
  for (const char behind : {'.', '.', '.', ':'}) {
    const auto part = number(255, behind);
    if (!part) return std::nullopt;
    address.ip = address.ip << 8 | *part;
  }
  const auto port = number(65535, 0);
  if (!port) return std::nullopt;
  address.port = static_cast<std::uint16_t>(*port);
  return address;
}

std::optional<std::string> flawOf(const Options& options) {
  const auto bad = [](const std::string& key, const std::string& text) {
    return key + ": '" + text + "' is no address as 10.0.0.4:7946";
  };
  if (!options.address.empty() && !parseAddress(options.address)) return bad("address", options.address);
  if (!options.listen.empty() && !parseAddress(options.listen)) return bad("listen", options.listen);
  for (const std::string& seed : options.seeds)
    if (!parseAddress(seed)) return bad("seeds", seed);
  if (options.keyFile.empty())
    return "key_file is missing: a file of 64 hexadecimal digits, the same everywhere";
  if (options.region > 0 && options.regionSidecars == 0)
    return "region_sidecars is missing: how many sidecars there should be in this one's region, as 330";
  if (options.region == 0 && options.regionSidecars > 0)
    return "region_sidecars counts for nothing without region; set region, 1 to " +
           std::to_string(kMaxRegion) + ", or leave both out";
  if (options.timeout >= options.period) return "timeout has to be under period";
  if (options.isolatedAfter < 4 * options.period) return "deaf_after has to be at least four times period";
  return std::nullopt;
}

}  // namespace ivypost::gossip
