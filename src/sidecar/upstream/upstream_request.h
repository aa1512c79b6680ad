// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Serializes the heads of requests to upstreams. Performs no I/O and reads no clock.
#ifndef IVYPOST_UPSTREAM_UPSTREAM_REQUEST_H_
#define IVYPOST_UPSTREAM_UPSTREAM_REQUEST_H_

#include <string>

#include "client_request.h"
#include "clock.h"

namespace ivypost {

/// The time left for an attempt, which its head states to the upstream.
///
/// While a body is still being received, the request's deadline is an estimate that includes the time to
/// receive the rest. The client's time counts from the last byte of the body, so the result is limited to
/// that time.
/// \param deadline when the attempt times out.
/// \param upload the body that is still being received; null if the body is in the message.
/// \param now the time of the call.
/// \return negative if the deadline has passed.
[[nodiscard]] Clock::duration timeLeft(Clock::time_point deadline, const Upload* upload,
                                       Clock::time_point now);

/// The head of an attempt: the request line, the client's headers and the empty line.
///
/// Headers that apply to the client's connection only are omitted (RFC 9110, 7.6.1). The framing headers are
/// set for the connection to the upstream (RFC 9110, 8.6): Content-Length if the length is known, for a POST
/// also a length of 0, and chunked transfer coding otherwise. `X-Expires-In-Ms` is the time left in whole
/// milliseconds, rounded down, but at least 1.
/// \param message the client's request; not changed, since other attempts use it.
/// \param upload the body that is still being received; null if the body is in the message.
/// \param timeLeft the result of timeLeft().
[[nodiscard]] std::string attemptHead(const Message& message, const Upload* upload, Clock::duration timeLeft);

/// The head of a probe, a request without a body for the upstream's load report.
[[nodiscard]] std::string probeHead();

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_REQUEST_H_
