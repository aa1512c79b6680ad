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

/// A body type for Boost.Beast's parsers (concept Body) that collects received bytes in a string, from which
/// the caller may remove bytes while the rest is being received. Unlike Beast's string_body, it does not
/// reserve memory for the length that the head states.
struct PiecesBody {
  // The concepts of Beast require these names.
  // NOLINTBEGIN(readability-identifier-naming)

  /// The body of a message: the bytes that have been received and not removed.
  using value_type = std::string;

  /// Appends received bytes to a message's body (Beast's concept BodyReader).
  class reader {
   public:
    /// `body` must outlive the reader; in a parser it does.
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body) : body_(body) {}

    /// Called before the first bytes. Reserves no memory, since the stated length is not trusted.
    static void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) {
      error = {};
    }

    /// Appends all buffers to the body and returns their total size. Never sets an error.
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

    /// Called after the last bytes.
    static void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_PIECES_BODY_H_
