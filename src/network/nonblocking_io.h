// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Reading and writing of sockets that don't block, where calls fail or come short for a moment. Asio takes a
// short count of send() for a full buffer and waits for the next edge of epoll, which doesn't come while the
// buffer has room; and it hands on errors that say nothing of the connection.
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

/// Calls of one write or read in one turn of the loop: a kernel that takes a byte at a time must not hold the
/// others up.
constexpr int kMaxCalls = 64;
/// While the system is short of memory, the same call is made again after this.
constexpr std::chrono::milliseconds kShortagePause{5};

/// Whether the system is short of memory for a moment (recv(2), send(2)): the connection stands, and nothing
/// was done.
[[nodiscard]] inline bool isShortage(const error_code& error) {
  return error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}

/// Whether nothing was done, and the same call may be made again.
[[nodiscard]] inline bool isTransient(const error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::interrupted ||
         isShortage(error);
}

/// Reads once; the bytes read. `error`: as Socket::receive() tells, but for a signal that came: then it reads
/// again, kMaxCalls times at the most. `flags`: of recv(2).
template <class Buffers>
std::size_t receiveSome(tcp::socket& socket, const Buffers& buffers, error_code& error, int flags = 0) {
  std::size_t size = socket.receive(buffers, flags, error);
  for (int calls = 1; error == boost::asio::error::interrupted && calls < kMaxCalls; ++calls)
    size = socket.receive(buffers, flags, error);
  return size;
}

/// Writes until all is written or the kernel says that it takes no more; the bytes it took. `error`: none if
/// and only if that was all, and would_block also where kMaxCalls have been made.
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

/// Calls back with no error when the call that failed with the transient `error` can be made again: when the
/// socket is ready, or after kShortagePause where it is ready already; with another error when the wait was
/// cancelled. `handler` keeps the socket alive; it is called from the event loop, never from within.
template <class Handler>
void waitToRetry(tcp::socket& socket, tcp::socket::wait_type type, const error_code& error, Handler handler) {
  if (!isShortage(error)) return socket.async_wait(type, std::move(handler));
  auto timer = std::make_shared<boost::asio::steady_timer>(socket.get_executor(), kShortagePause);
  timer->async_wait(
      [timer, handler = std::move(handler)](const error_code&) mutable { handler(error_code{}); });
}

/// Writes all of a text, which has to stay as it is until `done` is called with what went wrong, if anything;
/// from within, where the kernel takes all of it at once. `done` keeps the socket alive.
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
