// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Compiles the header of this folder by itself, which has no other source: so the linter reads it with the
// folder's checks.
#include "network/nonblocking_io.h"
