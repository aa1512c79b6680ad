// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "server.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <charconv>
#include <cstdio>
#include <utility>
#include <vector>

namespace ivypost {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;
using orchiddrum::RequestId;
using orchiddrum::Semantics;
using std::chrono::milliseconds;

constexpr std::size_t kMaxBody = 64UL * 1024;
constexpr std::uint32_t kMaxHeader = 16 * 1024;
// The server answers by itself when the module's answer is this much late.
constexpr milliseconds kBackstop{10};
// A request that has begun to come must be whole, and an answer gone, within this time.
constexpr milliseconds kMaxTransfer{5000};
// What a client still sends after its last answer is read and dropped for this long: closing at once would
// reset the connection and could cost it the answer.
constexpr milliseconds kLinger{200};
// The longest time that a client may ask for, so that sums of times stay far from overflow.
constexpr std::int64_t kMaxExpiresInMs = 3'600'000;
// A second request under the id of an open one may be read when that one is over: ids are remembered longer
// than a full core delays reading.
constexpr milliseconds kTraceMemory{3000};
// New connections go on coming for up to 0.4 s after SIGTERM.
constexpr milliseconds kAcceptAfterStop{500};
// SIGKILL comes no sooner than the longest deadline (3 s) and 0.7 s after SIGTERM.
constexpr milliseconds kStopWithin{3600};
constexpr milliseconds kStopCheck{20};
// With no descriptor left, accepting waits this long.
constexpr milliseconds kAcceptPause{20};
// Part of the descriptors that clients' connections may hold.
constexpr double kClientShare = 0.55;

template <class Number>
std::optional<Number> toNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

std::optional<std::string_view> header(const Message& message, std::string_view name) {
  const auto found = message.find(beast::string_view(name.data(), name.size()));
  if (found == message.end()) return std::nullopt;
  return std::string_view(found->value().data(), found->value().size());
}

std::string seconds(Micros span) {
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(span) / 1e6);
  return {text.data(), static_cast<std::size_t>(size)};
}

}  // namespace

// One client connection. It lives as long as the server lists it or an operation on it is out.
class Server::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Server& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_) {}

  void start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    watch();
  }

  bool idle() const { return state_ == State::Idle; }

  // Whether nothing has come on an idle connection, so that closing it loses no request.
  bool quiet() {
    if (state_ != State::Idle) return false;
    return peek() == asio::error::would_block;
  }

  RequestId request() const { return request_; }
  std::uint64_t trace() const { return trace_; }

  // Answers what the client has sent, and goes on or hangs up.
  void write(Answer answer) {
    state_ = State::Writing;
    http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
    response.set(http::field::content_type, answer.contentType);
    if (answer.retryAfter > 0) response.set(http::field::retry_after, seconds(answer.retryAfter));
    response.keep_alive(keepAlive_ && !server_.stopping_);
    response.body() = std::move(answer.body);
    response.prepare_payload();
    response_ = std::move(response);
    limit(Clock::now() + kMaxTransfer);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->state_ == State::Closed) return;
      if (error) return self->close();
      self->timer_.cancel();
      if (!self->response_.keep_alive()) return self->hangUp();
      self->next();
    });
  }

  void close() {
    if (state_ == State::Closed) return;
    const bool waiting = state_ == State::Waiting;
    state_ = State::Closed;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();  // the server's may have been the last
    server_.sessions_.erase(self);
    if (waiting && server_.endRequest(*this)) server_.callbacks_.over(request_);
  }

 private:
  // Idle: nothing of a request has come. Waiting: a request is taken and its answer owed.
  enum class State { Idle, Reading, Waiting, Writing, HangingUp, Closed };

  error_code peek() {
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error;
  }

  // Waits for a request, or for a client that leaves without its answer.
  void watch() {
    if (watching_) return;
    watching_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->watching_ = false;
      if (self->state_ != State::Idle && self->state_ != State::Waiting) return;
      const error_code error = self->peek();
      if (error == asio::error::would_block) return self->watch();
      if (error) return self->close();
      if (self->state_ == State::Idle) self->read();
    });
  }

  void next() {
    if (buffer_.size() > 0) return read();
    state_ = State::Idle;
    watch();
  }

  void read() {
    state_ = State::Reading;
    parser_.emplace();
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxBody);
    limit(Clock::now() + kMaxTransfer);
    // Guards against a body without end: Boost.Beast 1.74 forgets that a length is over the limit when the
    // body comes along with the header, so the header is read apart.
    const auto self = shared_from_this();
    http::async_read_header(socket_, buffer_, *parser_, [self](error_code error, std::size_t) {
      if (self->state_ != State::Reading) return;
      if (error || self->parser_->is_done()) return self->onRead(error);
      http::async_read(self->socket_, self->buffer_, *self->parser_, [self](error_code failed, std::size_t) {
        if (self->state_ == State::Reading) self->onRead(failed);
      });
    });
  }

  void onRead(error_code error) {
    timer_.cancel();
    if (error) {
      keepAlive_ = false;
      if (error == http::error::body_limit) return write(server_.plain(413, "body over 64 KiB"));
      if (error == http::error::header_limit) return write(server_.plain(431, "header over 16 KiB"));
      if (error == http::error::end_of_stream || error == http::error::partial_message) return close();
      if (error.category() == make_error_code(http::error::bad_method).category())
        return write(server_.plain(400, "malformed HTTP: " + error.message()));
      return close();
    }
    keepAlive_ = parser_->keep_alive();
    auto checked = server_.check(parser_->release());
    if (auto* answer = std::get_if<Answer>(&checked)) return write(std::move(*answer));
    auto& request = std::get<ClientRequest>(checked);
    state_ = State::Waiting;
    request_ = request.id;
    trace_ = request.trace;
    server_.traces_.insert(trace_);
    server_.open_.emplace(request_, shared_from_this());
    watch();
    // Guards the last answer against everything else: a late timer, a full core, a module that is wrong.
    timer_.expires_at(request.deadline + kBackstop);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || self->state_ != State::Waiting || !self->server_.endRequest(*self)) return;
      self->write(self->server_.plain(504, "no answer in time"));
      self->server_.callbacks_.over(self->request_);
    });
    server_.callbacks_.taken(std::move(request));
  }

  void limit(Clock::time_point until) {
    timer_.expires_at(until);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      // A timer that was set anew since it ran out is not meant.
      if (!cancelled && self->timer_.expiry() <= Clock::now()) self->close();
    });
  }

  void hangUp() {
    state_ = State::HangingUp;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    limit(Clock::now() + kLinger);
    discard();
  }

  void discard() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(4096),
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->state_ != State::HangingUp) return;
                              if (error) return self->close();
                              self->discard();
                            });
  }

  Server& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  RequestId request_ = 0;
  std::uint64_t trace_ = 0;
  State state_ = State::Idle;
  bool keepAlive_ = true;
  bool watching_ = false;
};

