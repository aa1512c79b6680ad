// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Durations and sizes as people write them: "250ms", "1.5s", "64KiB". A number without its unit is not taken,
// since whoever reads the file later can't tell what was meant.
#ifndef IVYPOST_CONFIGURATION_UNITS_H_
#define IVYPOST_CONFIGURATION_UNITS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypost::configuration {

// In microseconds; 0 to kMaxDuration. Units: us, ms, s, min, h. None: no duration, or out of range. What is
// finer than a microsecond is rounded down.
constexpr std::int64_t kMaxDuration = std::int64_t{366} * 24 * 3600 * 1'000'000;
std::optional<std::int64_t> parseDuration(std::string_view text);

// In bytes; 0 to kMaxSize. Units: B, KiB, MiB, GiB. None: no size, or out of range.
constexpr std::uint64_t kMaxSize = std::uint64_t{1} << 50;
std::optional<std::uint64_t> parseSize(std::string_view text);

// The shortest form that parseDuration reads as the same; negative values and those over kMaxDuration are not
// meant for it.
std::string formatDuration(std::int64_t micros);

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_UNITS_H_
