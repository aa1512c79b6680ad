// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The sidecar's open requests and their attempts. No I/O and no clock.
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

/// One attempt of a request; kept after the attempt has ended.
struct AttemptRecord {
  EndpointId upstream = 0;        ///< the endpoint that it is sent to
  Clock::time_point writtenAt{};  ///< when its last byte was written; the epoch: not written
  bool mayHaveRun = true;         ///< on the upstream; true until the outcome proves otherwise
};

/// A request, from its arrival until it is finished and has no attempt in flight.
struct OpenRequest {
  ClientRequest client;                 ///< as received from the client
  std::vector<AttemptRecord> attempts;  ///< by attempt number
  std::uint32_t pendingAttempts = 0;    ///< attempts that have not ended
  bool isFinished = false;              ///< it is answered, or the client has left
};

/// The open requests by the id that the sidecar assigned.
using OpenRequests = std::unordered_map<balancer::RequestId, OpenRequest>;

/// The latest time at which the next attempt may be written.
///
/// A retry with an idempotency key has to arrive while upstreams remember the key. That window begins when
/// the last byte of the first attempt that may have run was written, and the retry must be written at least
/// 10 ms before the window ends. Without this bound, a connection that is slow to establish would send a
/// retry too late.
/// \param request provides the earlier attempts.
/// \param requestClass the request's class in the settings.
/// \param deadline end of the wait for the attempt's answer.
/// \return `deadline` or an earlier time.
[[nodiscard]] Clock::time_point writeDeadline(const OpenRequest& request,
                                              const balancer::RequestClass& requestClass,
                                              Clock::time_point deadline);

/// Whether the outcome proves that the upstream did not execute the attempt.
[[nodiscard]] bool provesNeverRan(balancer::Outcome outcome);

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_OPEN_REQUEST_H_
