// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_
#define IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_

#include <vector>

#include "configuration/operator_key.h"

namespace ivypost::configuration {

/// All keys of the operator's file, which define its schema, its reader and its example; they are listed
/// nowhere else. The keys of a section are adjacent, and each path occurs once.
[[nodiscard]] const std::vector<Key>& operatorKeys();

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_OPERATOR_KEYS_H_
