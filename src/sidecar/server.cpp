// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "server.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <charconv>
#include <cstdio>
#include <utility>
#include <vector>

#include "admission/peer.h"
#include "framing.h"
#include "network/nonblocking_io.h"
#include "relay/pace.h"
#include "relay/pieces_body.h"
#include "request_form.h"
#include "stream_writer.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using balancer::RequestId;
using balancer::Semantics;
using beast::error_code;
using std::chrono::milliseconds;

// The server answers by itself when the module's answer is this much late.
constexpr milliseconds kBackstop{10};
// A connection's first request must be whole within this time of its accept, and each further one of its
// first byte: whoever sends nothing, or never comes to an end, is owed an error or a close within 3 s.
constexpr milliseconds kMaxRequest{2500};
// An answer must be gone within this time, and by its request's deadline: nobody waits for the rest of it
// then. One that is written late gets a little time all the same.
constexpr milliseconds kAnswerTime{5000};
constexpr milliseconds kLateAnswerTime{200};
// A client that has got an error is read again after this pause: one that sends the same at full speed must
// not take the core from the others.
constexpr milliseconds kErrorPause{100};
// What a client still sends after its last answer is read and dropped for this long: closing at once would
// reset the connection and could cost it the answer. But no more than so much: it would cost us the core.
constexpr milliseconds kLinger{200};
constexpr std::size_t kMaxDiscard = 64UL * 1024;
// And of each connection so much while the whole server ends: what the kernel can hold unread of one.
constexpr std::size_t kMaxFinalDiscard = 8UL * 1024 * 1024;
// A client that has not acknowledged all of its last answer by then is waited for up to this long: one that
// takes nothing must not hold its place, nor the end of the process.
constexpr milliseconds kMaxLinger{1000};
// A buffer that was read empty is kept up to this size for the connection's next request.
constexpr std::size_t kKeptBuffer = 4096;
// A larger body is held whole up to this, as far as the budget goes: so it can be sent again, and a client
// that writes slowly holds up no upstream.
constexpr std::size_t kMaxHeld = 2048UL * 1024;
constexpr std::size_t kHeldStep = 128UL * 1024;
// How much longer than its pace so far lets expect the rest of a body may take, before its request is given
// up.
constexpr Micros kUploadSlack = 2;
constexpr Micros kUploadSpare = 3'000'000;
// A client that takes nothing more of an answer for so long has stopped.
constexpr milliseconds kClientTakes{10'000};
// What is read of what a client sends ahead while its request waits, whatever the budget says; up to kMaxHeld
// as far as that goes. With more unread its close may stand in its own machine's queue, where nobody sees it:
// then no attempt is begun for it, and it is looked for so often.
constexpr std::size_t kMaxAhead = 16UL * 1024;
constexpr milliseconds kLookForLeaver{100};
constexpr std::size_t kReadOnce = 4096;
// A request that was expected or being read when its time was up may have come whole meanwhile; it is read
// for so long.
constexpr milliseconds kLastLook{10};
// The kernel tells times by its own tick, of 10 ms at the most; less may be none.
constexpr milliseconds kKernelTick{10};
// The longest time that a client may ask for, so that sums of times stay far from overflow.
constexpr std::int64_t kMaxExpiresInMs = 3'600'000;
// While the server drains or stops, its connections are gone through so often.
constexpr milliseconds kTendEvery{20};
// Who still comes when requests are refused for a drain gets so long for a head.
constexpr milliseconds kMaxRefused{300};
// A connection that has sent nothing since it came is not idle before this: its request is on the way.
constexpr Micros kSettling = 300'000;
// When the kernel has no descriptor for a new connection, accepting waits this long; and when so many
// connections in a row ended while they stood in its queue.
constexpr milliseconds kAcceptPause{10};
constexpr int kMaxFailedAccepts = 16;
// Part of the pools' descriptors that clients' connections may hold.
constexpr double kClientShare = 0.6112;

template <class Number>
std::optional<Number> toNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

// Headers that are read here, and must not say one thing here and another further on.
bool repeatsAHeader(const Message& message) {
  for (const char* name : {"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In-Ms", "Idempotency-Key",
                           "X-Size-Hint", "X-Second-Try"}) {
    if (message.count(name) > 1) return true;
  }
  return false;
}

std::optional<std::string_view> header(const RequestHead& message, std::string_view name) {
  const auto found = message.find(beast::string_view(name.data(), name.size()));
  if (found == message.end()) return std::nullopt;
  return std::string_view(found->value().data(), found->value().size());
}

admission::DoorSettings doorSettings(const Config& config, const op::File& file) {
  admission::DoorSettings settings;
  settings.keepAny = file.door.keepAny;
  settings.keepUsed = file.door.keepUsed;
  settings.work = file.door.work;
  const double places = kClientShare * config.poolSockets();
  settings.places = std::max<std::size_t>(1, static_cast<std::size_t>(places));
  return settings;
}

// accept() failed since the system is short of something, not since the connection had ended already.
bool isOfTheSystem(const error_code& error) {
  return error == asio::error::no_descriptors ||
         error == boost::system::errc::too_many_files_open_in_system || network::isShortage(error);
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
  Session(Server& server, tcp::socket socket, admission::Door::Place place)
      : server_(server),
        socket_(std::move(socket)),
        deadline_(server.deadlines_),
        leaver_(server.deadlines_),
        held_(server.budget_),
        ahead_(server.budget_),
        place_(place) {}

  void start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    limit(Clock::now() + kMaxRequest);
    watch();
  }

  // Whether nothing has come on an idle connection, so that closing it loses no request.
  bool quiet() {
    if (state_ != State::Idle || buffer_.size() > 0) return false;
    return peek() == asio::error::would_block;
  }

  // Whether it has been here for long enough to count as idle when it sends nothing.
  bool settled(Micros time) const { return place_->requests > 0 || time - place_->since >= kSettling; }

  // Whether closing it costs its client nothing.
  bool givesWay() {
    if (state_ == State::HangingUp) return admission::allAcknowledged(socket_.native_handle());
    return mayCloseIdle();
  }

  // Whether closing it now, when it is idle, can cost its client neither a request nor an answer: a request
  // that crosses the close resets the connection, and what has not been acknowledged by then may be gone.
  bool mayCloseIdle() { return quiet() && !admission::awaitsAcknowledgement(socket_.native_handle()); }

  // Whether the client of the waiting request has left; closes the connection then, but not from within the
  // caller, who may be in the middle of something of this request's.
  bool isClientGone() {
    const bool left = admission::peerHasLeft(socket_.native_handle()) || (!uploading_ && !catchUp());
    if (!left && (uploading_ || !behind_)) return false;
    asio::post(server_.io_, [self = shared_from_this(), id = request_, left] {
      if (self->state_ != State::Waiting || self->request_ != id) return;
      if (left) return self->close();
      if (!self->server_.endRequest(*self)) return;
      self->write(self->server_.plain(502, "too much was sent ahead of the answer"));
      self->server_.over(id);
    });
    return true;
  }

  // The server stops: what is owed an answer gets its final one. Nothing of what is still being read has run.
  void answerFinally() {
    const auto self = shared_from_this();
    switch (state_) {
      case State::Idle:
        return resume();
      case State::Reading: {
        keepAlive_ = false;
        if (!busy_) return write(server_.refusal("refused: the sidecar stops"));
        error_code ignored;
        socket_.cancel(ignored);  // onRead() answers
        return;
      }
      case State::Waiting:
        if (!server_.endRequest(*this)) return;
        write(server_.plain(504, "stopping"));
        return server_.over(request_);
      case State::Writing:
      case State::HangingUp:
      case State::Closed:
        return;
    }
  }

  // The process ends. Guards against a close over unread bytes, which would reset the connection and could
  // cost the client its answer; and against an answer cut short that looks whole.
  void closeFinally() {
    const bool owes = state_ == State::Reading || (state_ == State::Idle && !quiet());
    error_code ignored;
    if (owes) {
      const Answer answer = server_.refusal("refused: the sidecar stops");
      const std::string text =
          "HTTP/1.1 503 Service Unavailable\r\nContent-Type: " + answer.contentType +
          "\r\nRetry-After: " + seconds(answer.retryAfter) +
          "\r\nConnection: close\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" +
          answer.body;
      socket_.write_some(asio::buffer(text), ignored);
    }
    if (stream_) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      return close();
    }
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    std::array<char, 16UL * 1024> dropped;
    error_code error;
    for (std::size_t left = kMaxFinalDiscard; left > 0 && !error;) {
      const std::size_t size = socket_.receive(asio::buffer(dropped), 0, error);
      left -= std::min(left, size);
    }
    close();
  }

  RequestId request() const { return request_; }
  Clock::time_point arrivedAt() const { return arrivedAt_; }
  std::uint64_t trace() const { return trace_; }

  // Whether something of a next request has come. What has been read is owed an answer, so the connection is
  // not ended by us ahead of that.
  bool hasNext() {
    if (buffer_.size() == 0) readAhead();
    return buffer_.size() > 0;
  }

  // Answers what the client has sent, and goes on or hangs up.
  void write(Answer answer) {
    state_ = State::Writing;
    // What is left of a body is not waited for; the client hears at once.
    if (uploading_) keepAlive_ = false;
    uploading_ = false;
    last_ = !keepAlive_ || (!(server_.effects_.keeps && server_.door_.keeps(place_)) && !hasNext());
    wrong_ = answer.status / 100 == 4;
    const auto reason = http::obsolete_reason(static_cast<http::status>(answer.status));
    head_ = "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(view(reason)) +
            "\r\nContent-Type: " + answer.contentType;
    if (answer.retryAfter > 0) head_ += "\r\nRetry-After: " + seconds(answer.retryAfter);
    if (answer.stream) return writeStream(std::move(answer));
    if (last_) head_ += "\r\nConnection: close";
    head_ += "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
    body_ = std::move(answer.body);
    // Nearly always the kernel takes all of it at once.
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(head_), asio::buffer(body_)};
    error_code error;
    const std::size_t sent = network::writeSome(socket_, parts, error);
    if (!error) return onWritten();
    if (!network::isTransient(error)) {
      // Not from within the caller, who may be in the middle of something of this session's.
      asio::post(server_.io_, [self = shared_from_this()] { self->close(); });
      return;
    }
    head_ += body_;
    head_.erase(0, sent);
    limit(std::min(Clock::now() + kAnswerTime, std::max(answerBy_, Clock::now() + kLateAnswerTime)));
    writeRest(error);
  }

  void close() {
    if (state_ == State::Closed) return;
    const bool waiting = state_ == State::Waiting;
    state_ = State::Closed;
    deadline_.cancel();
    leaver_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (upload_) upload_->pipe.fail();
    if (const auto stream = std::exchange(stream_, nullptr)) stream->abandon();
    const auto self = shared_from_this();  // the server's may have been the last
    server_.sessions_.erase(place_->id);
    server_.door_.leave(place_);
    server_.roomMade();
    if (waiting && server_.endRequest(*this)) server_.over(request_);
  }

 private:
  // Idle: nothing of a request has come. Waiting: a request is taken and its answer owed.
  enum class State { Idle, Reading, Waiting, Writing, HangingUp, Closed };

  // Of the answer. `why`: the write before came to no end.
  void writeRest(error_code why) {
    network::waitToRetry(socket_, tcp::socket::wait_write, why,
                         [self = shared_from_this()](error_code failed) {
                           if (self->state_ != State::Writing) return;
                           if (failed) return self->close();
                           network::writeAll(self->socket_, self->head_, [self](error_code error) {
                             if (self->state_ != State::Writing) return;
                             if (error) return self->close();
                             self->onWritten();
                           });
                         });
  }

  error_code peek() {
    char byte = 0;
    error_code error;
    network::receiveSome(socket_, asio::buffer(&byte, 1), error, tcp::socket::message_peek);
    return error;
  }

  // Waits for a request, or for a client that leaves without its answer. `why`: the read before came to
  // nothing.
  void watch(error_code why = {}) {
    if (watching_) return;
    watching_ = true;
    network::waitToRetry(socket_, tcp::socket::wait_read, why, [self = shared_from_this()](error_code) {
      self->watching_ = false;
      if (self->uploading_ || (self->state_ != State::Idle && self->state_ != State::Waiting)) return;
      const error_code error = self->readAhead();
      if (error && !network::isShortage(error)) self->behind_ = false;  // the kernel holds nothing more
      if (network::isTransient(error)) return self->watch(error);
      if (error) return self->close();
      if (self->state_ == State::Idle) return self->read();
      if (self->mayReadAhead()) return self->watch();
      self->behind_ = true;
      self->lookForLeaver();
    });
  }

  // Whether more may be read while a request waits. The client's close stands behind all that it has sent, so
  // reading stops only where memory ends.
  bool mayReadAhead() {
    if (buffer_.size() < kMaxAhead) return true;
    while (ahead_.bytes() < buffer_.size()) {
      if (buffer_.size() >= kMaxHeld || !ahead_.grow(kHeldStep)) return false;
    }
    return true;
  }

  // Reads what has come since reading had to stop. False if the client has left.
  bool catchUp() {
    while (behind_ && mayReadAhead()) {
      const error_code error = readAhead();
      if (network::isShortage(error)) return true;
      if (error) behind_ = false;
      if (error && !network::isTransient(error)) return false;
    }
    return true;
  }

  // Looks now and then whether the client has left, while what it sends is not read: behind that its close
  // can't be seen by reading.
  void lookForLeaver() {
    leaver_.set(Clock::now() + kLookForLeaver, [this] {
      const auto self = shared_from_this();
      if (state_ != State::Waiting) return;
      if (admission::peerHasLeft(socket_.native_handle())) return close();
      if (!uploading_ && mayReadAhead()) return watch();
      lookForLeaver();
    });
  }

  // What has come. While a request waits, it guards against a client that sends more and then leaves
  // unnoticed.
  error_code readAhead() {
    error_code error;
    const std::size_t most = buffer_.size() < kMaxAhead ? kReadOnce : kReadOfStream;
    buffer_.commit(network::receiveSome(socket_, buffer_.prepare(most), error));
    return error;
  }

  // ---- An answer in pieces

  void writeStream(Answer answer) {
    stream_ = std::move(answer.stream);
    const bool chunked = !answer.length && version_ >= 11;
    if (!answer.length && !chunked) last_ = true;
    if (last_) head_ += "\r\nConnection: close";
    if (answer.length) {
      head_ += "\r\nContent-Length: " + std::to_string(*answer.length);
    } else if (chunked) {
      head_ += "\r\nTransfer-Encoding: chunked";
    }
    head_ += "\r\n\r\n";
    writer_.begin(std::move(head_), chunked);
    stream_->onData = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        asio::post(self->server_.io_, [self] {
          if (self->stream_ && !self->waitsToWrite_) self->pump();
        });
      }
    };
    // Not from within the caller, who goes on with what it has read of the answer.
    asio::post(server_.io_, [self = shared_from_this()] {
      if (self->stream_ && !self->waitsToWrite_) self->pump();
    });
  }

  void pump() {
    switch (writer_.step(socket_, *stream_)) {
      case StreamWriter::Step::Blocked:
        return pumpLater();
      case StreamWriter::Step::Starved:
        return deadline_.cancel();  // the upstream's side has its own
      case StreamWriter::Step::Failed: {
        // The client must be able to tell, also where the end of the connection ends the answer.
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        return close();
      }
      case StreamWriter::Step::Broken:
        return close();
      case StreamWriter::Step::Done:
        stream_.reset();
        return onWritten();
    }
  }

  void pumpLater() {
    waitsToWrite_ = true;
    limit(Clock::now() + kClientTakes);
    writer_.wait(socket_, [self = shared_from_this()](error_code error) {
      self->waitsToWrite_ = false;
      if (!self->stream_ || self->state_ != State::Writing) return;
      if (error) return self->close();
      self->pump();
    });
  }

  void onWritten() {
    deadline_.cancel();
    leaver_.cancel();
    parser_.reset();
    body_ = {};
    upload_.reset();
    held_.release();
    answerBy_ = Clock::time_point::max();
    if (last_) return hangUp();
    if (buffer_.size() == 0) {
      if (buffer_.capacity() > kKeptBuffer) buffer_.shrink_to_fit();
      ahead_.release();
    }
    state_ = State::Idle;
    server_.door_.rest(place_, now());
    if (wrong_) return deadline_.set(Clock::now() + kErrorPause, [this] { resume(); });
    // One request of a connection a turn of the loop: whoever sends many at once has to let the others have
    // theirs.
    if (buffer_.size() == 0) return watch();
    asio::post(server_.io_, [self = shared_from_this()] { self->resume(); });
  }

  void resume() {
    if (state_ != State::Idle) return;
    if (buffer_.size() > 0) return read();
    watch();
  }

  void read() {
    const bool first = place_->state == admission::Door::State::Silent;
    state_ = State::Reading;
    // The first one's time began when it was let in, and its timer runs.
    if (!server_.effects_.takes) {
      limit(Clock::now() + kMaxRefused);
    } else if (!first) {
      limit(Clock::now() + kMaxRequest);
    }
    server_.door_.begin(place_, now());
    readHead(true);
  }

  // Guards against a body without end: Boost.Beast 1.74 forgets that a length is over the limit when the body
  // comes along with the header, so the header is read apart.
  void readHead(bool mayBeEmptyLine) {
    parser_.emplace();
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxBody);
    // As a rule the whole head is here already.
    error_code error;
    if (buffer_.size() > 0) buffer_.consume(parser_->put(buffer_.data(), error));
    if (error != http::error::need_more && (error || parser_->is_header_done()))
      return onHead(error, mayBeEmptyLine);
    readRestOfHead(mayBeEmptyLine);
  }

  void readRestOfHead(bool mayBeEmptyLine) {
    busy_ = true;
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this(), mayBeEmptyLine](error_code failed, std::size_t) {
                              self->busy_ = false;
                              if (self->state_ != State::Reading) return;
                              if (!network::isShortage(failed)) return self->onHead(failed, mayBeEmptyLine);
                              network::waitToRetry(self->socket_, tcp::socket::wait_read, failed,
                                                   [self, mayBeEmptyLine](error_code) {
                                                     if (self->state_ == State::Reading)
                                                       self->readRestOfHead(mayBeEmptyLine);
                                                   });
                            });
  }

  void onHead(error_code error, bool mayBeEmptyLine) {
    // RFC 9112, 2.2: an empty line ahead of a request is passed over.
    if (error == http::error::bad_method && mayBeEmptyLine && received().substr(0, 2) == "\r\n") {
      buffer_.consume(2);
      return readHead(false);
    }
    if (error) return onRead(error);
    version_ = parser_->get().version();
    if (const auto flaw = flawOf(parser_->get())) {
      keepAlive_ = false;
      return write(server_.plain(flaw->status, flaw->why));
    }
    if (parser_->is_done()) return onRead(error);
    if (parser_->content_length().value_or(0) > kMaxBody) return onRead(http::error::body_limit);
    // A body that has come along costs less to read than a new connection would.
    if (parser_->content_length_remaining().value_or(kMaxBody) > buffer_.size()) {
      if (auto refused = server_.refusesFromHead(parser_->get(), unreadFor())) {
        keepAlive_ = false;
        return write(std::move(*refused));
      }
    }
    if (expectsContinue(parser_->get()) && buffer_.size() == 0) return goOn();
    readBody();
  }

  // The client waits for this before it sends the body.
  void goOn() {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    busy_ = true;
    network::writeAll(socket_, kContinue, [self = shared_from_this()](error_code error) {
      self->busy_ = false;
      if (self->state_ != State::Reading) return;
      if (error) return self->onRead(error);
      self->readBody();
    });
  }

  void readBody() {
    // A trailer's fields are no headers (RFC 9110, 6.5.1), but the parser adds them there.
    if (parser_->chunked()) headers_ = parser_->get().base();
    parser_->eager(true);
    pace_.emplace(now());
    pace_->came(buffer_.size(), now());
    takeBody();
  }

  // What has come of the body.
  void takeBody() {
    error_code error;
    while (!error && !parser_->is_done() && buffer_.size() > 0)
      buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) error = {};
    // A chunk's head without end.
    if (!error && !parser_->is_done() && buffer_.size() > kMaxHeader)
      error = http::error::bad_chunk_extension;
    if (uploading_) return onPiece(error);
    if (error || parser_->is_done()) return onBody(error);
    if (parser_->get().body().size() > kMaxWhole && !holds(parser_->get().body().size()))
      return beginUpload();
    limit(Clock::time_point(std::chrono::microseconds(pace_->due())));
    readMore(kReadOfStream);
  }

  // `why`: the read before came to nothing.
  void readMore(std::size_t most, error_code why = {}) {
    if (std::exchange(readingBody_, true)) return;
    network::waitToRetry(socket_, tcp::socket::wait_read, why,
                         [self = shared_from_this(), most](error_code failed) {
                           self->readingBody_ = false;
                           if (self->state_ != State::Reading && !self->uploading_) return;
                           error_code error = failed;
                           std::size_t size = 0;
                           if (!error)
                             size = network::receiveSome(self->socket_, self->buffer_.prepare(most), error);
                           self->buffer_.commit(size);
                           if (network::isTransient(error)) return self->readMore(most, error);
                           if (error) return self->close();
                           self->pace_->came(size, now());
                           self->takeBody();
                         });
  }

  // Whether a body of more than 64 KiB may go on being held whole.
  bool holds(std::size_t size) {
    const std::uint64_t length = parser_->content_length().value_or(0);
    if (std::max<std::uint64_t>(size, length) > kMaxHeld) return false;
    // A stated length is taken at once, so that the string need not grow: it would hold twice as much.
    const std::size_t wanted = std::max<std::size_t>(size, length);
    while (held_.bytes() < wanted) {
      if (!held_.grow(kHeldStep)) return false;
    }
    parser_->get().body().reserve(wanted);
    return true;
  }

  // ---- A request's body in pieces

  // Hands the request on while its body is still coming in.
  void beginUpload() {
    auto& read = parser_->get();
    // The parser goes on with its own, and a later request must not get these.
    Message message(headers_ ? std::move(*std::exchange(headers_, std::nullopt)) : read.base());
    keepAlive_ = parser_->keep_alive();
    auto upload = std::make_shared<Upload>(server_.budget_);
    if (const auto length = parser_->content_length()) upload->length = *length;
    auto checked = server_.check(std::move(message), milliseconds(0));
    if (auto* answer = std::get_if<Answer>(&checked)) {
      keepAlive_ = false;
      return write(std::move(*answer));
    }
    auto& request = std::get<ClientRequest>(checked);
    upload_ = upload;
    uploading_ = true;
    expiresIn_ = request.expiresIn;
    const std::uint64_t left = parser_->content_length_remaining().value_or(kMaxHeld);
    // The request's time counts from its last byte, which is not known yet.
    request.expiresIn += kUploadSlack * pace_->expected(left) + kUploadSpare;
    request.deadline = Clock::now() + std::chrono::microseconds(request.expiresIn);
    upload->deadline = request.deadline;
    upload->clientGave = std::chrono::microseconds(expiresIn_);
    upload->pipe.onRoom = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) asio::post(self->server_.io_, [self] { self->roomMade(); });
    };
    upload->pipe.push(read.body());
    read.body() = {};
    held_.release();
    request.upload = std::move(upload);
    take(std::move(request));
    if (uploading_) nextOfUpload();
  }

  void onPiece(error_code error) {
    if (error) {
      // The attempt ends without its last byte, so it never runs.
      const auto self = shared_from_this();
      upload_->pipe.fail();
      if (!server_.endRequest(*this)) return close();
      write(server_.flawOfBody(error));
      return server_.over(request_);
    }
    upload_->pipe.push(parser_->get().body());
    parser_->get().body().clear();
    if (!parser_->is_done()) return nextOfUpload();
    uploading_ = false;
    const auto deadline = Clock::now() + std::chrono::microseconds(expiresIn_);
    upload_->deadline = answerBy_ = deadline;
    guard(deadline);
    watch();
    upload_->pipe.end();
  }

  void nextOfUpload() {
    const std::size_t room = upload_->pipe.room();
    if (room == 0) {
      // Held back by us: the client's pace does not count meanwhile.
      deadline_.cancel();
      if (!heldBackSince_) heldBackSince_ = now();
      return lookForLeaver();
    }
    leaver_.cancel();
    if (heldBackSince_) pace_->heldBack(now() - *std::exchange(heldBackSince_, std::nullopt));
    limit(Clock::time_point(std::chrono::microseconds(pace_->due())));
    readMore(std::min(room, kReadOfStream));
  }

  void roomMade() {
    if (uploading_ && heldBackSince_) nextOfUpload();
  }

  void onBody(error_code error) {
    if (headers_) parser_->get().base() = std::move(*std::exchange(headers_, std::nullopt));
    onRead(error);
  }

  std::string_view received() const {
    const auto data = buffer_.data();
    return {static_cast<const char*>(data.data()), data.size()};
  }

  void onRead(error_code error) {
    deadline_.cancel();
    if (error) {
      keepAlive_ = false;
      if (error == asio::error::operation_aborted && server_.effects_.answersAll)
        return write(server_.refusal("refused: the sidecar stops"));
      if (error == http::error::body_limit) return write(server_.flawOfBody(error));
      if (error == http::error::header_limit) return write(server_.plain(431, "header over 16 KiB"));
      if (error == http::error::end_of_stream || error == http::error::partial_message) return close();
      if (error == http::error::bad_version)
        return write(server_.plain(statusOfBadStart(received()), "malformed HTTP: " + error.message()));
      if (error.category() == make_error_code(http::error::bad_method).category())
        return write(server_.flawOfBody(error));
      return close();
    }
    const milliseconds unread = unreadFor();
    // Nobody waits for what stood unread until its client had left.
    if (unread > milliseconds(0) && admission::peerHasLeft(socket_.native_handle())) return close();
    keepAlive_ = parser_->keep_alive();
    auto whole = parser_->release();
    auto checked = server_.check(Message(std::move(whole.base()), std::move(whole.body())), unread);
    if (auto* answer = std::get_if<Answer>(&checked)) return write(std::move(*answer));
    take(std::move(std::get<ClientRequest>(checked)));
  }

  // An answer is owed from here on.
  void take(ClientRequest request) {
    state_ = State::Waiting;
    request_ = request.id;
    answerBy_ = request.deadline;
    arrivedAt_ = request.arrived;
    trace_ = request.trace;
    server_.traces_.open(trace_, now());
    server_.open_.emplace(request_, shared_from_this());
    if (!uploading_) {
      watch();
      guard(request.deadline);
    }
    server_.gate_.offer(std::move(request), !server_.door_.mayWork());
  }

  // Guards the last answer against everything else: a late timer, a full core, a module that is wrong.
  void guard(Clock::time_point deadline) {
    deadline_.set(deadline + kBackstop, [this] {
      const auto self = shared_from_this();
      if (state_ != State::Waiting || !server_.endRequest(*this)) return;
      write(server_.plain(504, "no answer in time"));
      server_.over(request_);
    });
  }

  // How long a request that has been read now had stood unread: in the accept queue, or while the loop was
  // late. Its time counts from its last byte.
  milliseconds unreadFor() {
    const auto waited = admission::sinceLastData(socket_.native_handle());
    return waited < kKernelTick ? milliseconds(0) : waited;
  }

  void limit(Clock::time_point until) {
    deadline_.set(until, [this] {
      const auto self = shared_from_this();
      const bool reads = state_ == State::Idle || state_ == State::Reading || uploading_;
      if (!reads || peek() == asio::error::would_block) return close();
      deadline_.set(Clock::now() + kLastLook, [this] { close(); });
    });
  }

  void hangUp() {
    state_ = State::HangingUp;
    server_.door_.end(place_, now());
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    linger(Clock::now() + kMaxLinger);
    // Once the whole server ends there is nobody to take the core from.
    discard(server_.effects_.answersAll ? kMaxFinalDiscard : kMaxDiscard);
  }

  // Closing over unread input resets the connection, and what the client has not acknowledged is gone.
  void linger(Clock::time_point atMost) {
    deadline_.set(Clock::now() + kLinger, [this, atMost] {
      const auto self = shared_from_this();
      if (Clock::now() >= atMost || !admission::awaitsAcknowledgement(socket_.native_handle()))
        return close();
      linger(atMost);
    });
  }

  void discard(std::size_t atMost) {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(4096),
                            [self = shared_from_this(), atMost](error_code error, std::size_t size) {
                              if (self->state_ != State::HangingUp) return;
                              if (error) return self->close();
                              if (size < atMost) self->discard(atMost - size);
                            });
  }

  Server& server_;
  tcp::socket socket_;
  Deadlines::Deadline deadline_;
  Deadlines::Deadline leaver_;  // the next look for one
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<relay::PiecesBody>> parser_;
  std::optional<relay::Pace> pace_;      // of the body
  relay::Budget::Share held_;            // of a large body that is read whole
  relay::Budget::Share ahead_;           // of what is read ahead of an answer
  std::shared_ptr<Upload> upload_;       // of one that is not
  std::shared_ptr<relay::Pipe> stream_;  // of an answer that is not
  Micros expiresIn_ = 0;                 // of a request whose body streams, from its last byte
  std::optional<Micros> heldBackSince_;  // the client is not read, for want of room
  unsigned version_ = 11;                // of the request's HTTP
  bool uploading_ = false, readingBody_ = false;
  StreamWriter writer_;                 // of an answer that streams
  bool waitsToWrite_ = false;           // for the client to take more of it
  std::optional<RequestHead> headers_;  // as they came, while a chunked body is read
  std::string head_, body_;             // of the answer
  bool last_ = false, wrong_ = false;   // the answer ends the connection; it says that the client erred
  RequestId request_ = 0;
  Clock::time_point arrivedAt_;
  Clock::time_point answerBy_ = Clock::time_point::max();  // of the request that is answered
  std::uint64_t trace_ = 0;
  const admission::Door::Place place_;
  State state_ = State::Idle;
  bool keepAlive_ = true;
  bool watching_ = false;
  bool busy_ = false;    // a head is read, or a 100 written, by an operation that has the buffer
  bool behind_ = false;  // reading ahead has stopped: more may have come, and its close behind that
};

