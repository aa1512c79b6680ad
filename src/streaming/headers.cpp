// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Compiles the header that no other source of this folder includes: so the linter reads it with the folder's
// checks.
#include "streaming/pieces_body.h"
