// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A body for Boost.Beast's parsers that gathers what has come in a string, from which pieces may be taken out
// while the rest is on its way. Unlike Beast's own string body it reserves nothing by the length that a head
// states.
#ifndef IVYPOST_STREAMING_PIECES_BODY_H_
#define IVYPOST_STREAMING_PIECES_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace ivypost::streaming {

struct PiecesBody {
  using value_type = std::string;

  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*head*/, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer one = *it;
        body_.append(static_cast<const char*>(one.data()), one.size());
        size += one.size();
      }
      return size;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_PIECES_BODY_H_