Server::Server(asio::io_context& io, const Config& config, const op::File& file, relay::Budget& budget,
               Callbacks callbacks)
    : io_(io),
      config_(config),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      acceptor_(io),
      timer_(io),
      tendTimer_(io),
      deadlines_(std::make_shared<Deadlines>(io)),
      door_(doorSettings(config, file)),
      gate_(io, config, file,
            {[this](ClientRequest request) { callbacks_.taken(std::move(request)); },
             [this](RequestId id, admission::Verdict why) {
               answer(id, refusal(std::string("refused: ") + admission::nameOf(why)));
             }}),
      statusOn_(file.status) {
  if (config.listener) {
    acceptor_.assign(config.listen.protocol(), *config.listener);
  } else {
    acceptor_.open(config.listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(config.listen);
    acceptor_.listen();
  }
  acceptor_.non_blocking(true);
  // Asio would pass over a connection that ended in the queue and wait for the next one to come, while others
  // stand there already.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
}

Server::~Server() {
  deadlines_->stop();
}

void Server::accept() {
  if (!effects_.accepts || !acceptor_.is_open()) return;
  if (door_.full() && !makeRoom()) return acceptLater();
  if (std::exchange(accepting_, true)) return;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    accepting_ = false;
    // What was accepted counts as taken, also when the acceptor has been closed since.
    if (!error) admit(std::move(socket));
    if (!acceptor_.is_open()) return;
    failedAccepts_ = error ? failedAccepts_ + 1 : 0;
    const bool isShort = isOfTheSystem(error);
    if (isShort || failedAccepts_ >= kMaxFailedAccepts) {
      // Guards against a loop that spins when descriptors have run out.
      if (isShort) makeRoom();
      failedAccepts_ = 0;
      timer_.expires_after(kAcceptPause);
      return waitForRoom();
    }
    accept();
  });
}

