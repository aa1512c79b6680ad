// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_BOUNDED_SETTINGS_H_
#define IVYPOST_BALANCER_BOUNDED_SETTINGS_H_

#include "ivypost/balancer.h"

namespace ivypost::balancer::internal {

/// The settings with inconsistent or extreme values brought into range.
/// @throws std::invalid_argument for settings without classes or with this sidecar's zone out of range
[[nodiscard]] Settings boundedSettings(Settings settings);

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_BOUNDED_SETTINGS_H_
