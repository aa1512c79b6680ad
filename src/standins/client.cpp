// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/client.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <utility>

#include "standins/clock.h"

namespace ivypost::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// A client waits so much longer than the ledger's allowance, so that an answer within it is always seen.
constexpr Micros kBeyondSlack = 10'000;

std::string textOf(const Call& call, const std::string& id, std::uint64_t number, bool isRetry,
                   Micros patience) {
  std::string text =
      (call.effect == Effect::Safe ? "GET /" : "POST /") + call.requestClass + "/aula-" +
      std::to_string(number % 97) + " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + id +
      "\r\nX-Qos: " + call.requestClass + "\r\nX-Expires-In-Ms: " + std::to_string(patience / 1000) + "\r\n";
  if (!call.tenant.empty()) text += "X-Customer: " + call.tenant + "\r\n";
  if (isRetry) text += "X-Second-Try: 1\r\n";
  if (call.effect == Effect::Keyed) text += "Idempotency-Key: k" + id + "\r\n";
  if (call.effect == Effect::Safe) return text + "\r\n";
  return text + "Content-Length: " + std::to_string(call.bodyBytes) + "\r\n\r\n" +
         std::string(call.bodyBytes, 'b');
}

}  // namespace

// One connection. It carries one request at a time.
class Client::Line : public std::enable_shared_from_this<Line> {
 public:
  Line(Client& owner, tcp::socket socket) : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  bool busy() const { return busy_; }

  // Whether it stands, with nothing to read.
  bool stands() {
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void send(std::string id, Effect effect, std::string text, Micros deadline, Micros leaveAt, Done done) {
    busy_ = true;
    id_ = std::move(id);
    effect_ = effect;
    text_ = std::move(text);
    parser_.reset();
    deadline_ = deadline;
    leaveAt_ = leaveAt;
    done_ = std::move(done);
    startedAt_ = nowMicros();
    write();
  }

  void close() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    Client& owner = *std::exchange(owner_, nullptr);
    std::erase(owner.idle_, self);
    owner.lines_.erase(self);
  }

 private:
  void write() {
    // Told ahead: the last byte may arrive, and be answered, before the write's end is heard of.
    owner_->ledger_.sent(id_, effect_, deadline_, nowMicros());
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (self->owner_ == nullptr) return;
                        if (error) return self->cut();
                        self->read();
                      });
    timer_.expires_at(timeOf(std::min(leaveAt_, deadline_ + owner_->ledger_.slack() + kBeyondSlack)));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || self->owner_ == nullptr || !self->busy_) return;
      if (self->timer_.expiry() > SteadyClock::now()) return;
      const Micros now = nowMicros();
      // One that leaves by itself is owed nothing. One whose time is up has lost its answer, as the ledger
      // sees when it settles.
      if (now < self->deadline_) self->owner_->ledger_.left(self->id_, now);
      self->finish({});
      self->close();
    });
  }

  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr || !self->busy_) return;
      if (error) return self->cut();
      auto answer = self->parser_->release();
      Result result;
      result.status = answer.result_int();
      result.body = std::move(answer.body());
      result.took = nowMicros() - self->startedAt_;
      const auto advice = answer[http::field::retry_after];
      result.retryAfter =
          static_cast<Micros>(std::atof(std::string(advice.data(), advice.size()).c_str()) * 1e6);
      self->owner_->ledger_.answered(self->id_, result.status, result.body, nowMicros());
      if (self->buffer_.size() > 0) {
        self->owner_->ledger_.surplus(self->id_, nowMicros());
        self->buffer_.clear();
      }
      const bool keep = answer.keep_alive();
      self->used_ = true;
      self->finish(result);
      if (self->owner_ == nullptr) return;
      if (!keep) return self->close();
      self->owner_->idle_.push_back(self);
    });
  }

  // The connection has ended. On one that was used before, the sidecar may have closed it between requests:
  // the client sends the request once more on a new one.
  void cut() {
    const bool untold = !parser_ || !parser_->got_some();
    if (owner_->gone_) {
      owner_->ledger_.left(id_, nowMicros());
    } else {
      owner_->ledger_.cut(id_, untold, nowMicros());
    }
    Client& owner = *owner_;
    if (used_ && untold && nowMicros() < deadline_) {
      error_code error;
      tcp::socket fresh(owner.io_);
      fresh.connect(owner.sidecar_, error);
      if (!error) {
        const auto line = std::make_shared<Line>(owner, std::move(fresh));
        ++owner.counts_.connections;
        owner.lines_.insert(line);
        line->send(id_, effect_, text_, deadline_, leaveAt_, std::exchange(done_, {}));
        busy_ = false;
        return close();
      }
    }
    finish({});
    close();
  }

  void finish(const Result& result) {
    if (!std::exchange(busy_, false)) return;
    timer_.cancel();
    const Done done = std::exchange(done_, {});
    if (done) done(result);
  }

  Client* owner_;  // none once it is closed
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool busy_ = false, used_ = false;
  std::string id_, text_;
  Effect effect_ = Effect::Safe;
  Micros startedAt_ = 0, deadline_ = 0, leaveAt_ = 0;
  Done done_;
};

