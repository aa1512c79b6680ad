// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// The states of a client connection: waiting for requests and answers, and closing.
#include "client_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "admission/tcp_state.h"
#include "framing.h"
#include "network/nonblocking_io.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// The session itself answers 504 if the decision module has not answered this long after the request's
// deadline.
constexpr milliseconds kLateAnswerGrace{10};
// After the last answer, what the client still sends is read and discarded for this time: closing at once
// would reset the connection and could lose the answer. At most kMaxDiscard bytes, to bound the processor
// time.
constexpr milliseconds kLingerTime{200};
constexpr std::size_t kMaxDiscard = 64UL * 1024;
// The limit of discarded bytes per connection while the server stops: the most unread bytes that the kernel
// can hold for a connection.
constexpr std::size_t kMaxFinalDiscard = 8UL * 1024 * 1024;
// The longest wait for a client to acknowledge all of its last answer: a client that reads nothing must not
// hold its slot or delay the exit of the process.
constexpr milliseconds kMaxLingerTime{1000};
// Bytes of input that are read ahead while a request waits for its answer, independently of the budget; with
// budget, up to BodyBuffering::kMaxBuffered. Beyond that the client's close may be queued in the client's own
// kernel, where it can't be seen: no attempt is begun for such a request, and the connection is polled for a
// close at kClosePollInterval.
constexpr std::size_t kUnbudgetedReadAhead = 16UL * 1024;
constexpr milliseconds kClosePollInterval{100};
constexpr std::size_t kReadSize = 4096;
// When the time for a request is up but unread data has been received, the request may be complete: it gets
// this much more time.
constexpr milliseconds kUnreadDataGrace{10};
// Microseconds. A new connection that has sent nothing does not count as idle before this: its first request
// may be on its way.
constexpr Micros kFirstRequestGrace = 300'000;

}  // namespace

ClientSession::ClientSession(ClientSessionHost& host, const Resources& resources, tcp::socket socket,
                             admission::ConnectionLimiter::Slot slot)
    : host_(host),
      io_(resources.io),
      budget_(resources.budget),
      connectionLimiter_(resources.connectionLimiter),
      socket_(std::move(socket)),
      deadline_(resources.deadlines),
      closePoll_(resources.deadlines),
      buffering_(resources.budget, kStreamingThreshold),
      readAheadShare_(resources.budget),
      slot_(slot) {}

void ClientSession::start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  setDeadline(Clock::now() + kMaxRequestTime);
  waitForInput();
}

bool ClientSession::isIdle() {
  if (state_ != State::Idle || buffer_.size() > 0) return false;
  return peek() == asio::error::would_block;
}

bool ClientSession::mayCountAsIdle(Micros time) const {
  return slot_->requests > 0 || time - slot_->since >= kFirstRequestGrace;
}

bool ClientSession::mayBeEvicted() {
  if (state_ == State::HangingUp) return admission::isAllAcknowledged(socket_.native_handle());
  return mayCloseIdle();
}

bool ClientSession::mayCloseIdle() {
  return isIdle() && !admission::hasUnacknowledgedData(socket_.native_handle());
}

bool ClientSession::isClientGone() {
  const bool left =
      admission::hasPeerClosed(socket_.native_handle()) || (!isUploading_ && !resumeReadAhead());
  if (!left && (isUploading_ || !mayHaveUnread_)) return false;
  asio::post(io_, [self = shared_from_this(), id = request_, left] {
    if (self->state_ != State::Waiting || self->request_ != id) return;
    if (left) return self->close();
    if (!self->host_.endRequest(*self)) return;
    self->write(textAnswer(502, "too much was sent ahead of the answer"));
    self->host_.cancelRequest(id);
  });
  return true;
}

void ClientSession::sendFinalAnswer() {
  const auto self = shared_from_this();
  switch (state_) {
    case State::Idle:
      return resume();
    case State::Reading: {
      keepAlive_ = false;
      if (!isBufferInUse_) return write(host_.rejection("refused: the sidecar stops"));
      error_code ignored;
      socket_.cancel(ignored);  // onRead() writes the answer
      return;
    }
    case State::Waiting:
      if (!host_.endRequest(*this)) return;
      write(textAnswer(504, "stopping"));
      return host_.cancelRequest(request_);
    case State::Writing:
    case State::HangingUp:
    case State::Closed:
      return;
  }
}

