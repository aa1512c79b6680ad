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

/// Bytes of a body that are read at once while it streams.
constexpr std::size_t kReadOfStream = 16UL * 1024;

/// Writes a message whose body comes in pieces: the head, then what a pipe holds, in chunks (RFC 9112, 7.1)
/// or as it is. Copies one piece at a time, so that its memory is bounded. Doesn't wait; the caller does,
/// between steps.
class StreamWriter {
 public:
  /// What a step came to.
  enum class Step {
    Blocked,  ///< the socket takes no more now, or others are to have their turn: again when it can be
              ///< written
    Starved,  ///< the pipe is empty: again when it has more
    Failed,   ///< the rest will not come; all that came before has been written
    Broken,   ///< the connection is broken
    Done,     ///< all of it has been written
  };

  /// Begins a message with this head; `chunked`: its body goes in chunks. What was left of another is
  /// dropped.
  void begin(std::string head, bool chunked) {
    text_ = std::move(head);
    at_ = 0;
    chunked_ = chunked;
    lastChunk_ = false;
  }

  /// Writes as much as the socket takes and one turn of the event loop allows. The socket must not block.
  [[nodiscard]] Step step(boost::asio::ip::tcp::socket& socket, streaming::Pipe& pipe) {
    std::size_t inTurn = 0;
    for (;;) {
      if (at_ == text_.size()) {
        text_.clear();
        at_ = 0;
        if (!next(pipe)) {
          if (pipe.hasFailed()) return Step::Failed;
          return pipe.isComplete() ? Step::Done : Step::Starved;
        }
      }
      const std::size_t sent =
          network::writeSome(socket, boost::asio::buffer(text_.data() + at_, text_.size() - at_), blocked_);
      if (blocked_ && !network::isTransient(blocked_)) return Step::Broken;
      at_ += sent;
      inTurn += sent;
      if (blocked_ || inTurn > kPerTurn) return Step::Blocked;
    }
  }

  /// Calls `handler` back with an error code when a step that was Blocked may go on.
  template <class Handler>
  void wait(boost::asio::ip::tcp::socket& socket, Handler handler) {
    network::waitToRetry(socket, boost::asio::ip::tcp::socket::wait_write, blocked_, std::move(handler));
  }

 private:
  // Copied out of the pipe at once, and written in one turn of the loop at the most.
  static constexpr std::size_t kPiece = 16UL * 1024;
  static constexpr std::size_t kPerTurn = 256UL * 1024;

  bool next(streaming::Pipe& pipe) {
    const std::string_view piece = pipe.front().substr(0, kPiece);
    if (piece.empty()) {
      if (!chunked_ || !pipe.isComplete() || std::exchange(lastChunk_, true)) return false;
      text_ = "0\r\n\r\n";
      return true;
    }
    if (chunked_) {
      std::array<char, 16> size{};
      auto* const end = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16).ptr;
      text_.append(size.data(), end).append("\r\n").append(piece).append("\r\n");
    } else {
      text_.append(piece);
    }
    pipe.pop(piece.size());
    return true;
  }

  std::string text_;
  std::size_t at_ = 0;  // what stands before has been written
  bool chunked_ = false, lastChunk_ = false;
  boost::system::error_code blocked_;  // what ended the last write
};

}  // namespace ivypost

#endif  // IVYPOST_STREAM_WRITER_H_
