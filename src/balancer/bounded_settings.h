// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
#ifndef ORCHIDDRUM_BALANCER_BOUNDED_SETTINGS_H_
#define ORCHIDDRUM_BALANCER_BOUNDED_SETTINGS_H_

#include "orchiddrum/balancer.h"

namespace orchiddrum::internal {

/// The settings with contradictory or extreme figures brought into range.
/// @throws std::invalid_argument for settings without classes or with this sidecar's zone out of range
[[nodiscard]] Settings boundedSettings(Settings settings);

}  // namespace orchiddrum::internal

#endif  // ORCHIDDRUM_BALANCER_BOUNDED_SETTINGS_H_
