// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The bytes of a request's head as they go to an upstream. No I/O and no clock.
#ifndef IVYPOST_UPSTREAM_UPSTREAM_REQUEST_H_
#define IVYPOST_UPSTREAM_UPSTREAM_REQUEST_H_

#include <string>

#include "client_request.h"
#include "clock.h"

namespace ivypost {

/// The time that an attempt tells its upstream.
///
/// While a body is still coming in, the deadline of the request is an estimate that allows for that too; the
/// client has given the time from its last byte on, and no upstream is told more.
/// \param deadline until when the attempt is waited for.
/// \param upload the body that is still coming in; null if the body is in the message.
/// \param now the time of the call.
/// \return negative if the deadline is over.
[[nodiscard]] Clock::duration timeLeft(Clock::time_point deadline, const Upload* upload,
                                       Clock::time_point now);

/// The head of an attempt: the request line, the client's headers and the empty line.
///
/// Left out are the headers that are about the client's connection alone (RFC 9110, 7.6.1). The framing is
/// that of this connection (RFC 9110, 8.6): the length if it is known, also one of 0 for a POST, else chunks.
/// `X-Expires-In-Ms` has the time left in whole milliseconds, rounded down, but at least 1.
/// \param message the client's request; it stays as it is, for other attempts.
/// \param upload the body that is still coming in; null if the body is in the message.
/// \param timeLeft what timeLeft() gave.
[[nodiscard]] std::string attemptHead(const Message& message, const Upload* upload, Clock::duration timeLeft);

/// The head of a probe, which has no body.
[[nodiscard]] std::string probeHead();

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_REQUEST_H_
