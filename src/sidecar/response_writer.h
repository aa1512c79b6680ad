// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The answer to a client and its text in HTTP: status line, headers, Retry-After. No I/O.
#ifndef IVYPOST_RESPONSE_WRITER_H_
#define IVYPOST_RESPONSE_WRITER_H_

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config.h"
#include "request_log.h"
#include "streaming/pipe.h"

namespace ivypost {

/// The final answer to a client's request.
struct Answer {
  /// The HTTP status.
  unsigned status = 502;
  /// The body, if it is not streamed.
  std::string body;
  /// The value of Content-Type.
  std::string contentType = "text/plain";
  /// Microseconds after which the client may try again; 0: no advice.
  Micros retryAfter = 0;
  /// The body if it is streamed, in place of `body`; null otherwise.
  std::shared_ptr<streaming::Pipe> stream;
  /// The bytes that `body` has taken from the byte budget; null: none.
  std::shared_ptr<streaming::ByteBudget::Share> bodyShare;
  /// Why the request is not served, for the log; empty: `body` says it.
  std::string reason;
  /// Bytes of the streamed body; none: unknown.
  std::optional<std::uint64_t> length;
};

/// The record of an answer that is no success. `traceId`: of the request; 0: not known. `elapsed`:
/// microseconds since the request was received.
[[nodiscard]] RequestEvent eventOf(const Answer& answer, std::uint64_t traceId, Micros elapsed);

/// The head of a response, and how the end of the body is marked.
struct ResponseHead {
  /// Status line and headers, with the empty line that ends them.
  std::string text;
  /// The body is sent in chunks (RFC 9112, 7.1).
  bool isChunked = false;
  /// The connection is closed after the body.
  bool closesConnection = false;
};

/// The head of an answer. `httpVersion`: of the request, 10 or 11; for HTTP/1.0, which has no chunks, a body
/// of unknown length is ended by closing the connection. `closesConnection`: the connection is closed after
/// the answer in any case.
[[nodiscard]] ResponseHead formatResponseHead(const Answer& answer, unsigned httpVersion,
                                              bool closesConnection);

/// The complete text of the last answer on a connection when the process exits. Always has Retry-After.
[[nodiscard]] std::string formatLastResponse(const Answer& answer);

/// An answer of one line of text; a line end is added.
[[nodiscard]] Answer textAnswer(unsigned status, std::string_view line);

/// The answer to a request whose body could not be read: 413 if it was too large, otherwise 400.
[[nodiscard]] Answer answerToBodyError(const boost::system::error_code& error);

}  // namespace ivypost

#endif  // IVYPOST_RESPONSE_WRITER_H_
