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

/// The operators' second address on sockets: HTTP/1.1, one call to a connection. It shares nothing with the
/// connections of clients and has few of its own, so that it answers when theirs are at their limit. All on
/// the event loop's thread.
class AdminServer {
 public:
  /// Sends the answer of one call; the second time, or when the caller or the server has gone, it does
  /// nothing.
  using Answer = std::function<void(const Reply&)>;
  /// Takes a call, and answers it at once or later, from the event loop.
  using Handler = std::function<void(const Call&, Answer)>;
  /// Connections at once: operators are few, and descriptors are for clients. At the limit the one that has
  /// been without a complete call for longest is closed for the next.
  static constexpr std::size_t kMaxConnections = 24;

  /// Listens at once. Throws boost::system::system_error when it can't. `handler` is called from the event
  /// loop.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Handler handler);
  AdminServer(const AdminServer&) = delete;
  AdminServer(AdminServer&&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  AdminServer& operator=(AdminServer&&) = delete;
  /// Stops listening; calls that wait for their answer get none.
  ~AdminServer();

  /// The port that it listens on.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  /// Connections that are open.
  [[nodiscard]] std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;

  void accept();
  void admit(boost::asio::ip::tcp::socket socket);
  void evictOne();

  boost::asio::io_context& io_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_;
  // The oldest first, kMaxConnections at most. Shared with their asynchronous operations, which outlive them
  // here.
  std::list<std::shared_ptr<Session>> sessions_;
};

}  // namespace ivypost::admin

#endif  // IVYPOST_ADMIN_ADMIN_SERVER_H_
