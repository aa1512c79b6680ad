// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// What RFC 9110 (HTTP semantics) and RFC 9112 (HTTP/1.1) have a server reject, or change before it forwards,
/// in a request whose head Boost.Beast 1.74 has parsed. Guards the endpoints: what two parsers can read in
/// two ways must not reach them. No I/O.
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

/// The first error of a head; none: the request may be read on.
[[nodiscard]] std::optional<SyntaxError> findSyntaxError(const RequestHead& head);

/// Brings the target of a head without errors to origin-form, with the host that an absolute one names (RFC
/// 9112, 3.2.2).
void toOriginForm(RequestHead& head);

/// Whether the client waits for 100 (Continue) before it sends the body (RFC 9110, 10.1.1).
[[nodiscard]] bool expectsContinue(const RequestHead& head);

/// Removes the headers that are of one connection only, and those that Connection names (RFC 9110, 7.6.1),
/// before a request is forwarded.
void dropHopByHop(RequestHead& head);

/// The status for a start line that Beast rejected: 505 for a well-formed one of another major version, else
/// 400 (RFC 9110, 15.6.6). `text`: what was received, as far as it goes.
[[nodiscard]] unsigned statusOfMalformedStartLine(std::string_view text);

}  // namespace ivypost

#endif  // IVYPOST_REQUEST_PARSER_H_
