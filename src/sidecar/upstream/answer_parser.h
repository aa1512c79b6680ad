// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Reads one answer after the other from the bytes of a connection, and says what each proves. No I/O and no
/// clock.
#ifndef IVYPOST_UPSTREAM_ANSWER_PARSER_H_
#define IVYPOST_UPSTREAM_ANSWER_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ivypost/balancer.h"
#include "streaming/pieces_body.h"

namespace ivypost {

/// The parser of one connection. begin() comes first, once an answer.
///
/// Bounds: kMaxHeader bytes of a head, kMaxBody of a body, kMaxInformational answers ahead of the final one,
/// and of bytes that it can't take yet what hasTooMuchUnread() says.
class AnswerParser {
 public:
  /// So many informational answers (RFC 9110, 15.2) may come ahead of one: none that is known sends more.
  static constexpr int kMaxInformational = 8;

  /// Begins with the next answer. Bytes that are there already are a part of it.
  void begin();

  /// Where `size` bytes can be read to.
  [[nodiscard]] boost::asio::mutable_buffer prepare(std::size_t size) { return buffer_.prepare(size); }
  /// So many bytes have been read there.
  void commit(std::size_t size) { buffer_.commit(size); }
  /// Reads on through what has come.
  /// \return false if no answer can follow from it: it is malformed, over a bound, has a length that can be
  ///     read in two ways, or is a switch of protocols, which nobody has asked for.
  [[nodiscard]] bool parse();

  /// Whether the end of the stream is the end of the answer.
  ///
  /// An answer with neither a length nor chunks is whole when its sender has ended the connection, whether or
  /// not it has announced that (RFC 9112, 6.3). The end of the stream alone counts: a reset is no end. Where
  /// an upstream's process dies in the middle, its kernel may end the stream as if it were whole; nothing on
  /// the wire tells the two apart.
  [[nodiscard]] bool endsWithConnection() const { return parser_->is_header_done() && parser_->need_eof(); }
  /// The stream has ended. Only if endsWithConnection().
  /// \return false if the answer is not whole by that.
  [[nodiscard]] bool end();

  /// Whether the head of the final answer has come.
  [[nodiscard]] bool hasHead() const { return parser_->is_header_done(); }
  /// Whether the answer has come to its end.
  [[nodiscard]] bool isComplete() const { return parser_->is_done(); }
  /// Whether more bytes wait than the head of a chunk may have.
  [[nodiscard]] bool hasTooMuchUnread() const;
  /// Whether the connection may carry another request: both sides keep it, and nothing came behind the
  /// answer.
  [[nodiscard]] bool keepsConnection() const { return parser_->keep_alive() && buffer_.size() == 0; }

  /// What an answer with this head proves of an attempt whose last byte has gone out.
  ///
  /// 200 is Ok. A 503 or 504 that says `X-Never-Ran: 1` is Full: the request never ran and can go elsewhere;
  /// a bare one promises nothing, and is an Error as all others.
  [[nodiscard]] balancer::Outcome outcome() const;
  /// In bytes; none: it comes in chunks, or ends with its connection.
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  /// What has come of the body and was not taken out. The caller may take from it.
  [[nodiscard]] std::string& body() { return parser_->get().body(); }
  /// Empty if the answer names none. Valid until the next call that is not const.
  [[nodiscard]] std::string_view contentType() const;
  /// The header with the load report, as received; as contentType().
  [[nodiscard]] std::string_view loadReport() const;

 private:
  using Parser = boost::beast::http::response_parser<streaming::PiecesBody>;

  void beginHead();
  [[nodiscard]] bool acceptHead();

  boost::beast::flat_buffer buffer_;  // what was read and not parsed yet
  std::optional<Parser> parser_;      // none: before the first begin()
  int informational_ = 0;             // answers ahead of the final one so far
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_ANSWER_PARSER_H_
