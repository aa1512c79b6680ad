// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admin/admin_server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
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
// Calls have no body; one that comes along is read and dropped up to this.
constexpr std::size_t kMaxBody = 16UL * 1024;
// A connection without a whole call is closed after so long, if it has not given way before.
constexpr milliseconds kMaxCall{10'000};
// What a caller still sends after its answer is dropped for so long: closing at once could cost it the
// answer.
constexpr milliseconds kLinger{200};
constexpr milliseconds kAcceptPause{10};
constexpr std::size_t kReadAtOnce = 4096;

}  // namespace

// One connection, until its call is answered.
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
    limit(kMaxCall);
    readable();
  }

  bool answered() const { return answered_; }

  // Its owner is gone: nobody is called back any more.
  void orphan() noexcept { owner_ = nullptr; }

  void close() {
    orphan();
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

  void limit(milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && self->timer_.expiry() <= std::chrono::steady_clock::now()) self->finish();
    });
  }

  // As a rule the whole call is there already when the connection is.
  void readable() {
    error_code error;
    while (!error) {
      buffer_.commit(network::receiveSome(socket_, buffer_.prepare(kReadAtOnce), error));
      if (network::isTransient(error)) return watch(error);
      if (error) return finish();
      if (answered_) {
        buffer_.clear();
        return watch({});
      }
      while (!error && !parser_.is_done() && buffer_.size() > 0)
        buffer_.consume(parser_.put(buffer_.data(), error));
      if (error == http::error::need_more) error = {};
      if (error || parser_.is_done()) return answer(error);
    }
  }

  // `why`: what the last read came to.
  void watch(error_code why) {
    network::waitToRetry(socket_, tcp::socket::wait_read, why, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->finish();
      self->readable();
    });
  }

  std::variant<Call, Reply> routed(error_code error) const {
    if (error == http::error::header_limit) return Reply{431, "header over 8 KiB"};
    if (error == http::error::body_limit) return Reply{413, "body over 16 KiB"};
    if (error) return Reply{400, "malformed HTTP: " + error.message()};
    const auto& call = parser_.get();
    const auto method = call.method_string();
    const auto target = call.target();
    return route({method.data(), method.size()}, {target.data(), target.size()});
  }

  void answer(error_code error) {
    const auto call = routed(error);
    if (const auto* wrong = std::get_if<Reply>(&call)) return send(*wrong);
    owner_->handler_(std::get<Call>(call),
                     [self = shared_from_this()](const Reply& reply) { self->send(reply); });
  }

  void send(const Reply& said) {
    if (owner_ == nullptr || answered_) return;
    answered_ = true;
    const auto reason = http::obsolete_reason(static_cast<http::status>(said.status));
    text_ = "HTTP/1.1 " + std::to_string(said.status) + " " + std::string(reason) +
            "\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: " +
            std::to_string(said.text.size() + 1) + "\r\n\r\n" + said.text + "\n";
    buffer_.clear();
    limit(kLinger);
    network::writeAll(socket_, text_, [self = shared_from_this()](error_code failed) {
      if (self->owner_ == nullptr) return;
      if (failed) return self->finish();
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->watch({});
    });
  }

  AdminServer* owner_;  // none once it is closed
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  std::string text_;
  bool answered_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& address, Handler handler)
    : io_(io), handler_(std::move(handler)), acceptor_(io), pause_(io) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  // Otherwise Asio waits for the next connection behind one that ended in the queue.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
}

AdminServer::~AdminServer() {
  for (const auto& session : sessions_) session->orphan();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      admit(std::move(socket));
      return accept();
    }
    // Guards against a loop that spins when descriptors have run out.
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](error_code cancelled) {
      if (!cancelled) accept();
    });
  });
}

void AdminServer::admit(tcp::socket socket) {
  if (sessions_.size() >= kMaxConnections) {
    auto oldest =
        std::find_if(sessions_.begin(), sessions_.end(), [](const auto& one) { return !one->answered(); });
    if (oldest == sessions_.end()) oldest = sessions_.begin();
    const auto leaving = *oldest;
    sessions_.erase(oldest);
    leaving->close();
  }
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
  const auto session = sessions_.back();  // it may end within
  session->start();
}

}  // namespace ivypost::admin
