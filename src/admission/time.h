// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_TIME_H_
#define IVYPOST_ADMISSION_TIME_H_

#include <cstdint>

namespace ivypost::admission {

/// Microseconds: a span, or a moment on the caller's monotonic clock, which never steps back. The same as the
/// decision module's and the operator's file's; the module reads no clock of its own.
using Micros = std::int64_t;

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TIME_H_
