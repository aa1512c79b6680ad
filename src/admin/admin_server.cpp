// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admin/admin_server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "network/nonblocking_io.h"

namespace ivypost::admin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;
using std::chrono::milliseconds;

constexpr std::uint32_t kMaxHeader = 8 * 1024;
// Calls need no body. A body of up to this size is read and discarded.
constexpr std::size_t kMaxBody = 16UL * 1024;
// An unanswered connection is closed after this period, if it was not evicted before.
constexpr milliseconds kCallTimeout{10'000};
// After the answer, bytes from the caller are read and discarded for this period: closing at once could reset
// the connection before the caller has read the answer.
constexpr milliseconds kLingerTimeout{200};
// The retry interval while no connection can be accepted, for example since descriptors have run out.
constexpr milliseconds kAcceptPause{10};
constexpr std::size_t kReadSize = 4096;

std::string serialize(const Reply& reply) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(reply.status));
  return "HTTP/1.1 " + std::to_string(reply.status) + " " + std::string(reason) +
         "\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: " +
         std::to_string(reply.text.size() + 1) + "\r\n\r\n" + reply.text + "\n";
}

Reply replyTo(const error_code& error) {
  if (error == http::error::header_limit)
    return {static_cast<unsigned>(http::status::request_header_fields_too_large), "header over 8 KiB"};
  if (error == http::error::body_limit)
    return {static_cast<unsigned>(http::status::payload_too_large), "body over 16 KiB"};
  return {static_cast<unsigned>(http::status::bad_request), "malformed HTTP: " + error.message()};
}

}  // namespace

// One connection with one call: reads the call, passes it to the handler, writes the answer, and discards
// further bytes until it closes. The client side of such a connection is in discovery
// (membership/platform.cpp).
class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(AdminServer& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  void start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    parser_.header_limit(kMaxHeader);
    parser_.body_limit(kMaxBody);
    parser_.eager(true);
    closeAfter(kCallTimeout);
    readAvailable();
  }

  [[nodiscard]] bool isAnswered() const { return isAnswered_; }

  // Detaches the session from its server, after which it makes no callbacks.
  void detach() noexcept { owner_ = nullptr; }

  void close() {
    detach();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void finish() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    owner_->sessions_.remove(self);
    close();
  }

  void closeAfter(milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
      if (!cancelled && self->timer_.expiry() <= std::chrono::steady_clock::now()) self->finish();
    });
  }

  // Reads at once, without waiting for readiness: the complete call has usually arrived with the connection.
  void readAvailable() {
    for (;;) {
      error_code error;
      buffer_.commit(network::receiveSome(socket_, buffer_.prepare(kReadSize), error));
      if (network::isTransient(error)) return waitToRead(error);
      if (error) return finish();
      if (isAnswered_) {
        buffer_.clear();
        return waitToRead({});
      }
      error = parseBuffer();
      if (error || parser_.is_done()) return handleCall(error);
    }
  }

  // Parses the received bytes. Returns no error if the call is complete or more of it must be received.
  error_code parseBuffer() {
    error_code error;
    while (!error && !parser_.is_done() && buffer_.size() > 0)
      buffer_.consume(parser_.put(buffer_.data(), error));
    return error == http::error::need_more ? error_code() : error;
  }

  // `error`: the transient error of the last read; no error: the read succeeded.
  void waitToRead(const error_code& error) {
    network::waitToRetry(socket_, tcp::socket::wait_read, error,
                         [self = shared_from_this()](const error_code& failed) {
                           if (self->owner_ == nullptr) return;
                           if (failed) return self->finish();
                           self->readAvailable();
                         });
  }

  void handleCall(const error_code& error) {
    if (error) return send(replyTo(error));
    const auto& request = parser_.get();
    const auto method = request.method_string();
    const auto target = request.target();
    const auto routed = route({method.data(), method.size()}, {target.data(), target.size()});
    if (const auto* const rejection = std::get_if<Reply>(&routed)) return send(*rejection);
    owner_->handler_(std::get<Call>(routed),
                     [self = shared_from_this()](const Reply& reply) { self->send(reply); });
  }

  void send(const Reply& reply) {
    if (owner_ == nullptr || isAnswered_) return;
    isAnswered_ = true;
    text_ = serialize(reply);
    buffer_.clear();
    closeAfter(kLingerTimeout);
    network::writeAll(socket_, text_, [self = shared_from_this()](const error_code& failed) {
      if (self->owner_ == nullptr) return;
      if (failed) return self->finish();
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->waitToRead({});
    });
  }

  AdminServer* owner_;  // null once the session is closed or the server is destroyed
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  std::string text_;  // the answer, valid while it is being written
  bool isAnswered_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& address, Handler handler)
    : io_(io), handler_(std::move(handler)), acceptor_(io), acceptTimer_(io) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  // Without this option Asio skips a connection that was aborted in the queue and waits for the next one.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
}

AdminServer::~AdminServer() {
  for (const auto& session : sessions_) session->detach();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      admit(std::move(socket));
      return accept();
    }
    // Prevents a busy loop while descriptors are exhausted.
    acceptTimer_.expires_after(kAcceptPause);
    acceptTimer_.async_wait([this](const error_code& cancelled) {
      if (!cancelled) accept();
    });
  });
}

void AdminServer::admit(tcp::socket socket) {
  if (sessions_.size() >= kMaxConnections) evictSession();
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.push_back(session);
  session->start();  // the session may finish within the call
}

// Closes the oldest connection that has not been answered; if all have been, the oldest one.
void AdminServer::evictSession() {
  auto oldest = std::find_if(sessions_.begin(), sessions_.end(),
                             [](const auto& session) { return !session->isAnswered(); });
  if (oldest == sessions_.end()) oldest = sessions_.begin();
  const auto evicted = *oldest;
  sessions_.erase(oldest);
  evicted->close();
}

}  // namespace ivypost::admin
