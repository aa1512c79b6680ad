// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The operators' second address on sockets: HTTP/1.1, one call to a connection. It shares nothing with the
// clients' door and holds few connections of its own, so that it is answered when the door is full.
#ifndef IVYPOST_ADMIN_ADMIN_SERVER_H_
#define IVYPOST_ADMIN_ADMIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "admin/call.h"

namespace ivypost::admin {

class AdminServer {
 public:
  // Sends the answer of one call; the second time, or when the caller has gone, it does nothing.
  using Answer = std::function<void(const Reply&)>;
  // Answers at once or later, from the event loop.
  using Handler = std::function<void(const Call&, Answer)>;
  // Connections held at once. The one that has been without a whole call for longest gives way to the next.
  static constexpr std::size_t kMaxConnections = 24;

  // Listens at once. Throws boost::system::system_error when it can't. `handler` is called from the event
  // loop.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Handler handler);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  ~AdminServer();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;

  void accept();
  void admit(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::list<std::shared_ptr<Session>> sessions_;  // the oldest first
};

}  // namespace ivypost::admin

#endif  // IVYPOST_ADMIN_ADMIN_SERVER_H_
