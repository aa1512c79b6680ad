// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMIN_ADMIN_SERVER_H_
#define IVYPOST_ADMIN_ADMIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "admin/call.h"

namespace ivypost::admin {

/// The HTTP/1.1 server of the operators' admin API; one call per connection. It is separate from the server
/// for clients and has its own small connection limit, so that it answers while client connections are at
/// their limit. Not thread-safe: all calls are made on the event loop.
class AdminServer {
 public:
  /// Sends the answer to one call. Does nothing if called again, or if the connection has closed or the
  /// server has been destroyed.
  using Answer = std::function<void(const Reply&)>;
  /// Handles a call and invokes the Answer, at once or later, from the event loop.
  using Handler = std::function<void(const Call&, Answer)>;
  /// The most simultaneous connections. Small, since there are few operators and descriptors are needed for
  /// clients. At the limit the oldest unanswered connection is closed for the next one.
  static constexpr std::size_t kMaxConnections = 24;

  /// Starts to listen. `handler` is called from the event loop. Throws boost::system::system_error if the
  /// address can't be used. `io` must outlive the server.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Handler handler);
  AdminServer(const AdminServer&) = delete;
  AdminServer(AdminServer&&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  AdminServer& operator=(AdminServer&&) = delete;
  /// Stops listening. Pending calls get no answer.
  ~AdminServer();

  /// The port on which the server listens.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  /// The number of open connections.
  [[nodiscard]] std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;

  void accept();
  void admit(boost::asio::ip::tcp::socket socket);
  void evictSession();

  boost::asio::io_context& io_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_;
  // Oldest first, at most kMaxConnections. Shared with the sessions' asynchronous operations, which may
  // outlive their entries here.
  std::list<std::shared_ptr<Session>> sessions_;
};

}  // namespace ivypost::admin

#endif  // IVYPOST_ADMIN_ADMIN_SERVER_H_
