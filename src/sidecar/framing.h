// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Unambiguous message framing, and the size limits of messages.
#ifndef IVYPOST_FRAMING_H_
#define IVYPOST_FRAMING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "streaming/body_buffering.h"

namespace ivypost {

/// Bytes. Bodies up to this size are always read completely before they are forwarded; a larger answer is
/// streamed, a larger request body is streamed if the memory budget does not allow buffering it.
constexpr std::size_t kStreamingThreshold = streaming::BodyBuffering::kStreamingThreshold;
/// The largest body in bytes that the platform's protocol allows, of requests and answers.
constexpr std::size_t kMaxBody = 32UL * 1024 * 1024;
/// The largest start line with headers in bytes, of requests and answers. This limit is the sidecar's own.
constexpr std::uint32_t kMaxHeader = 16 * 1024;

/// Converts a Boost string view to the standard library's; refers to the same bytes.
[[nodiscard]] inline std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Whether a head has no framing header, one Content-Length with one number, or `Transfer-Encoding: chunked`
/// alone (RFC 9112, 6.1 and 6.3).
///
/// Protects against request smuggling and ambiguous lengths: Boost.Beast 1.74 accepts repeated equal lengths,
/// and any coding other than chunked together with a length.
[[nodiscard]] inline bool hasUnambiguousFraming(const boost::beast::http::fields& fields) {
  using boost::beast::http::field;
  const auto lengths = fields.count(field::content_length);
  const auto codings = fields.count(field::transfer_encoding);
  if (lengths + codings == 0) return true;
  if (lengths + codings > 1) return false;
  return lengths == 1 ? fields[field::content_length].find(',') == boost::beast::string_view::npos
                      : boost::beast::iequals(fields[field::transfer_encoding], "chunked");
}

}  // namespace ivypost

#endif  // IVYPOST_FRAMING_H_