// Until a connection closes, or one may give way by the time that it has been silent or idle.
void Server::acceptLater() {
  const Micros time = now();
  timer_.expires_after(std::chrono::microseconds(door_.nextCandidateAt(time) - time));
  waitForRoom();
}

void Server::waitForRoom() {
  waitsForRoom_ = true;
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled && std::exchange(waitsForRoom_, false)) accept();
  });
}

void Server::roomMade() {
  if (!waitsForRoom_ || door_.full()) return;
  waitsForRoom_ = false;
  timer_.cancel();
  accept();
}

void Server::admit(tcp::socket socket) {
  // Guards the core against those that gave up while they stood in the kernel's queue: nobody reads an
  // answer.
  if (admission::peerHasLeft(socket.native_handle())) return;
  const auto place = door_.enter(++lastVisitor_, now());
  const auto session = std::make_shared<Session>(*this, std::move(socket), place);
  sessions_.emplace(place->id, session);
  session->start();
}

// Guards against clients that hold connections and don't use them.
bool Server::makeRoom() {
  for (const auto visitor : door_.candidates(now())) {
    const auto session = sessions_.at(visitor);
    if (!session->givesWay()) continue;
    session->close();
    return true;
  }
  return false;
}

void Server::answer(RequestId id, Answer answer) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    if (answer.stream) answer.stream->abandon();
    return;
  }
  const auto session = found->second;
  endRequest(*session);
  if (gate_.queues() && answer.status == 200) gate_.served(now() - microsOf(session->arrivedAt()));
  session->write(std::move(answer));
}

