// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Whether a message's end can be read in one way only, and how large it may be.
#ifndef IVYPOST_FRAMING_H_
#define IVYPOST_FRAMING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ivypost {

/// Bytes. Bodies up to this are read whole before they go on; larger ones are relayed in pieces.
constexpr std::size_t kMaxWhole = 64UL * 1024;
/// Bytes of a body, by the platform's protocol; of requests and answers alike.
constexpr std::size_t kMaxBody = 32UL * 1024 * 1024;
/// Bytes of the start line and headers, by our own choice; of requests and answers alike.
constexpr std::uint32_t kMaxHeader = 16 * 1024;

/// The same bytes as the standard library has them.
[[nodiscard]] inline std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Whether a head states the length of its body in one way at the most: one Content-Length with one number,
/// or `Transfer-Encoding: chunked` alone (RFC 9112, 6.1 and 6.3).
///
/// Guards against requests hidden in others and lengths that can be read in two ways: Boost.Beast 1.74 takes
/// equal lengths more than once, and any coding but chunked in front of a length.
[[nodiscard]] inline bool plainFraming(const boost::beast::http::fields& fields) {
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
