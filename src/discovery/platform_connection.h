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

/// One HTTP/1.1 connection to the platform's discovery. It is used for one call after another until a call
/// fails, and is closed then. It does I/O only; PlatformSource makes the decisions.
///
/// Owned by shared pointers: each asynchronous operation holds one, since it may complete after the owner
/// has released the connection. Only the event loop's thread may use it.
class PlatformConnection : public std::enable_shared_from_this<PlatformConnection> {
 public:
  /// Receivers of a call's result: for each call exactly one of the two is called, or none if close() or
  /// abandon() is called first.
  struct Callbacks {
    /// The body of a response with status 200. isOpen() says whether another call may follow.
    std::function<void(const std::string& body)> onResponse;
    /// The call failed, and the connection is closed.
    std::function<void(const CallError&)> onError;
  };

  /// Connects only at the first call. `io` must outlive this object, and objects that `callbacks` refer to
  /// must live until close() or abandon().
  PlatformConnection(boost::asio::io_context& io, Endpoint address, Callbacks callbacks);

  /// Sends a GET request for this target (path and query); the first call opens the connection. If the
  /// response is not complete after `timeout`, the call fails with CallTimeout. No other call may be in
  /// progress.
  void call(std::string_view target, std::chrono::milliseconds timeout);

  /// False before the first call, after a failure, and after a response that closes the connection.
  [[nodiscard]] bool isOpen() const { return socket_.is_open(); }
  /// Whether the connection can be used for the next call: the peer has not closed it, and no bytes follow
  /// the last response (they would be read as the next call's response).
  [[nodiscard]] bool isReusable();

  /// Closes the connection. No callback is called afterwards.
  void close();
  /// Like close(), for use in destructors: the timer of a call in progress keeps running, without effect.
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
  bool isCallInProgress_ = false;
  boost::beast::flat_buffer buffer_;
  std::string request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_PLATFORM_CONNECTION_H_
