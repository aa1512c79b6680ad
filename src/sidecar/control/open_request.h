// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The sidecar's requests and their attempts. No I/O and no clock.
#ifndef IVYPOST_CONTROL_OPEN_REQUEST_H_
#define IVYPOST_CONTROL_OPEN_REQUEST_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "client_request.h"
#include "clock.h"
#include "config.h"
#include "ivypost/balancer.h"

namespace ivypost {

/// One attempt of a request, also after its end.
struct AttemptRecord {
  EndpointId upstream = 0;        ///< where it went
  Clock::time_point writtenAt{};  ///< its last byte; the epoch: not written
  bool mayHaveRun = true;         ///< until its outcome proves otherwise
};

/// A request from the time it is taken until it is finished and nothing of it is out.
struct OpenRequest {
  ClientRequest client;                 ///< as it was taken
  std::vector<AttemptRecord> attempts;  ///< by number
  std::uint32_t out = 0;                ///< attempts that have not ended
  bool isFinished = false;              ///< it has its answer, or nobody waits for one
};

/// By the sidecar's id.
using OpenRequests = std::unordered_map<balancer::RequestId, OpenRequest>;

/// Until when the next attempt may be written.
///
/// A repeat with an idempotency key has to arrive while upstreams remember the key: the window opens with the
/// first attempt that may have run, which has been written if so, and the repeat is written 10 ms before the
/// window ends at the latest. This guards against a connection that comes up slowly.
/// \param request its earlier attempts count.
/// \param requestClass the settings' for this request.
/// \param deadline until when the attempt's answer is waited for.
/// \return `deadline` or earlier.
[[nodiscard]] Clock::time_point writeDeadline(const OpenRequest& request,
                                              const balancer::RequestClass& requestClass,
                                              Clock::time_point deadline);

/// Whether an attempt with this outcome can't have run.
[[nodiscard]] bool provesNeverRan(balancer::Outcome outcome);

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_OPEN_REQUEST_H_
