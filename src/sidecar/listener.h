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

/// Accepts client connections on the listening socket, one after the other, while the connection limit and
/// the system allow it. Pauses otherwise: connections wait in the kernel's queue then.
class Listener {
 public:
  /// What the listener asks of its owner, from within the event loop.
  struct Callbacks {
    /// Closes one client connection that may be evicted; false if there is none.
    std::function<bool()> evictConnection;
    /// Takes an accepted connection over. It counts as taken, also where the listener was stopped meanwhile.
    std::function<void(boost::asio::ip::tcp::socket)> onAccepted;
  };

  /// Listens on the configuration's address, or takes its inherited socket over; accepts from start() on.
  /// Throws boost::system::system_error when it cannot listen. `io` and `limiter` have to outlive it.
  Listener(boost::asio::io_context& io, const Config& config, const admission::ConnectionLimiter& limiter,
           Callbacks callbacks);

  /// Accepts from now on. Does nothing after stop().
  void start();
  /// Accepts what stands in the kernel's queue, unless another process accepts from it too, and closes the
  /// socket.
  void stop();
  /// A client connection was closed: a listener that waits for that goes on.
  void onCapacity();

  /// The port that it listens on. Throws boost::system::system_error after stop().
  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void accept();
  void onAccept(const boost::system::error_code& error, boost::asio::ip::tcp::socket socket);
  // Until a connection closes, or one may be evicted by the time that it has been silent or idle.
  void waitForEviction();
  void waitForCapacity();

  boost::asio::io_context& io_;
  const admission::ConnectionLimiter& limiter_;
  Callbacks callbacks_;
  const bool isInherited_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  bool isStarted_ = false;
  bool isAccepting_ = false;  // the next connection is waited for
  bool waitsForCapacity_ = false;
  int failuresInARow_ = 0;
};

}  // namespace ivypost

#endif  // IVYPOST_LISTENER_H_
