// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The answer to a client, and its text on the wire: status line, headers, Retry-After. No I/O.
#ifndef IVYPOST_RESPONSE_WRITER_H_
#define IVYPOST_RESPONSE_WRITER_H_

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config.h"
#include "streaming/pipe.h"

namespace ivypost {

/// The final answer to a client's request.
struct Answer {
  /// The HTTP status.
  unsigned status = 502;
  /// The body, if it is here complete.
  std::string body;
  /// The value of Content-Type.
  std::string contentType = "text/plain";
  /// Microseconds after which the client may come again; 0: no advice.
  Micros retryAfter = 0;
  /// The body if it comes in pieces, in place of `body`.
  std::shared_ptr<streaming::Pipe> stream;
  /// Bytes of the body that comes in pieces; none: unknown.
  std::optional<std::uint64_t> length;
};

/// A response up to its body, and what it says about how the body ends.
struct ResponseHead {
  /// Status line and headers with the empty line behind them.
  std::string text;
  /// The body follows in chunks (RFC 9112, 7.1).
  bool isChunked = false;
  /// The connection ends with the body.
  bool closesConnection = false;
};

/// The head of an answer. `httpVersion`: of the request, as 10 or 11; a body of unknown length ends the
/// connection of a client that knows no chunks. `closesConnection`: the connection is not kept after it.
[[nodiscard]] ResponseHead formatResponseHead(const Answer& answer, unsigned httpVersion,
                                              bool closesConnection);

/// All of an answer that is the last of its connection, when the process ends. It always states Retry-After.
[[nodiscard]] std::string formatLastResponse(const Answer& answer);

/// An answer of one line of text; a line end is added.
[[nodiscard]] Answer textAnswer(unsigned status, std::string_view line);

/// The answer to a request whose body could not be read: 413 where it was too large, else 400.
[[nodiscard]] Answer answerToBodyError(const boost::system::error_code& error);

}  // namespace ivypost

#endif  // IVYPOST_RESPONSE_WRITER_H_
