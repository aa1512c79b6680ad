// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_TIME_H_
#define IVYPOST_ADMISSION_TIME_H_

#include <cstdint>

namespace ivypost::admission {

/// Microseconds: a duration, or a point in time of the caller's monotonic clock. The same type as in the
/// decision module and the operator's file; the admission module reads no clock.
using Micros = std::int64_t;

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TIME_H_
