// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Durations and sizes as people write them: "250ms", "1.5s", "64KiB". A number without its unit is rejected,
// since whoever reads the file later can't tell what was meant.
#ifndef IVYPOST_CONFIGURATION_UNITS_H_
#define IVYPOST_CONFIGURATION_UNITS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypost::configuration {

/// The longest duration that is read: a leap year, far over any that is meant and far from overflow.
constexpr std::chrono::microseconds kMaxDuration = std::chrono::hours(24) * 366;

/// A duration from 0 to kMaxDuration. Units: us, ms, s, min, h; a fraction is allowed, and what is finer than
/// a microsecond is rounded down. None: the text is no duration, or out of range.
[[nodiscard]] std::optional<std::chrono::microseconds> parseDuration(std::string_view text);

/// The largest size that is read, in bytes: 1 PiB, which a double holds exactly.
constexpr std::uint64_t kMaxSize = std::uint64_t{1} << 50U;

/// A size in bytes, from 0 to kMaxSize. Units: B, KiB, MiB, GiB. None: the text is no size, or out of range.
[[nodiscard]] std::optional<std::uint64_t> parseSize(std::string_view text);

/// The shortest form that parseDuration() reads as the same. `duration`: from 0 to kMaxDuration.
[[nodiscard]] std::string formatDuration(std::chrono::microseconds duration);

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_UNITS_H_
