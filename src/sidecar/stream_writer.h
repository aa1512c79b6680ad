// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAM_WRITER_H_
#define IVYPOST_STREAM_WRITER_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "network/nonblocking_io.h"
#include "streaming/pipe.h"

namespace ivypost {

/// Bytes that one read takes of a body that is streamed.
constexpr std::size_t kStreamReadSize = streaming::Pipe::kMaxPieceSize;

/// Writes a message with a streamed body: the head, then the contents of a pipe, in chunks (RFC 9112, 7.1) or
/// unchanged. Copies one piece at a time, and holds nothing after the message, so that its memory is bounded
/// by the head or by one piece of the pipe and kMaxChunkFraming. Does not block; the caller waits between
/// steps.
class StreamWriter {
 public:
  /// The most bytes that are added to a piece to make a chunk of it.
  static constexpr std::size_t kMaxChunkFraming = 32;

  /// The result of a step.
  enum class Step {
    Blocked,  ///< the socket accepts no more now, or the limit per turn is reached: call again when writable
    Starved,  ///< the pipe is empty: call again when it has data
    Failed,   ///< the body will not be completed; all that was in the pipe has been written
    Broken,   ///< the connection is broken
    Done,     ///< the complete message has been written
  };

  /// Begins a message with this head; `chunked`: its body is sent in chunks. Discards what is left of a
  /// previous message.
  void begin(std::string head, bool chunked) {
    text_ = std::move(head);
    writtenBytes_ = 0;
    isChunked_ = chunked;
    hasLastChunk_ = false;
  }

  /// Writes as much as the socket accepts and one turn of the event loop allows. The socket must be
  /// non-blocking.
  [[nodiscard]] Step step(boost::asio::ip::tcp::socket& socket, streaming::Pipe& pipe) {
    std::size_t writtenInTurn = 0;
    for (;;) {
      if (writtenBytes_ == text_.size()) {
        text_.clear();
        writtenBytes_ = 0;
        if (!nextPiece(pipe)) {
          text_ = {};
          if (pipe.hasFailed()) return Step::Failed;
          return pipe.isComplete() ? Step::Done : Step::Starved;
        }
      }
      const std::size_t sent = network::writeSome(
          socket, boost::asio::buffer(text_.data() + writtenBytes_, text_.size() - writtenBytes_),
          writeError_);
      if (writeError_ && !network::isTransient(writeError_)) return Step::Broken;
      writtenBytes_ += sent;
      writtenInTurn += sent;
      if (writeError_ || writtenInTurn > kMaxBytesPerTurn) return Step::Blocked;
    }
  }

  /// Calls `handler` with an error code when a step that returned Blocked can be repeated.
  template <class Handler>
  void wait(boost::asio::ip::tcp::socket& socket, Handler handler) {
    network::waitToRetry(socket, boost::asio::ip::tcp::socket::wait_write, writeError_, std::move(handler));
  }

 private:
  // Bytes after which a step ends its turn of the event loop.
  static constexpr std::size_t kMaxBytesPerTurn = 256UL * 1024;

  static constexpr std::size_t kMaxChunkSizeDigits = 16;

  bool nextPiece(streaming::Pipe& pipe) {
    const std::string_view piece = pipe.front().substr(0, pipe.pieceSize());
    if (piece.empty()) {
      if (!isChunked_ || !pipe.isComplete() || std::exchange(hasLastChunk_, true)) return false;
      text_ = "0\r\n\r\n";
      return true;
    }
    // A new string, since reserve() may double the capacity instead.
    if (text_.capacity() < piece.size() + kMaxChunkFraming) {
      text_ = {};
      text_.reserve(piece.size() + kMaxChunkFraming);
    }
    if (isChunked_) {
      std::array<char, kMaxChunkSizeDigits> size{};
      auto* const end = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16).ptr;
      text_.append(size.data(), end).append("\r\n").append(piece).append("\r\n");
    } else {
      text_.append(piece);
    }
    pipe.pop(piece.size());
    return true;
  }

  std::string text_;
  std::size_t writtenBytes_ = 0;  // bytes of text_ that have been written
  bool isChunked_ = false, hasLastChunk_ = false;
  boost::system::error_code writeError_;  // the result of the last write
};

}  // namespace ivypost

#endif  // IVYPOST_STREAM_WRITER_H_
