// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What RFC 9110 (HTTP semantics) and RFC 9112 (HTTP/1.1) make a server refuse, or change before it goes on,
// in a request whose head Boost.Beast 1.74 has taken. Guards the nodes: what two parsers can read in two ways
// must not reach them. No I/O.
#ifndef IVYPOST_REQUEST_PARSER_H_
#define IVYPOST_REQUEST_PARSER_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>

namespace ivypost {

using RequestHead = boost::beast::http::request_header<>;

struct SyntaxError {
  unsigned status = 400;
  const char* reason = "";  // one line
};

// The first that is found; none: the request may be read on. Only the head is looked at.
std::optional<SyntaxError> findSyntaxError(const RequestHead& head);

// Brings the target of a flawless head to origin-form, with the host that an absolute one names (RFC
// 9112, 3.2.2).
void toOriginForm(RequestHead& head);

// Whether the client waits for 100 (Continue) before it sends the body (RFC 9110, 10.1.1).
bool expectsContinue(const RequestHead& head);

// Takes out what speaks of one connection only, and what Connection names (RFC 9110, 7.6.1), before a request
// goes on.
void dropHopByHop(RequestHead& head);

// The status for a start line that the parser refused: 505 for a well-formed one of another major version,
// else 400 (RFC 9110, 15.6.6). `text`: what was received, as far as it goes.
unsigned statusOfMalformedStartLine(std::string_view text);

}  // namespace ivypost

#endif  // IVYPOST_REQUEST_PARSER_H_
