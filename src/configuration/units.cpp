// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/units.h"

#include <array>
#include <charconv>
#include <cmath>

namespace ivypost::configuration {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};
// The larger first, for formatDuration.
constexpr std::array<Unit, 5> kTimes{{{"h", 3600e6}, {"min", 60e6}, {"s", 1e6}, {"ms", 1e3}, {"us", 1}}};
constexpr std::array<Unit, 4> kSizes{
    {{"GiB", 1024.0 * 1024 * 1024}, {"MiB", 1024.0 * 1024}, {"KiB", 1024}, {"B", 1}}};

template <std::size_t N>
std::optional<double> parse(std::string_view text, const std::array<Unit, N>& units, double most) {
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
  if (error != std::errc() || !std::isfinite(number) || std::signbit(number)) return std::nullopt;
  std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  while (!unit.empty() && unit.front() == ' ') unit.remove_prefix(1);
  for (const Unit& one : units) {
    if (one.name != unit) continue;
    const double value = number * one.factor;
    return value <= most ? std::optional(std::floor(value + 1e-6)) : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::int64_t> parseDuration(std::string_view text) {
  const auto value = parse(text, kTimes, static_cast<double>(kMaxDuration));
  return value ? std::optional(static_cast<std::int64_t>(*value)) : std::nullopt;
}

std::optional<std::uint64_t> parseSize(std::string_view text) {
  const auto value = parse(text, kSizes, static_cast<double>(kMaxSize));
  return value ? std::optional(static_cast<std::uint64_t>(*value)) : std::nullopt;
}

std::string formatDuration(std::int64_t micros) {
  for (const Unit& unit : kTimes) {
    const auto factor = static_cast<std::int64_t>(unit.factor);
    if (micros >= factor && micros % factor == 0)
      return std::to_string(micros / factor) + std::string(unit.name);
  }
  return std::to_string(micros) + "us";
}

}  // namespace ivypost::configuration
