// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/http_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace ivypost::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kMaxBody = 1024UL * 1024;

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& owner, tcp::socket socket, std::string tag)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_), tag_(std::move(tag)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  // Waits for the first byte of a request.
  void next() {
    exchange_.reset();
    if (buffer_.size() > 0) return read();
    if (owner_->idle_ > 0) {
      timer_.expires_after(std::chrono::microseconds(owner_->idle_));
      timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && self->timer_.expiry() <= SteadyClock::now()) self->close(false);
      });
    }
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr) return;
      self->timer_.cancel();
      if (error) return self->close(false);
      self->read();
    });
  }

  void write(std::string bytes, bool keepAlive) {
    if (owner_ == nullptr || !exchange_) return;
    exchange_.reset();
    out_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), keepAlive](error_code error, std::size_t) {
                        if (self->owner_ == nullptr) return;
                        if (error || !keepAlive) return self->close(false);
                        self->next();
                      });
  }

  void close(bool reset) {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    error_code ignored;
    if (reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    timer_.cancel();
    socket_.close(ignored);
    std::exchange(owner_, nullptr)->connections_.erase(self);
    const auto exchange = std::exchange(exchange_, nullptr);
    if (exchange && exchange->onClosed) exchange->onClosed();
  }

 private:
  void read() {
    const Micros firstByteAt = nowMicros();
    parser_.emplace();
    parser_->body_limit(kMaxBody);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this(), firstByteAt](error_code error, std::size_t) {
                       if (self->owner_ == nullptr) return;
                       if (error) return self->close(false);
                       auto exchange = std::make_shared<Exchange>();
                       exchange->request = self->parser_->release();
                       exchange->tag = self->tag_;
                       exchange->firstByteAt = firstByteAt;
                       exchange->wholeAt = nowMicros();
                       exchange->connection = self;
                       self->exchange_ = exchange;
                       self->watch();
                       self->owner_->handler_(std::move(exchange));
                     });
  }

  // Notices a connection that ends while its request is worked on.
  void watch() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr || !self->exchange_) return;
      char byte = 0;
      if (!error) self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
      if (error == asio::error::would_block) return self->watch();
      if (error) self->close(false);
    });
  }

  HttpServer* owner_;  // none once it is closed
  tcp::socket socket_;
  asio::steady_timer timer_;
  const std::string tag_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::shared_ptr<Exchange> exchange_;  // that is not answered yet
  std::string out_;
};

void HttpServer::Exchange::replyRaw(std::string bytes, bool keepAlive) {
  if (const auto open = connection.lock()) open->write(std::move(bytes), keepAlive);
}

void HttpServer::Exchange::reply(unsigned status, const std::string& body, const std::string& headers) {
  const http::status known = http::int_to_status(status);
  const auto reason = http::obsolete_reason(known);
  replyRaw("HTTP/1.1 " + std::to_string(status) + " " + std::string(reason.data(), reason.size()) +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body,
           request.keep_alive());
}

void HttpServer::Exchange::drop(bool reset) {
  if (const auto open = connection.lock()) open->close(reset);
}

std::string HttpServer::Exchange::header(const char* name) const {
  const auto value = request[name];
  return {value.data(), value.size()};
}

HttpServer::HttpServer(asio::io_context& io, Handler handler, Micros idle)
    : io_(io), handler_(std::move(handler)), idle_(idle) {}

// NOLINTNEXTLINE(bugprone-exception-escape): only want of memory can throw here, and may end the program.
HttpServer::~HttpServer() {
  stopListening();
  const auto connections = connections_;
  for (const auto& connection : connections) connection->close(false);
}

tcp::endpoint HttpServer::listen(const std::string& tag) {
  Door door;
  door.tag = tag;
  door.keeper = std::make_shared<tcp::socket>(io_, tcp::v4());
  door.keeper->set_option(tcp::socket::reuse_address(true));
  door.keeper->bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  door.address = door.keeper->local_endpoint();
  open(door);
  doors_.push_back(door);
  return door.address;
}

void HttpServer::open(Door& door) {
  door.acceptor = std::make_shared<tcp::acceptor>(io_);
  door.acceptor->open(door.address.protocol());
  door.acceptor->set_option(tcp::acceptor::reuse_address(true));
  door.acceptor->bind(door.address);
  door.acceptor->listen();
  accept(door.tag, door.acceptor);
}

void HttpServer::accept(const std::string& tag, const std::shared_ptr<tcp::acceptor>& acceptor) {
  acceptor->async_accept([this, tag, acceptor](error_code error, tcp::socket socket) {
    if (!acceptor->is_open()) return;
    if (!error) {
      ++accepted_;
      const auto connection = std::make_shared<Connection>(*this, std::move(socket), tag);
      connections_.insert(connection);
      connection->next();
    }
    accept(tag, acceptor);
  });
}

void HttpServer::stopListening() {
  for (Door& door : doors_) {
    error_code ignored;
    if (door.acceptor) door.acceptor->close(ignored);
    door.acceptor.reset();
  }
}

void HttpServer::listenAgain() {
  for (Door& door : doors_) {
    if (!door.acceptor) open(door);
  }
}

void HttpServer::dropAll(bool reset) {
  const auto connections = connections_;
  for (const auto& connection : connections) connection->close(reset);
}

}  // namespace ivypost::standins
