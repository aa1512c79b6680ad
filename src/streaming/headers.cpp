// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Compiles the header that no other source of this folder includes, so that the linter applies this folder's
// checks to it.
#include "streaming/pieces_body.h"
