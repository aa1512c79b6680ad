// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Reads and writes of nonblocking sockets that survive transient errors and short counts. Asio's own
// operations don't: after a short count of send() Asio assumes a full buffer and waits for the next edge of
// epoll, which doesn't come while the buffer has room; and Asio reports transient errors as if the connection
// had failed.
#ifndef IVYPOST_NETWORK_NONBLOCKING_IO_H_
#define IVYPOST_NETWORK_NONBLOCKING_IO_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string_view>
#include <utility>

namespace ivypost::network {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// The largest number of system calls for one read or write in one turn of the event loop: a kernel that
/// takes one byte per call must not block the other connections.
constexpr int kMaxCalls = 64;
/// The delay before repeating a call that failed because the system is short of memory.
constexpr std::chrono::milliseconds kShortagePause{5};

/// Whether the call failed because the system is short of memory (recv(2), send(2)). The connection stays
/// usable, and no bytes were transferred.
[[nodiscard]] inline bool isShortage(const error_code& error) {
  return error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}

/// Whether the call transferred no bytes and may be repeated.
[[nodiscard]] inline bool isTransient(const error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::interrupted ||
         isShortage(error);
}

/// Reads once and returns the number of bytes read. `error`: as set by tcp::socket::receive(). A read that a
/// signal interrupted is repeated, with at most kMaxCalls calls in all. `flags`: of recv(2).
template <class Buffers>
std::size_t receiveSome(tcp::socket& socket, const Buffers& buffers, error_code& error, int flags = 0) {
  std::size_t size = socket.receive(buffers, flags, error);
  for (int calls = 1; error == boost::asio::error::interrupted && calls < kMaxCalls; ++calls)
    size = socket.receive(buffers, flags, error);
  return size;
}

/// Writes until all bytes are written or a call fails, and returns the number of bytes written. `error`: none
/// if and only if all bytes were written; would_block also after kMaxCalls calls.
template <class Buffers>
std::size_t writeSome(tcp::socket& socket, const Buffers& buffers, error_code& error) {
  const std::size_t size = boost::asio::buffer_size(buffers);
  std::size_t sent = socket.write_some(buffers, error);
  if (!error && sent == size) return sent;
  boost::beast::buffers_suffix<Buffers> rest(buffers);
  rest.consume(sent);
  for (int calls = 1; !error || error == boost::asio::error::interrupted; ++calls) {
    if (calls == kMaxCalls) {
      error = boost::asio::error::would_block;
      break;
    }
    const std::size_t more = socket.write_some(rest, error);
    rest.consume(more);
    sent += more;
    if (!error && sent == size) break;
  }
  return sent;
}

/// Calls `handler` without an error when a call that failed with the transient `error` can be repeated: when
/// the socket is ready or, after a shortage of memory, when kShortagePause has passed, since the socket may
/// be ready already. Calls it with an error if the wait for the socket fails or is cancelled. `handler` must
/// keep the socket alive; it is called from the event loop, never from within this function.
template <class Handler>
void waitToRetry(tcp::socket& socket, tcp::socket::wait_type type, const error_code& error, Handler handler) {
  if (!isShortage(error)) return socket.async_wait(type, std::move(handler));
  auto timer = std::make_shared<boost::asio::steady_timer>(socket.get_executor(), kShortagePause);
  timer->async_wait(
      [timer, handler = std::move(handler)](const error_code&) mutable { handler(error_code{}); });
}

/// Writes all of a text, which must stay valid and unchanged until `done` is called with the error, if any.
/// `done` is called from within this function if the write completes or fails at once. `done` must keep the
/// socket alive.
template <class Done>
void writeAll(tcp::socket& socket, std::string_view text, Done done) {
  error_code error;
  text.remove_prefix(writeSome(socket, boost::asio::buffer(text.data(), text.size()), error));
  if (!isTransient(error)) return done(error);
  waitToRetry(socket, tcp::socket::wait_write, error,
              [&socket, text, done = std::move(done)](const error_code& failed) mutable {
                if (failed) return done(failed);
                writeAll(socket, text, std::move(done));
              });
}

}  // namespace ivypost::network

#endif  // IVYPOST_NETWORK_NONBLOCKING_IO_H_