Server::Server(asio::io_context& io, const Config& config, Callbacks callbacks)
    : io_(io),
      config_(config),
      callbacks_(std::move(callbacks)),
      acceptor_(io),
      timer_(io),
      maxSessions_(static_cast<std::size_t>(kClientShare * static_cast<double>(config.sockets))) {
  acceptor_.open(config.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(config.listen);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  accept();
}

Server::~Server() = default;

void Server::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!error) {
      admit(std::move(socket));
    } else if (error != asio::error::connection_aborted) {
      // Guards against a loop that spins when descriptors have run out.
      closeIdle(1);
      timer_.expires_after(kAcceptPause);
      timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) accept();
      });
      return;
    }
    accept();
  });
}

void Server::admit(tcp::socket socket) {
  if (sessions_.size() >= maxSessions_) closeIdle(1);
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

void Server::closeIdle(std::size_t atMost) {
  std::vector<std::shared_ptr<Session>> quiet;
  for (const auto& session : sessions_) {
    if (quiet.size() < atMost && session->quiet()) quiet.push_back(session);
  }
  for (const auto& session : quiet) session->close();
}

void Server::answer(RequestId id, Answer answer) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const auto session = found->second;
  endRequest(*session);
  session->write(std::move(answer));
}

bool Server::endRequest(const Session& session) {
  if (open_.erase(session.request()) == 0) return false;
  pastTraces_.emplace_back(Clock::now(), session.trace());
  return true;
}

void Server::forgetTraces() {
  while (!pastTraces_.empty() && Clock::now() - pastTraces_.front().first > kTraceMemory) {
    traces_.erase(pastTraces_.front().second);
    pastTraces_.pop_front();
  }
}

Answer Server::plain(unsigned status, std::string text) const {
  Answer answer;
  answer.status = status;
  answer.body = std::move(text) + "\n";
  return answer;
}

bool Server::full() const {
  const std::uint32_t most = config_.site.settings.maxOpen;
  return sessions_.size() > maxSessions_ || (most > 0 && open_.size() >= most);
}

