// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Compiles this folder's headers, so that the linter reads them with the folder's checks. The folder has no
// other source file.
#include "util/backoff.h"
#include "util/bounded_math.h"
#include "util/fnv1a.h"
