// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The checks and rewrites that RFC 9110 (HTTP semantics) and RFC 9112 (HTTP/1.1) require of a server before
/// it forwards a request, for heads that Boost.Beast 1.74 has parsed. Protects the endpoints from request
/// smuggling: a request that two parsers can read differently must not reach them. No I/O.
#ifndef IVYPOST_REQUEST_PARSER_H_
#define IVYPOST_REQUEST_PARSER_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>

namespace ivypost {

/// A request line and its headers.
using RequestHead = boost::beast::http::request_header<>;

/// Why a request's head is rejected.
struct SyntaxError {
  /// The HTTP status of the answer.
  unsigned status = 400;
  /// One line for the client, without a line end; static text.
  const char* reason = "";
};

/// The first error of a head; none: the rest of the request may be read.
[[nodiscard]] std::optional<SyntaxError> findSyntaxError(const RequestHead& head);

/// Converts the target of a head without errors to origin-form. An absolute target's host replaces Host (RFC
/// 9112, 3.2.2).
void toOriginForm(RequestHead& head);

/// Whether the client waits for 100 (Continue) before it sends the body (RFC 9110, 10.1.1).
[[nodiscard]] bool expectsContinue(const RequestHead& head);

/// Removes the hop-by-hop headers, and those that Connection names (RFC 9110, 7.6.1), before a request is
/// forwarded.
void removeHopByHopHeaders(RequestHead& head);

/// The status for a start line that Beast rejected: 505 if it is well-formed and has another major version,
/// otherwise 400 (RFC 9110, 15.6.6). `text`: the bytes received so far.
[[nodiscard]] unsigned statusOfMalformedStartLine(std::string_view text);

}  // namespace ivypost

#endif  // IVYPOST_REQUEST_PARSER_H_
