// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_LISTENER_H_
#define IVYPOST_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "admission/connection_limiter.h"
#include "config.h"

namespace ivypost {

/// Accepts client connections on the listening socket, one at a time, while the connection limit and the
/// system's resources allow it. Pauses otherwise; connections then wait in the kernel's accept queue.
class Listener {
 public:
  /// Callbacks to the owner, made from the event loop.
  struct Callbacks {
    /// Closes one client connection that may be evicted; false if there is none.
    std::function<bool()> evictConnection;
    /// Takes ownership of an accepted connection. Also called for a connection whose accept completes after
    /// pause() or close().
    std::function<void(boost::asio::ip::tcp::socket)> onAccepted;
    /// Rejects a connection beyond the limit, which was in the kernel's queue at close(): gives its client a
    /// final answer and closes it within the call.
    std::function<void(boost::asio::ip::tcp::socket)> onRejected;
  };

  /// Listens on the configured address, or uses the inherited listening socket; accepts from start() on.
  /// Throws boost::system::system_error if it cannot listen. `io` and `limiter` must outlive it.
  Listener(boost::asio::io_context& io, const Config& config, const admission::ConnectionLimiter& limiter,
           Callbacks callbacks);

  /// Starts accepting, also after pause(). Does nothing after close().
  void start();
  /// Stops accepting until start(). New connections wait in the kernel's queue, from which another process
  /// may accept them; one whose accept has completed is still served.
  void pause();
  /// Stops accepting for good: accepts the connections in the kernel's queue, unless another process accepts
  /// from it too, and closes the socket. Within the connection limit they are served, beyond it rejected:
  /// their requests may have been sent, and need an answer.
  void close();
  /// A client connection was closed: resumes accepting if the listener waits for that.
  void onCapacity();

  /// The listening port. Throws boost::system::system_error after close().
  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void accept();
  void onAccept(const boost::system::error_code& error, boost::asio::ip::tcp::socket socket);
  // Pauses until a connection closes, or one has been silent or idle for long enough to be evicted.
  void waitForEviction();
  void waitForCapacity();

  boost::asio::io_context& io_;
  const admission::ConnectionLimiter& limiter_;
  Callbacks callbacks_;
  const bool isInherited_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  bool isStarted_ = false;
  bool isAccepting_ = false;  // an asynchronous accept is pending
  bool waitsForCapacity_ = false;
  int failuresInARow_ = 0;
};

}  // namespace ivypost

#endif  // IVYPOST_LISTENER_H_
