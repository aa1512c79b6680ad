// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// The states of a client connection: waiting for requests and answers, and closing.
#include "client_session.h"

#include <algorithm>
#include <array>
#include <bit>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <tuple>
#include <utility>

#include "admission/tcp_state.h"
#include "framing.h"
#include "last_response.h"
#include "memory_plan.h"
#include "network/nonblocking_io.h"
#include "request_validator.h"

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
// With budget, up to BodyBuffering::kMaxBuffered bytes of input are read ahead while a request waits for its
// answer. With more than kMaxUnread in the kernel beyond that, the client's close may be queued in the
// client's own kernel, where it can't be seen: no attempt is begun for such a request. The connection is
// polled for a close at kClosePollInterval.
constexpr std::size_t kMaxUnread = 16UL * 1024;
constexpr milliseconds kClosePollInterval{100};
constexpr milliseconds kMinPollInterval{1};
// Input is read ahead only while this fraction of the buffer is free: a read may move all of its contents.
constexpr std::size_t kReadAheadDivisor = 4;
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
      buffering_(resources.budget),
      bufferShare_(resources.budget),
      headShare_(resources.budget),
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
  if (!left && (isUploading_ || !mayHideClose())) return false;
  asio::post(io_, [self = shared_from_this(), id = request_, left] {
    if (self->state_ != State::Waiting || self->request_ != id) return;
    if (left) return self->close(CloseReason::ClientLeft);
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
      if (!isBufferInUse_) return answerUnread(host_.rejection("refused: the sidecar stops"));
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
  if (responsePipe_) {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    return close(CloseReason::Exit);
  }
  const Answer answer = host_.rejection("refused: the sidecar stops");
  if (owesAnswer) recordAnswer(answer);
  sendLastResponse(socket_, owesAnswer ? formatLastResponse(answer) : std::string());
  close(CloseReason::Exit);
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

void ClientSession::close(CloseReason reason) {
  if (state_ == State::Closed) return;
  recordClose(reason);
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

std::uint64_t ClientSession::currentTraceId() const {
  if (state_ != State::Reading) return trace_;
  return parser_ && parser_->is_header_done() ? traceIdOf(parser_->get()) : 0;
}

void ClientSession::recordAnswer(const Answer& answer) const {
  const bool isAccepted = state_ == State::Waiting;
  const auto elapsed = isAccepted ? Clock::now() - arrivedAt_ : Clock::duration::zero();
  host_.record(eventOf(answer, currentTraceId(),
                       std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count()));
}

void ClientSession::recordClose(CloseReason reason) const {
  const bool isPending = state_ == State::Reading || state_ == State::Waiting || state_ == State::Writing;
  if (!isPending && reason != CloseReason::Evicted && reason != CloseReason::Lingered) return;
  RequestEvent event;
  event.kind = reason == CloseReason::Evicted ? RequestEvent::Kind::Evicted : RequestEvent::Kind::Closed;
  event.traceId = currentTraceId();
  event.reason = nameOf(reason);
  if (state_ == State::Waiting || state_ == State::Writing)
    event.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - arrivedAt_).count();
  host_.record(std::move(event));
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
    // What is buffered is handled first, and resume() follows a pause.
    if (self->state_ == State::Idle && (self->buffer_.size() > 0 || self->isPausing_)) return;
    if (!self->mayReadAhead()) return self->stopReadingAhead();
    const error_code error = self->readAhead();
    if (error && !network::isShortage(error)) self->mayHaveUnread_ = false;  // the kernel holds nothing more
    if (network::isTransient(error)) return self->waitForInput(error);
    if (error) return self->close(CloseReason::ClientLeft);
    if (self->state_ == State::Idle) return self->read();
    self->waitForInput();
  });
}

std::size_t ClientSession::reserveRead(std::size_t most) {
  std::size_t limit = ClientConnectionMemory::kReadBuffer + bufferShare_.bytes();
  if (buffer_.size() >= limit) {
    const std::size_t doubled = std::min(std::bit_ceil(buffer_.size() + 1), most);
    if (doubled <= buffer_.size()) return 0;
    if (!bufferShare_.growTo(doubled - ClientConnectionMemory::kReadBuffer)) return 0;
    limit = doubled;
  }
  buffer_.max_size(limit);  // otherwise the buffer may double its capacity beyond that
  return std::min(limit - buffer_.size(), kStreamReadSize);
}

void ClientSession::growBuffer() {
  const std::size_t limit = ClientConnectionMemory::kReadBuffer + bufferShare_.bytes();
  const std::size_t doubled = std::min(2 * limit, kStreamReadSize);
  if (doubled > limit) std::ignore = bufferShare_.growTo(doubled - ClientConnectionMemory::kReadBuffer);
}

void ClientSession::shrinkBuffer() {
  if (buffer_.capacity() <= ClientConnectionMemory::kReadBuffer) return bufferShare_.release();
  // Not for each part that is used up, since shrinking copies the rest.
  if (buffer_.size() > buffer_.capacity() / kReadAheadDivisor) return;
  buffer_.shrink_to_fit();
  const std::size_t capacity = std::max(buffer_.capacity(), ClientConnectionMemory::kReadBuffer);
  bufferShare_.shrinkTo(capacity - ClientConnectionMemory::kReadBuffer);
}