Client::Client(asio::io_context& io, tcp::endpoint sidecar, std::uint32_t name, std::uint64_t seed,
               Ledger& ledger)
    : io_(io), sidecar_(std::move(sidecar)), name_(name), random_(seed), ledger_(ledger), timer_(io) {}

// NOLINTNEXTLINE(bugprone-exception-escape): only want of memory can throw here, and may end the program.
Client::~Client() {
  stop();
  const auto lines = lines_;
  for (const auto& line : lines) line->close();
}

std::string Client::newId() {
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "%04x%012llx", name_ & 0xffffU,
                static_cast<unsigned long long>(++lastId_));
  return text.data();
}

std::string Client::send(const Call& call, Done done) {
  return sendOn(call, std::move(done), call.deadline, false);
}

std::string Client::sendOn(const Call& call, Done done, Micros patience, bool isRetry) {
  std::string id = newId();
  std::shared_ptr<Line> line;
  while (!line && !idle_.empty()) {
    line = idle_.back();
    idle_.pop_back();
    if (!line->stands()) std::exchange(line, nullptr)->close();
  }
  if (!line) {
    // Connecting on loopback takes no time worth waiting for.
    tcp::socket socket(io_);
    error_code error;
    if (load_.maxConnections > 0 && lines_.size() >= load_.maxConnections) {
      error = asio::error::no_descriptors;
    } else {
      socket.connect(sidecar_, error);
    }
    if (error) {
      ++counts_.noConnection;
      if (done) done({});
      return id;
    }
    ++counts_.connections;
    line = std::make_shared<Line>(*this, std::move(socket));
    lines_.insert(line);
  }
  ++counts_.sent;
  const Micros now = nowMicros();
  std::uniform_real_distribution<double> unit(0, 1);
  const bool leaves = load_.impatient > 0 && unit(random_) < load_.impatient;
  const Micros leaveAt = leaves ? now + static_cast<Micros>(unit(random_) * static_cast<double>(patience))
                                : now + patience + ledger_.slack() + kBeyondSlack;
  line->send(id, call.effect, textOf(call, id, lastId_, isRetry, patience), now + patience, leaveAt,
             std::move(done));
  return id;
}

void Client::start(Load load) {
  load_ = std::move(load);
  const bool was = std::exchange(running_, true);
  if (!was) nextAt_ = nowMicros();
  schedule();
}

void Client::stop() {
  running_ = false;
  timer_.cancel();
  for (const auto& backoff : backoffs_) backoff->cancel();
}

std::size_t Client::open() const {
  return static_cast<std::size_t>(
      std::count_if(lines_.begin(), lines_.end(), [](const auto& line) { return line->busy(); }));
}

void Client::schedule() {
  std::exponential_distribution<double> gap(load_.rate);
  nextAt_ += static_cast<Micros>(gap(random_) * 1e6);
  timer_.expires_at(timeOf(nextAt_));
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled && running_) arrive();
  });
}

void Client::arrive() {
  double total = 0;
  for (const Share& one : load_.shares) total += one.share;
  double pick = std::uniform_real_distribution<double>(0, total)(random_);
  ++counts_.offered;
  for (const Share& one : load_.shares) {
    pick -= one.share;
    if (pick > 0 && &one != &load_.shares.back()) continue;
    ++byShare_[{one.call.requestClass, one.call.tenant}].offered;
    attempt(one.call, 0);
    break;
  }
  schedule();
}

// A try and, where its answer allows it, the next one.
void Client::attempt(const Call& call, std::uint32_t tries) {
  sendOn(
      call,
      [this, call, tries](const Result& result) {
        if (result.status == 200) {
          if (result.took > call.latencyObjective) return;
          ++counts_.inAim;
          ++byShare_[{call.requestClass, call.tenant}].inAim;
          return;
        }
        // A failure promises nothing: only what is safe to repeat, or refused, goes again.
        const bool refused = result.status == 429 || result.status == 503;
        if (!running_ || tries >= load_.retries || !(refused || call.effect == Effect::Safe)) return;
        Micros pause = load_.backoff << tries;
        pause += static_cast<Micros>(random_() % static_cast<std::uint64_t>(pause / 2 + 1));
        if (load_.honourRetryAfter) pause = std::max(pause, result.retryAfter);
        const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(pause));
        backoffs_.insert(timer);
        timer->async_wait([this, timer, call, tries](error_code cancelled) {
          if (cancelled) return;
          backoffs_.erase(timer);
          ++counts_.retries;
          attempt(call, tries + 1);
        });
      },
      call.deadline, tries > 0);
}

}  // namespace ivypost::standins