bool Server::isClientGone(RequestId id) {
  const auto found = open_.find(id);
  return found == open_.end() || found->second->isClientGone();
}

bool Server::endRequest(const Session& session) {
  if (open_.erase(session.request()) == 0) return false;
  traces_.over(session.trace(), now());
  return true;
}

Answer Server::plain(unsigned status, std::string text) const {
  Answer answer;
  answer.status = status;
  answer.body = std::move(text) + "\n";
  return answer;
}

Answer Server::flawOfBody(const error_code& error) const {
  if (error == http::error::body_limit) return plain(413, "body over 32 MiB");
  return plain(400, "malformed HTTP: " + error.message());
}

Answer Server::refusal(std::string text) const {
  Answer answer = plain(503, std::move(text));
  answer.retryAfter = gate_.comeAgain();
  return answer;
}

double Server::openShare() const {
  const std::uint32_t most = config_.site.settings.maxOpen;
  return most == 0 ? 0 : static_cast<double>(open_.size()) / most;
}

void Server::over(RequestId id) {
  if (!gate_.withdraw(id)) callbacks_.over(id);
}

void Server::adopt(const op::File& file) {
  statusOn_ = file.status;
  door_.adopt(doorSettings(config_, file));
  gate_.adopt(file);
}

std::optional<Answer> Server::refusesFromHead(const RequestHead& head, milliseconds unread) const {
  if (!gate_.refusesFromHead()) return std::nullopt;
  const auto qos = header(head, "X-Qos");
  const auto named = qos ? config_.site.classes.find(*qos) : config_.site.classes.end();
  const auto expires = toNumber<std::int64_t>(header(head, "X-Expires-In-Ms").value_or(""));
  // Whatever is wrong with it gets its answer when it has been read.
  if (named == config_.site.classes.end() || !expires || *expires < 0 || *expires > kMaxExpiresInMs)
    return std::nullopt;
  if (!gate_.hopeless(named->second, (*expires - unread.count()) * 1000)) return std::nullopt;
  return refusal("refused: too late");
}

