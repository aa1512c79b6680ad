// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Parses the consecutive answers on a connection and derives the outcome of each. Performs no I/O and reads
/// no clock.
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

/// The parser of one connection. begin() must be called before each answer.
///
/// Limits: kMaxHeader bytes for a head, kMaxBody bytes for a body, kMaxInformational informational answers
/// before the final one. The caller limits the bytes that are buffered and not parsed yet with
/// hasTooMuchUnparsed().
class AnswerParser {
 public:
  /// The most informational answers (RFC 9110, 15.2) that are accepted before a final one. No known server
  /// sends more.
  static constexpr int kMaxInformational = 8;
  /// The bytes of an answer that its fingerprint covers, from the first one on.
  static constexpr std::size_t kFingerprintSize = 1024;

  /// Prepares for the next answer. Bytes that are already buffered belong to that answer.
  void begin();

  /// The bytes of memory that a received answer takes.
  struct Memory {
    std::size_t bufferAndHead = 0;  ///< what is not parsed yet, and the parsed head
    std::size_t body = 0;           ///< what has been parsed of the body
  };
  /// The memory that this answer takes after another `size` bytes have been prepared and parsed.
  [[nodiscard]] Memory memoryFor(std::size_t size) const;
  /// Returns a writable buffer of `size` bytes; valid until the next call that is not const. Takes no more
  /// memory than memoryFor(size), and the parsing of these bytes neither.
  [[nodiscard]] boost::asio::mutable_buffer prepare(std::size_t size);
  /// Frees the memory of the last answer, except for a small buffer. begin() must be called next.
  void clear();
  /// From now on the caller removes the body's bytes after each parse(), so that memory is needed for one
  /// read and not for the stated length. Requires hasHead(); holds until the next answer.
  void beginRemovingBody();
  /// Frees the parsed head's fields and what the buffer holds beyond the unparsed bytes. contentType() and
  /// loadReport() are empty from now on; the outcome and the framing stay. Requires hasHead().
  void dropHead();
  /// Appends the first `size` bytes of the prepared buffer to the bytes to be parsed.
  void commit(std::size_t size) { buffer_.commit(size); }
  /// Parses the buffered bytes.
  /// \return false if the answer is invalid: malformed, over a limit, ambiguous in its length, or a protocol
  ///     switch, which the sidecar never requests.
  [[nodiscard]] bool parse();

  /// Whether the answer is delimited by the end of the stream.
  ///
  /// An answer with neither a length nor chunks is complete when its sender closes the connection, whether or
  /// not it announced that (RFC 9112, 6.3). A connection reset does not complete it. If the upstream's
  /// process dies while it sends the answer, its kernel may close the stream in the regular way; the
  /// truncated answer can't be distinguished from a complete one then.
  [[nodiscard]] bool endsWithConnection() const { return parser_->is_header_done() && parser_->need_eof(); }
  /// Whether the head of an answer of unknown length tells how its end is marked: by chunks, or by a close
  /// that it announces. Otherwise its length may have been lost on the way, and the connection may never end.
  /// Requires hasHead().
  [[nodiscard]] bool announcesEnd() const { return parser_->chunked() || !parser_->get().keep_alive(); }
  /// Signals the end of the stream. Requires endsWithConnection().
  /// \return false if the answer is still incomplete.
  [[nodiscard]] bool end();

  /// The bytes that are buffered and that parse() has not used, such as those behind a complete answer.
  [[nodiscard]] std::size_t unparsed() const { return buffer_.size(); }
  /// A hash of the first kFingerprintSize bytes of the final answer, as received. Two answers with different
  /// fingerprints are different; the opposite does not hold.
  [[nodiscard]] std::uint64_t fingerprint() const { return fingerprint_; }
  /// Whether the fingerprint will not change any more.
  [[nodiscard]] bool isFingerprintComplete() const {
    return isComplete() || fingerprintBytes_ == kFingerprintSize;
  }
  /// Whether the head of the final answer has been parsed.
  [[nodiscard]] bool hasHead() const { return parser_->is_header_done(); }
  /// Whether the answer has been parsed to its end.
  [[nodiscard]] bool isComplete() const { return parser_->is_done(); }
  /// Whether more than kMaxHeader bytes are buffered without being parsed, which is more than the header of a
  /// chunk may take.
  [[nodiscard]] bool hasTooMuchUnparsed() const;
  /// Whether the connection may be reused for another request: both sides keep it alive, and no bytes follow
  /// the answer.
  [[nodiscard]] bool keepsConnection() const { return parser_->keep_alive() && buffer_.size() == 0; }

  /// The outcome of a completely sent attempt that received this answer. Requires hasHead().
  ///
  /// 200 is Ok. A 503 or 504 with `X-Never-Ran: 1` is Full: the request never ran and can be sent to another
  /// upstream. A 503 or 504 without that header guarantees nothing; it is an Error, as any other status is.
  [[nodiscard]] balancer::Outcome outcome() const;
  /// The length of the body in bytes; none: the body is chunked, or delimited by the end of the stream.
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  /// The bytes of the body that have been received and not removed. The caller may remove bytes.
  [[nodiscard]] std::string& body() { return parser_->get().body(); }
  /// Read-only access to the same bytes.
  [[nodiscard]] const std::string& body() const { return parser_->get().body(); }
  /// The value of Content-Type; empty if the answer has none. Valid until the next call that is not const.
  [[nodiscard]] std::string_view contentType() const;
  /// The value of the header with the load report, unparsed; empty if the answer has none. Valid until the
  /// next call that is not const.
  [[nodiscard]] std::string_view loadReport() const;

 private:
  using Parser = boost::beast::http::response_parser<streaming::PiecesBody>;

  void beginHead();
  [[nodiscard]] bool acceptHead();
  void extendFingerprint(std::string_view bytes);
  [[nodiscard]] std::size_t bufferCapacityFor(std::size_t size) const;
  [[nodiscard]] std::size_t bodyCapacityFor(std::size_t size) const;

  boost::beast::flat_buffer buffer_;  // bytes that are not parsed yet
  std::optional<Parser> parser_;      // empty before the first begin()
  bool removesBody_ = false;          // the caller removes the body's bytes as they are parsed
  int informational_ = 0;             // informational answers before the final one so far
  std::size_t headCost_ = 0;          // bytes of memory that the parsed head takes
  std::uint64_t fingerprint_ = 0;
  std::size_t fingerprintBytes_ = 0;  // covered by fingerprint_ so far
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_ANSWER_PARSER_H_
