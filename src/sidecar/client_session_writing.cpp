// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// Writing answers, complete or streamed.
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "client_session.h"
#include "network/nonblocking_io.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
// An answer must be written within kResponseTime and by its request's deadline, after which the client no
// longer waits. An answer that begins close to the deadline or after it still gets kLateResponseTime.
constexpr milliseconds kResponseTime{5000};
constexpr milliseconds kLateResponseTime{200};
// The pause before reading from a client again after a 4xx answer: a client that repeats a faulty request at
// full speed must not take the processor from the others.
constexpr milliseconds kErrorPause{100};
// A client that accepts no byte of a streamed answer for this time counts as stalled, and is closed.
constexpr milliseconds kClientStallTime{10'000};

}  // namespace

bool ClientSession::hasNextRequest() {
  if (buffer_.size() == 0) readAhead();
  return buffer_.size() > 0;
}

void ClientSession::write(Answer answer) {
  // What is answered while it is read has been recorded already.
  if (state_ == State::Waiting && answer.status != kOk) recordAnswer(answer);
  state_ = State::Writing;
  // The rest of an unfinished upload is not read: the client is answered at once and the connection closed.
  if (isUploading_) keepAlive_ = false;
  isUploading_ = false;
  closesAfterResponse_ =
      !keepAlive_ ||
      (!(host_.effects().keepsConnections && connectionLimiter_.keepsAlive(slot_)) && !hasNextRequest());
  isClientError_ = answer.status / 100 == 4;
  ResponseHead head = formatResponseHead(answer, httpVersion_, closesAfterResponse_);
  closesAfterResponse_ = head.closesConnection;
  if (answer.stream) return writeStream(std::move(head), std::move(answer.stream));
  responseHead_ = std::move(head.text);
  responseBody_ = std::move(answer.body);
  responseShare_ = std::move(answer.bodyShare);
  // Nearly always the kernel accepts the complete answer at once.
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(responseHead_), asio::buffer(responseBody_)};
  error_code error;
  const std::size_t sent = network::writeSome(socket_, parts, error);
  if (!error) return onWritten();
  if (!network::isTransient(error)) {
    // The connection is closed from the event loop, since the caller may still be using this session.
    asio::post(io_, [self = shared_from_this()] { self->close(CloseReason::WriteFailed); });
    return;
  }
  keepUnwritten(sent);
  setDeadline(
      std::min(Clock::now() + kResponseTime, std::max(responseDeadline_, Clock::now() + kLateResponseTime)));
  writeRest(error);
}

void ClientSession::keepUnwritten(std::size_t sent) {
  const std::size_t ofHead = std::min(sent, responseHead_.size());
  std::string rest;
  rest.reserve(responseHead_.size() + responseBody_.size() - sent);
  rest.append(responseHead_, ofHead).append(responseBody_, sent - ofHead);
  responseHead_ = std::move(rest);
  responseBody_ = {};
}

void ClientSession::writeRest(error_code why) {
  network::waitToRetry(socket_, tcp::socket::wait_write, why, [self = shared_from_this()](error_code failed) {
    if (self->state_ != State::Writing) return;
    if (failed) return self->close(CloseReason::WriteFailed);
    network::writeAll(self->socket_, self->responseHead_, [self](error_code error) {
      if (self->state_ != State::Writing) return;
      if (error) return self->close(CloseReason::WriteFailed);
      self->onWritten();
    });
  });
}

void ClientSession::writeStream(ResponseHead head, std::shared_ptr<streaming::Pipe> body) {
  responsePipe_ = std::move(body);
  writer_.begin(std::move(head.text), head.isChunked);
  responsePipe_->onData = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      asio::post(self->io_, [self] {
        if (self->responsePipe_ && !self->isWaitingToWrite_) self->writeStreamed();
      });
    }
  };
  // The body is written from the event loop, since the caller is still processing what it has read of the
  // answer.
  asio::post(io_, [self = shared_from_this()] {
    if (self->responsePipe_ && !self->isWaitingToWrite_) self->writeStreamed();
  });
}

void ClientSession::writeStreamed() {
  switch (writer_.step(socket_, *responsePipe_)) {
    case StreamWriter::Step::Blocked:
      return waitToWriteStreamed();
    case StreamWriter::Step::Starved:
      return deadline_.cancel();  // the upstream connection has its own timer
    case StreamWriter::Step::Failed: {
      // Resets the connection, so that the client detects the failure even if the close ends the answer.
      error_code ignored;
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      return close(CloseReason::AnswerIncomplete);
    }
    case StreamWriter::Step::Broken:
      return close(CloseReason::WriteFailed);
    case StreamWriter::Step::Done:
      responsePipe_.reset();
      return onWritten();
  }
}

void ClientSession::waitToWriteStreamed() {
  isWaitingToWrite_ = true;
  setDeadline(Clock::now() + kClientStallTime);
  writer_.wait(socket_, [self = shared_from_this()](error_code error) {
    self->isWaitingToWrite_ = false;
    if (!self->responsePipe_ || self->state_ != State::Writing) return;
    if (error) return self->close(CloseReason::WriteFailed);
    self->writeStreamed();
  });
}

void ClientSession::onWritten() {
  deadline_.cancel();
  closePoll_.cancel();
  parser_.reset();
  responseHead_ = {};
  responseBody_ = {};
  responseShare_.reset();
  upload_.reset();
  buffering_.release();
  headShare_.release();
  shrinkBuffer();
  responseDeadline_ = Clock::time_point::max();
  if (closesAfterResponse_) return hangUp();
  state_ = State::Idle;
  connectionLimiter_.beginIdle(slot_, now());
  isPausing_ = isClientError_;
  if (isPausing_) return deadline_.set(Clock::now() + kErrorPause, [this] { resume(); });
  // At most one request of a connection is handled per turn of the event loop, so that a client that
  // pipelines many requests does not starve the other connections.
  if (buffer_.size() == 0) return waitForInput();
  asio::post(io_, [self = shared_from_this()] { self->resume(); });
}

}  // namespace ivypost