std::variant<ClientRequest, Answer> Server::check(Message message) {
  const std::string_view target(message.target().data(), message.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const bool isGet = message.method() == http::verb::get;
  if (path == "/ready") {
    if (!isGet) return plain(405, "GET only");
    return stopping_ ? plain(503, "stopping") : plain(200, "ready");
  }
  const orchiddrum::Site& site = config_.site;
  const auto parts = orchiddrum::split(path.substr(path.empty() ? 0 : 1), '/');
  const auto inPath = parts.empty() ? site.classes.end() : site.classes.find(parts.front());
  const auto qos = header(message, "X-Qos");
  const auto named = qos ? site.classes.find(*qos) : site.classes.end();
  if (qos && named == site.classes.end()) return plain(400, "unknown class in X-Qos");
  if (path.empty() || path.front() != '/' || inPath == site.classes.end()) return plain(404, "unknown path");
  if (!qos) return plain(400, "X-Qos is missing");
  if (named != inPath) return plain(400, "X-Qos and the path name different classes");

  ClientRequest request;
  request.requestClass = named->second;
  const auto& cls = site.settings.classes.at(request.requestClass);
  const bool post = cls.semantics != Semantics::Idempotent;
  if (message.method() != (post ? http::verb::post : http::verb::get))
    return plain(405, post ? "POST only" : "GET only");
  if (cls.semantics == Semantics::Keyed && header(message, "Idempotency-Key").value_or("").empty())
    return plain(400, "Idempotency-Key is missing");

  const auto trace = header(message, "X-Trace-Id").value_or("");
  const auto id = trace.size() == 16 ? toNumber<std::uint64_t>(trace, 16) : std::nullopt;
  if (!id) return plain(400, "X-Trace-Id is missing or has not 16 hexadecimal digits");
  forgetTraces();
  if (traces_.count(*id) > 0) return plain(400, "X-Trace-Id is or was lately another request's");
  request.trace = *id;

  const auto expires = toNumber<std::int64_t>(header(message, "X-Expires-In-Ms").value_or(""));
  if (!expires || *expires < 0 || *expires > kMaxExpiresInMs)
    return plain(400, "X-Expires-In-Ms is missing or no time in milliseconds");
  request.expiresIn = *expires * 1000;
  request.deadline = Clock::now() + milliseconds(*expires);

  const auto customer = header(message, "X-Customer");
  if (!site.tenants.empty()) {
    const auto tenant = customer ? site.tenants.find(*customer) : site.tenants.end();
    if (tenant == site.tenants.end()) return plain(400, "X-Customer is missing or unknown");
    request.tenant = tenant->second;
  }
  if (const auto hint = header(message, "X-Size-Hint")) {
    request.work = toNumber<Micros>(*hint);
    if (!request.work || *request.work < 0) return plain(400, "X-Size-Hint is no time in microseconds");
  }
  if (parts.size() > 1) request.key = orchiddrum::identity(parts.back());
  request.resent = header(message, "X-Second-Try").value_or("") == "1";
  if (full()) return plain(503, "too many open requests");
  request.id = ++lastId_;
  request.message = std::make_shared<const Message>(std::move(message));
  return request;
}

void Server::stop(std::function<void()> stopped) {
  if (stopping_) return;
  stopping_ = true;
  stopped_ = std::move(stopped);
  // A client whose request crosses this sends it once more on a new connection, which is still taken.
  closeIdle(sessions_.size());
  const auto now = Clock::now();
  const auto wait = std::make_shared<asio::steady_timer>(io_, now + kAcceptAfterStop);
  wait->async_wait([this, wait, now](error_code) {
    closeAcceptor();
    finish(Clock::now() + kLinger, now + kStopWithin);
  });
}

void Server::closeAcceptor() {
  // Whatever stands in the queue counts as taken.
  for (;;) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error) break;
    admit(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
}

void Server::finish(Clock::time_point lingerUntil, Clock::time_point stopBy) {
  const auto now = Clock::now();
  const bool allIdle =
      std::all_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->idle(); });
  if ((allIdle && now >= lingerUntil) || now >= stopBy) {
    const auto left = std::exchange(open_, {});
    for (const auto& [id, session] : left) session->write(plain(504, "stopping"));
    return stopped_();
  }
  timer_.expires_after(kStopCheck);
  timer_.async_wait([this, lingerUntil, stopBy](error_code cancelled) {
    if (!cancelled) finish(lingerUntil, stopBy);
  });
}

}  // namespace ivypost
