// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/platform_connection.h"

#include <boost/beast/http/read.hpp>
#include <utility>

#include "network/nonblocking_io.h"

namespace ivypost::discovery {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Limit for the body of a response in bytes: 100,000 entries of 166 bytes each (docs/CAPACITY.md). A longer
// body is an error.
constexpr std::size_t kMaxBody = 16UL * 1024 * 1024;

}  // namespace

PlatformConnection::PlatformConnection(asio::io_context& io, Endpoint address, Callbacks callbacks)
    : address_(std::move(address)), callbacks_(std::move(callbacks)), socket_(io), timer_(io) {}

void PlatformConnection::call(std::string_view target, std::chrono::milliseconds timeout) {
  request_.assign("GET ").append(target).append(" HTTP/1.1\r\nHost: discovery\r\n\r\n");
  isCallInProgress_ = true;
  startTimer(timeout);
  if (socket_.is_open()) return write();
  connect();
}

bool PlatformConnection::isReusable() {
  if (!socket_.is_open() || buffer_.size() > 0) return false;
  char byte = 0;
  error_code error;
  socket_.non_blocking(true, error);
  if (!error) network::receiveSome(socket_, asio::buffer(&byte, 1), error, tcp::socket::message_peek);
  return error == asio::error::would_block;
}

void PlatformConnection::close() {
  abandon();
  timer_.cancel();
}

void PlatformConnection::abandon() noexcept {
  isClosed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

void PlatformConnection::startTimer(std::chrono::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
    // The handler may already have been queued when the response was read or the next call was made.
    if (cancelled || !self->isCallInProgress_ || self->timer_.expiry() > std::chrono::steady_clock::now())
      return;
    self->fail(CallTimeout{});
  });
}

void PlatformConnection::connect() {
  socket_.async_connect(address_, [self = shared_from_this()](const error_code& error) {
    if (self->isClosed_) return;
    if (error) return self->fail(TransportError{error});
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->socket_.non_blocking(true, ignored);
    self->write();
  });
}

void PlatformConnection::write() {
  network::writeAll(socket_, request_, [self = shared_from_this()](const error_code& error) {
    if (self->isClosed_) return;
    if (error) return self->fail(TransportError{error});
    self->read();
  });
}

void PlatformConnection::read() {
  parser_.emplace();
  parser_->body_limit(kMaxBody);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->onRead(error); });
}

void PlatformConnection::onRead(const error_code& error) {
  if (isClosed_) return;
  if (error) return fail(TransportError{error});
  timer_.cancel();
  isCallInProgress_ = false;
  const auto& response = parser_->get();
  if (response.result() != http::status::ok) return fail(ErrorStatus{response.result_int()});
  if (!parser_->keep_alive()) close();
  callbacks_.onResponse(response.body());
}

void PlatformConnection::fail(const CallError& error) {
  if (isClosed_) return;
  close();
  callbacks_.onError(error);
}

}  // namespace ivypost::discovery
