// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Converts operators' calls that exclude and include endpoints into changes of the exclusions, and the
/// outcomes into answers. No I/O and no clock.
#ifndef IVYPOST_CONTROL_EXCLUSION_CALL_H_
#define IVYPOST_CONTROL_EXCLUSION_CALL_H_

#include <optional>

#include "admin/call.h"
#include "control/endpoint_table.h"
#include "exclusion/exclusion_set.h"
#include "exclusion/result.h"

namespace ivypost {

/// The answer if the lock of the exclusions' file could not be acquired in time.
inline constexpr const char* kFileIsLocked = "it can't be kept: the other process holds the file";

/// The change that an Exclude or Include call requests.
/// \param call names the endpoint.
/// \param endpoints provides whether lists name the endpoint, and its start time.
/// \param now wall-clock time, which may be wrong.
[[nodiscard]] exclusion::Change changeOf(const admin::Call& call, const EndpointTable& endpoints,
                                         exclusion::WallTime now);

/// The answer to the call: 200; 404 for an unknown id; 503 if the change can't be stored.
/// \param outcome result of storing the change.
/// \param isExcluded whether the endpoint is excluded after the change was tried.
/// \return empty if another process holds the file's lock, so that the change has to be tried again.
[[nodiscard]] std::optional<admin::Reply> replyTo(const exclusion::Result<exclusion::Outcome>& outcome,
                                                  bool isExcluded);

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_EXCLUSION_CALL_H_