bool ClientSession::mayReadAhead() {
  const std::size_t limit = ClientConnectionMemory::kReadBuffer + bufferShare_.bytes();
  if (buffer_.size() <= limit - limit / kReadAheadDivisor) return true;
  const std::size_t doubled = std::min(2 * limit, streaming::BodyBuffering::kMaxBuffered);
  return doubled > limit && bufferShare_.growTo(doubled - ClientConnectionMemory::kReadBuffer);
}

void ClientSession::stopReadingAhead() {
  mayHaveUnread_ = true;
  pollForClose();
}

bool ClientSession::mayHideClose() {
  if (!mayHaveUnread_) return false;
  error_code error;
  return socket_.available(error) > kMaxUnread || error;
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
  const auto time = Clock::now();
  const auto next = time + kClosePollInterval;
  const auto end = uploadWrittenAt_.value_or(next) + std::chrono::microseconds(expiresIn_);
  closePoll_.set(isUploading_ ? std::clamp(end, time + kMinPollInterval, next) : next, [this] {
    const auto self = shared_from_this();
    if (state_ != State::Waiting) return;
    if (admission::hasPeerClosed(socket_.native_handle())) return close(CloseReason::ClientLeft);
    if (isUploading_ && isUploadLate()) return answerLate();
    if (!isUploading_ && mayReadAhead()) return waitForInput();
    pollForClose();
  });
}

error_code ClientSession::readAhead() {
  error_code error;
  const std::size_t most = reserveRead(streaming::BodyBuffering::kMaxBuffered);
  buffer_.commit(network::receiveSome(socket_, buffer_.prepare(most), error));
  return error;
}

void ClientSession::resume() {
  isPausing_ = false;
  if (state_ != State::Idle) return;
  if (buffer_.size() > 0) return read();
  waitForInput();
}

// A request keeps what it has taken from the byte budget as long as an attempt may need it, which may be
// longer than its client does.
void ClientSession::keepShares(ClientRequest& request) {
  if (headShare_.bytes() + buffering_.share().bytes() == 0) return;
  struct Kept {
    Kept(std::shared_ptr<const Message> one, const streaming::ByteBudget& budget)
        : message(std::move(one)), share(budget) {}
    std::shared_ptr<const Message> message;
    streaming::ByteBudget::Share share;
  };
  auto kept = std::make_shared<Kept>(std::move(request.message), budget_);
  kept->share.takeFrom(headShare_);
  kept->share.takeFrom(buffering_.share());
  const Message* const message = kept->message.get();
  request.message = {std::move(kept), message};
}

void ClientSession::beginWaiting(ClientRequest request) {
  state_ = State::Waiting;
  request_ = request.id;
  responseDeadline_ = request.deadline;
  arrivedAt_ = request.arrived;
  trace_ = request.trace;
  keepShares(request);
  host_.openRequest(shared_from_this());
  if (!isUploading_) {
    waitForInput();
    armAnswerTimeout(request.deadline);
  }
  host_.forward(std::move(request));
}

void ClientSession::armAnswerTimeout(Clock::time_point deadline) {
  deadline_.set(deadline + kLateAnswerGrace, [this] { answerLate(); });
}

void ClientSession::answerLate() {
  const auto self = shared_from_this();
  const auto late = request_;
  // If the event loop was held up, this may run ahead of the decision whether the request can be rejected.
  host_.decideOverdue();
  if (request_ != late || state_ != State::Waiting || !host_.endRequest(*this)) return;
  if (upload_) upload_->pipe.fail();
  if (host_.withdrawQueued(request_))
    return write(host_.rejection("refused: its time was over in the queue"));
  write(textAnswer(504, "no answer in time"));
  host_.cancelRequest(request_);
}

void ClientSession::setDeadline(Clock::time_point until) {
  deadline_.set(until, [this] {
    const auto self = shared_from_this();
    const bool reads = state_ == State::Idle || state_ == State::Reading || isUploading_;
    const CloseReason reason = reads ? CloseReason::RequestTimeout : CloseReason::ResponseTimeout;
    if (!reads || peek() == asio::error::would_block) return close(reason);
    deadline_.set(Clock::now() + kUnreadDataGrace, [this, reason] { close(reason); });
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
    if (!admission::hasUnacknowledgedData(socket_.native_handle())) return close(CloseReason::Idle);
    if (Clock::now() >= atMost) return close(CloseReason::Lingered);
    linger(atMost);
  });
}

void ClientSession::discard(std::size_t atMost) {
  buffer_.clear();
  shrinkBuffer();
  socket_.async_read_some(buffer_.prepare(ClientConnectionMemory::kReadBuffer),
                          [self = shared_from_this(), atMost](error_code error, std::size_t size) {
                            if (self->state_ != State::HangingUp) return;
                            if (error) return self->close(CloseReason::Idle);
                            if (size < atMost) self->discard(atMost - size);
                          });
}

}  // namespace ivypost