bool Server::full() const {
  const std::uint32_t most = config_.site.settings.maxOpen;
  return most > 0 && open_.size() >= most;
}

std::variant<ClientRequest, Answer> Server::check(Message message, milliseconds unread) {
  toOriginForm(message);
  const std::string_view target(message.target().data(), message.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const bool isGet = message.method() == http::verb::get;
  if (path == "/ready") {
    if (!isGet) return plain(405, "GET only");
    return effects_.ready ? plain(200, "ready") : plain(503, "not ready");
  }
  const bool level = statusOn_.level && path == "/status/level";
  if (level || (statusOn_.peers && path == "/status/peers")) {
    if (!isGet) return plain(405, "GET only");
    Answer answer = plain(200, level ? callbacks_.status() : callbacks_.peers());
    answer.contentType = "application/json";
    return answer;
  }
  if (!effects_.takes) return refusal("refused: clients are sent away");
  if (repeatsAHeader(message)) return plain(400, "a header stands there twice");
  const settings::Site& site = config_.site;
  const auto parts = settings::split(path.substr(path.empty() ? 0 : 1), '/');
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
  if (!traces_.isFree(*id, now())) return plain(400, "X-Trace-Id is or was lately another request's");
  request.trace = *id;

  const auto expires = toNumber<std::int64_t>(header(message, "X-Expires-In-Ms").value_or(""));
  if (!expires || *expires < 0 || *expires > kMaxExpiresInMs)
    return plain(400, "X-Expires-In-Ms is missing or no time in milliseconds");
  request.expiresIn = std::max<Micros>(0, (*expires - unread.count()) * 1000);
  request.deadline = Clock::now() + std::chrono::microseconds(request.expiresIn);

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
  if (parts.size() > 1) request.key = settings::identity(parts.back());
  request.resent = header(message, "X-Second-Try").value_or("") == "1";
  request.arrived = Clock::now() - unread;
  if (unread > milliseconds(0) && request.expiresIn == 0)
    return refusal("refused: its time was over when it was read");
  if (gate_.refusesFromHead() && gate_.hopeless(request.requestClass, request.expiresIn))
    return refusal("refused: too late");
  if (full() || (!gate_.queues() && !door_.mayWork())) return refusal("refused: too many open requests");
  request.id = ++lastId_;
  request.message = std::make_shared<const Message>(std::move(message));
  return request;
}

void Server::follow(const lifecycle::Effects& effects) {
  const bool accepted = std::exchange(effects_, effects).accepts;
  if (effects.accepts) {
    if (!accepted) accept();
  } else if (accepted) {
    closeAcceptor();
  }
  if (effects.closesIdle && !tending_) tend();
}

// Closes what is idle while the server drains or stops, and tells when nothing is left to answer.
void Server::tend() {
  tending_ = effects_.closesIdle;
  if (!tending_) return;
  const Micros time = now();
  // A client whose request crosses this sends it once more on a new connection.
  const auto sessions = sessions_;
  for (const auto& [id, session] : sessions) {
    if (session->settled(time) && session->mayCloseIdle()) {
      session->close();
    } else if (effects_.answersAll) {
      session->answerFinally();
    }
  }
  if (effects_.mayEnd) {
    // One on which something has come by now is about to be read.
    const bool allIdle =
        std::all_of(sessions_.begin(), sessions_.end(), [](const auto& one) { return one.second->quiet(); });
    if (allIdle || effects_.mustEnd) {
      const auto left = sessions_;
      for (const auto& [id, session] : left) session->closeFinally();
      return callbacks_.ended();
    }
  }
  tendTimer_.expires_after(kTendEvery);
  tendTimer_.async_wait([this](error_code cancelled) {
    if (!cancelled) tend();
  });
}

void Server::closeAcceptor() {
  // Whatever stands in the queue counts as taken, unless another process reads it too.
  // One that has ended there, or the want of a descriptor, says nothing of those behind.
  for (int failed = 0; !config_.listener && failed < kMaxFailedAccepts;) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) break;
    failed = error ? failed + 1 : 0;
    if (isOfTheSystem(error)) makeRoom();
    if (!error) admit(std::move(socket));
  }
  // Closed, and never shut down: an inherited one stays open for the other process.
  error_code ignored;
  acceptor_.close(ignored);
  waitsForRoom_ = false;
}

}  // namespace ivypost
