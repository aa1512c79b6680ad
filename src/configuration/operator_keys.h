// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_
#define IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_

#include <vector>

#include "configuration/operator_key.h"

namespace ivypost::configuration {

/// All keys of the operator's file: schema, reader and example at once, and the only place that knows them.
/// Section by section, the keys of one together, each path once.
[[nodiscard]] const std::vector<Key>& operatorKeys();

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_
