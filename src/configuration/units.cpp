// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <memory>
#include <span>

namespace ivypost::configuration {
namespace {

struct Unit {
  std::string_view name;
  double factor;  // microseconds or bytes
};
// In descending order: formatDuration() takes the first unit that divides the duration.
constexpr std::array<Unit, 5> kTimeUnits{{{"h", 3600e6}, {"min", 60e6}, {"s", 1e6}, {"ms", 1e3}, {"us", 1}}};
constexpr std::array<Unit, 4> kSizeUnits{
    {{"GiB", 1024.0 * 1024 * 1024}, {"MiB", 1024.0 * 1024}, {"KiB", 1024}, {"B", 1}}};
// In microseconds or bytes: added to a value before it is rounded down, since 1.1 ms is 1099.99...
// microseconds as a double.
constexpr double kRoundingError = 1e-6;

std::optional<double> parseQuantity(std::string_view text, std::span<const Unit> units, double max) {
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), std::to_address(text.end()), number, std::chars_format::fixed);
  if (error != std::errc() || !std::isfinite(number) || std::signbit(number)) return std::nullopt;
  std::string_view name = text.substr(static_cast<std::size_t>(end - text.data()));
  while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
  for (const Unit& unit : units) {
    if (unit.name != name) continue;
    const double value = number * unit.factor;
    if (value > max) return std::nullopt;
    return std::floor(value + kRoundingError);
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::chrono::microseconds> parseDuration(std::string_view text) {
  const auto value = parseQuantity(text, kTimeUnits, static_cast<double>(kMaxDuration.count()));
  if (!value) return std::nullopt;
  return std::chrono::microseconds(static_cast<std::int64_t>(*value));
}

std::optional<std::uint64_t> parseSize(std::string_view text) {
  const auto value = parseQuantity(text, kSizeUnits, static_cast<double>(kMaxSize));
  if (!value) return std::nullopt;
  return static_cast<std::uint64_t>(*value);
}

std::string formatDuration(std::chrono::microseconds duration) {
  const std::int64_t micros = duration.count();
  for (const Unit& unit : kTimeUnits) {
    const auto factor = static_cast<std::int64_t>(unit.factor);
    if (micros >= factor && micros % factor == 0)
      return std::to_string(micros / factor) + std::string(unit.name);
  }
  return std::to_string(micros) + "us";
}

}  // namespace ivypost::configuration
