// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Compiles each header of this folder by itself, which has no other source: so the linter reads them with the
// folder's checks.
#include "util/backoff.h"
#include "util/bounded_math.h"
#include "util/fnv1a.h"