void ClientSession::closeAtExit() {
  const bool owesAnswer = state_ == State::Reading || (state_ == State::Idle && !isIdle());
  error_code ignored;
  if (owesAnswer) {
    const std::string text = formatLastResponse(host_.rejection("refused: the sidecar stops"));
    socket_.write_some(asio::buffer(text), ignored);
  }
  if (responsePipe_) {
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

void ClientSession::detach() {
  state_ = State::Closed;
  isUploading_ = false;
  deadline_.cancel();
  closePoll_.cancel();
  responsePipe_.reset();
  error_code ignored;
  socket_.close(ignored);
}

void ClientSession::close() {
  if (state_ == State::Closed) return;
  const bool waiting = state_ == State::Waiting;
  state_ = State::Closed;
  deadline_.cancel();
  closePoll_.cancel();
  error_code ignored;
  socket_.close(ignored);
  if (upload_) upload_->pipe.fail();
  if (const auto stream = std::exchange(responsePipe_, nullptr)) stream->abandon();
  const auto self = shared_from_this();  // onClosed() may drop the last other reference
  host_.onClosed(slot_);
  if (waiting && host_.endRequest(*this)) host_.cancelRequest(request_);
}

error_code ClientSession::peek() {
  char byte = 0;
  error_code error;
  network::receiveSome(socket_, asio::buffer(&byte, 1), error, tcp::socket::message_peek);
  return error;
}

void ClientSession::waitForInput(error_code why) {
  if (isWaitingForInput_) return;
  isWaitingForInput_ = true;
  network::waitToRetry(socket_, tcp::socket::wait_read, why, [self = shared_from_this()](error_code) {
    self->isWaitingForInput_ = false;
    if (self->isUploading_ || (self->state_ != State::Idle && self->state_ != State::Waiting)) return;
    const error_code error = self->readAhead();
    if (error && !network::isShortage(error)) self->mayHaveUnread_ = false;  // the kernel holds nothing more
    if (network::isTransient(error)) return self->waitForInput(error);
    if (error) return self->close();
    if (self->state_ == State::Idle) return self->read();
    if (self->mayReadAhead()) return self->waitForInput();
    self->mayHaveUnread_ = true;
    self->pollForClose();
  });
}

bool ClientSession::mayReadAhead() {
  if (buffer_.size() < kUnbudgetedReadAhead) return true;
  while (readAheadShare_.bytes() < buffer_.size()) {
    if (buffer_.size() >= streaming::BodyBuffering::kMaxBuffered ||
        !readAheadShare_.grow(streaming::BodyBuffering::kBudgetStep))
      return false;
  }
  return true;
}

bool ClientSession::resumeReadAhead() {
  while (mayHaveUnread_ && mayReadAhead()) {
    const error_code error = readAhead();
    if (network::isShortage(error)) return true;
    if (error) mayHaveUnread_ = false;
    if (error && !network::isTransient(error)) return false;
  }
  return true;
}

void ClientSession::pollForClose() {
  closePoll_.set(Clock::now() + kClosePollInterval, [this] {
    const auto self = shared_from_this();
    if (state_ != State::Waiting) return;
    if (admission::hasPeerClosed(socket_.native_handle())) return close();
    if (!isUploading_ && mayReadAhead()) return waitForInput();
    pollForClose();
  });
}

error_code ClientSession::readAhead() {
  error_code error;
  const std::size_t most = buffer_.size() < kUnbudgetedReadAhead ? kReadSize : kStreamReadSize;
  buffer_.commit(network::receiveSome(socket_, buffer_.prepare(most), error));
  return error;
}

void ClientSession::resume() {
  if (state_ != State::Idle) return;
  if (buffer_.size() > 0) return read();
  waitForInput();
}

void ClientSession::beginWaiting(ClientRequest request) {
  state_ = State::Waiting;
  request_ = request.id;
  responseDeadline_ = request.deadline;
  arrivedAt_ = request.arrived;
  trace_ = request.trace;
  host_.openRequest(shared_from_this());
  if (!isUploading_) {
    waitForInput();
    armAnswerTimeout(request.deadline);
  }
  host_.forward(std::move(request));
}

void ClientSession::armAnswerTimeout(Clock::time_point deadline) {
  deadline_.set(deadline + kLateAnswerGrace, [this] {
    const auto self = shared_from_this();
    if (state_ != State::Waiting || !host_.endRequest(*this)) return;
    write(textAnswer(504, "no answer in time"));
    host_.cancelRequest(request_);
  });
}

void ClientSession::setDeadline(Clock::time_point until) {
  deadline_.set(until, [this] {
    const auto self = shared_from_this();
    const bool reads = state_ == State::Idle || state_ == State::Reading || isUploading_;
    if (!reads || peek() == asio::error::would_block) return close();
    deadline_.set(Clock::now() + kUnreadDataGrace, [this] { close(); });
  });
}

void ClientSession::hangUp() {
  state_ = State::HangingUp;
  connectionLimiter_.beginClosing(slot_, now());
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  linger(Clock::now() + kMaxLingerTime);
  // While the server stops, no other client needs the processor.
  discard(host_.effects().sendsFinalResponses ? kMaxFinalDiscard : kMaxDiscard);
}

void ClientSession::linger(Clock::time_point atMost) {
  deadline_.set(Clock::now() + kLingerTime, [this, atMost] {
    const auto self = shared_from_this();
    if (Clock::now() >= atMost || !admission::hasUnacknowledgedData(socket_.native_handle())) return close();
    linger(atMost);
  });
}

void ClientSession::discard(std::size_t atMost) {
  buffer_.clear();
  socket_.async_read_some(buffer_.prepare(4096),
                          [self = shared_from_this(), atMost](error_code error, std::size_t size) {
                            if (self->state_ != State::HangingUp) return;
                            if (error) return self->close();
                            if (size < atMost) self->discard(atMost - size);
                          });
}

}  // namespace ivypost
