// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/options.h"

#include <charconv>
#include <string_view>

namespace ivypost::gossip {
namespace {

constexpr std::uint32_t kMaxOctet = 255;
constexpr std::uint32_t kMaxPort = 65535;

// Parses and removes the number at the start of the text; none if there is no number or it exceeds `most`.
std::optional<std::uint32_t> takeNumber(std::string_view& text, std::uint32_t most) {
  std::uint32_t value = 0;
  const auto [next, error] = std::from_chars(text.begin(), text.end(), value);
  if (error != std::errc() || value > most) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(next - text.begin()));
  return value;
}

bool takeSeparator(std::string_view& text, char separator) {
  if (text.empty() || text.front() != separator) return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

std::optional<Address> parseAddress(const std::string& text) {
  Address address;
  std::string_view rest = text;
  for (const char separator : {'.', '.', '.', ':'}) {
    const auto octet = takeNumber(rest, kMaxOctet);
    if (!octet || !takeSeparator(rest, separator)) return std::nullopt;
    address.ip = address.ip << kByteBits | *octet;
  }
  const auto port = takeNumber(rest, kMaxPort);
  if (!port || !rest.empty()) return std::nullopt;
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
