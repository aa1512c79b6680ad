// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Operators' calls that exclude and include endpoints: what they ask of the exclusions, and how they are
/// answered. No I/O and no clock.
#ifndef IVYPOST_CONTROL_EXCLUSION_CALL_H_
#define IVYPOST_CONTROL_EXCLUSION_CALL_H_

#include <optional>

#include "admin/call.h"
#include "control/endpoint_table.h"
#include "exclusion/exclusion_set.h"
#include "exclusion/result.h"

namespace ivypost {

/// The answer where another process has held the lock of the exclusions' file for too long.
inline constexpr const char* kFileIsLocked = "it can't be kept: the other process holds the file";

/// The change that an Exclude or Include asks for.
/// \param call names the endpoint.
/// \param endpoints says what lists know of it.
/// \param now by the wall clock, which may be wrong.
[[nodiscard]] exclusion::Change changeOf(const admin::Call& call, const EndpointTable& endpoints,
                                         exclusion::WallTime now);

/// The answer to the call: 200, 404 for an id that nobody knows, 503 if it can't be kept.
/// \param outcome of the change.
/// \param isExcluded whether the endpoint is excluded now that it was tried.
/// \return none: another process holds the file's lock, and the change has to be tried again.
[[nodiscard]] std::optional<admin::Reply> replyTo(const exclusion::Result<exclusion::Outcome>& outcome,
                                                  bool isExcluded);

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_EXCLUSION_CALL_H_
