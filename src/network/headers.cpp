// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Compiles this folder's header by itself, so that the linter reads it with the folder's checks. The folder
// has no other source file.
#include "network/nonblocking_io.h"
