// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_PLATFORM_CONNECTION_H_
#define IVYPOST_DISCOVERY_PLATFORM_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/call_error.h"
#include "discovery/endpoint_address.h"

namespace ivypost::discovery {

/// One HTTP/1.1 connection to the platform's discovery. It carries call after call, one at a time, until one
/// of them fails, and is closed then. Carries out only; PlatformSource decides.
///
/// Held by a shared pointer, since its operations may end after its owner has let go of it: each of them
/// holds it too. The loop's thread alone uses it.
class PlatformConnection : public std::enable_shared_from_this<PlatformConnection> {
 public:
  /// What came of a call: one of the two, once for each call, unless the connection was closed before.
  struct Callbacks {
    /// The body of a response with the status 200. isOpen() says whether another call may follow.
    std::function<void(const std::string& body)> onResponse;
    /// The call came to nothing; the connection is closed.
    std::function<void(const CallError&)> onError;
  };

  /// Does nothing until the first call. `io` must outlive this object, and what `callbacks` refer to has to
  /// live until close() or abandon().
  PlatformConnection(boost::asio::io_context& io, Endpoint address, Callbacks callbacks);

  /// GET of this target (path and query), over a new connection for the first call. A response that is not
  /// complete after `timeout` is CallTimeout. No other call may be under way.
  void call(std::string_view target, std::chrono::milliseconds timeout);

  /// False before the first call, after a failure, and after a response that ends the connection.
  [[nodiscard]] bool isOpen() const { return socket_.is_open(); }
  /// Whether the next call may go over it: nothing has come behind the last response, which would be read as
  /// that call's, and the peer has not closed it.
  [[nodiscard]] bool isReusable();

  /// Ends it. No callback is made any more.
  void close();
  /// The same for destructors: the timer of a call that is under way runs on, to no effect.
  void abandon() noexcept;

 private:
  void startTimer(std::chrono::milliseconds timeout);
  void connect();
  void write();
  void read();
  void onRead(const boost::system::error_code& error);
  void fail(const CallError& error);

  Endpoint address_;
  Callbacks callbacks_;
  bool isClosed_ = false;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  bool isCallUnderWay_ = false;
  boost::beast::flat_buffer buffer_;
  std::string request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_PLATFORM_CONNECTION_H_
