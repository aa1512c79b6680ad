// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAMING_PIECES_BODY_H_
#define IVYPOST_STREAMING_PIECES_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace ivypost::streaming {

/// A body for Boost.Beast's parsers (its concept Body) that gathers what has come in a string, from which
/// pieces may be taken out while the rest is on its way. Unlike Beast's own string body it reserves nothing
/// by the length that a head states.
struct PiecesBody {
  // Beast's names.
  // NOLINTBEGIN(readability-identifier-naming)

  /// What a message holds: the bytes that have come and were not taken out.
  using value_type = std::string;

  /// Fills a message's body (Beast's concept BodyReader).
  class reader {
   public:
    /// `body` has to outlive the reader, as it does in a parser.
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body) : body_(body) {}

    /// Called ahead of the first bytes. The stated length is not trusted with memory.
    static void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) {
      error = {};
    }

    /// Appends all of the buffers; their size. Never an error.
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer = *it;
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }

    /// Called behind the last bytes.
    static void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_PIECES_BODY_H_
