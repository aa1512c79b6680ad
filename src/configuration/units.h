// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Parses durations and sizes such as "250ms", "1.5s" and "64KiB". A number without a unit is rejected as
// ambiguous to later readers of the file.
#ifndef IVYPOST_CONFIGURATION_UNITS_H_
#define IVYPOST_CONFIGURATION_UNITS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypost::configuration {

/// The longest duration accepted: a leap year, which is above any practical value and far from overflow.
constexpr std::chrono::microseconds kMaxDuration = std::chrono::hours(24) * 366;

/// Parses a duration from 0 to kMaxDuration. Units: us, ms, s, min, h; fractions are allowed and are rounded
/// down to whole microseconds. Returns none if the text is not a duration or is out of range.
[[nodiscard]] std::optional<std::chrono::microseconds> parseDuration(std::string_view text);

/// The largest size accepted, in bytes: 1 PiB, which a double represents exactly.
constexpr std::uint64_t kMaxSize = std::uint64_t{1} << 50U;

/// Parses a size from 0 to kMaxSize into bytes. Units: B, KiB, MiB, GiB. Returns none if the text is not a
/// size or is out of range.
[[nodiscard]] std::optional<std::uint64_t> parseSize(std::string_view text);

/// Formats a duration from 0 to kMaxDuration as an integer of the largest unit that divides it;
/// parseDuration() reads it back as the same.
[[nodiscard]] std::string formatDuration(std::chrono::microseconds duration);

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_UNITS_H_
