// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_LEVEL_H_
#define IVYPOST_DEGRADATION_LEVEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ivypost::degradation {

/// The degree to which service is degraded. Each level adds restrictions to those of the level before, so
/// that a greater value is a stricter level. restrictionsAt() returns the restrictions of each level.
enum class Level : std::uint8_t {
  Normal,   ///< Full service.
  Thrifty,  ///< No hedged requests, fewer health checks.
  Protect,  ///< Admission by priority weight, with tenants over their quota last.
  Shed,     ///< Requests that can't be served in time are rejected before their body is read.
  Cutoff,   ///< Only the class of the greatest priority weight is admitted.
};

/// All levels, mildest first.
inline constexpr std::array kLevels = {Level::Normal, Level::Thrifty, Level::Protect, Level::Shed,
                                       Level::Cutoff};
/// The number of levels, as the size of tables indexed by indexOf().
inline constexpr std::size_t kLevelCount = kLevels.size();

/// The level's position in kLevels: 0 is Normal.
[[nodiscard]] constexpr std::size_t indexOf(Level level) {
  return static_cast<std::size_t>(level);
}

/// The level's name in the operator's file, in `GET /status/level` and in the log. The names are part of
/// these interfaces and must not change.
[[nodiscard]] std::string_view nameOf(Level level);

/// The level that is one step stricter.
/// @pre `level` is not Cutoff; std::out_of_range otherwise.
[[nodiscard]] Level nextStricter(Level level);

/// The level that is one step milder.
/// @pre `level` is not Normal; std::out_of_range otherwise.
[[nodiscard]] Level nextMilder(Level level);

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_LEVEL_H_
