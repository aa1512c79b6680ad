// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/upstream_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "framing.h"
#include "network/nonblocking_io.h"
#include "upstream/upstream_request.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using balancer::Outcome;
using boost::system::error_code;
using std::chrono::milliseconds;

// What is read of an answer at once.
constexpr std::size_t kReadAtOnce = 8UL * 1024;
// An upstream that takes nothing of a large body for so long does not read it.
constexpr milliseconds kUploadStallTimeout{2000};
// An answer that streams is given up when its upstream gives nothing more for so long.
constexpr milliseconds kAnswerStallTimeout{10'000};

}  // namespace

Outcome UpstreamExchange::timeoutOutcome() const {
  return job_->isWritten ? Outcome::Timeout : Outcome::ConnectFailed;
}

std::shared_ptr<UpstreamJob> UpstreamExchange::abandon() {
  auto job = std::exchange(job_, nullptr);
  isUploading_ = false;
  if (const auto answer = std::exchange(answer_, nullptr)) answer->fail();
  return job;
}

std::shared_ptr<UpstreamExchange> UpstreamExchange::keptAlive() {
  return {connection_.self(), this};
}

// ---- The request ------------------------------------------------------------------------------------------

void UpstreamExchange::start() {
  const auto now = Clock::now();
  const UpstreamJob& job = *job_;
  if (now >= job.deadline || now >= job.writeBy) return connection_.fail(Outcome::ConnectFailed);
  if (!job.attempt) {
    text_ = probeHead();
    return write({}, now);
  }
  const Message& message = *job.attempt->message;
  const Upload* const upload = job.attempt->upload.get();
  text_ = attemptHead(message, upload, timeLeft(job.deadline, upload, now));
  if (upload != nullptr) return beginUpload();
  write(message.body(), now);
}

// The body goes from where it is, as far as the kernel takes it at once.
void UpstreamExchange::write(std::string_view body, Clock::time_point now) {
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(text_),
                                                   asio::buffer(body.data(), body.size())};
  error_code error;
  const std::size_t sent = network::writeSome(connection_.socket(), parts, error);
  if (sent == asio::buffer_size(parts)) return onWritten();
  if (!network::isTransient(error)) return connection_.fail(Outcome::ConnectFailed);
  rest_ = body;
  dropSent(sent);
  // A repeat's last byte has to go out within the window too. And a body that the kernel can't take at once
  // waits for an upstream that reads, which is part of coming up.
  auto until = std::min(job_->deadline, job_->writeBy);
  if (body.size() > kStreamingThreshold) {
    until = std::min(until, now + kUploadStallTimeout);
  } else if (body.size() > kSendBufferSize) {
    until = std::min(until, now + context_.connectTimeout);
  }
  connection_.setDeadline(until);
  awaitWritable(error);
}

void UpstreamExchange::dropSent(std::size_t sent) {
  const std::size_t ofHead = std::min(sent, text_.size());
  text_.erase(0, ofHead);
  rest_.remove_prefix(sent - ofHead);
}

// `why`: the write before came to no end.
void UpstreamExchange::awaitWritable(error_code why) {
  const auto ready = [self = keptAlive(), job = job_](error_code error) {
    if (self->job_ == job) self->writeRest(error);
  };
  network::waitToRetry(connection_.socket(), tcp::socket::wait_write, why, ready);
}

// What the kernel has not taken yet. Each piece is handed over from here and counted in the same breath: did
// the loop write it by itself, a time-out could come between the last byte and the news of it, and a request
// that may run would be taken for one that never did.
void UpstreamExchange::writeRest(error_code error) {
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(text_),
                                                   asio::buffer(rest_.data(), rest_.size())};
  const std::size_t size = asio::buffer_size(parts);
  const std::size_t sent = error ? 0 : network::writeSome(connection_.socket(), parts, error);
  if (sent == size) return onWritten();
  if (!network::isTransient(error)) return connection_.fail(Outcome::ConnectFailed);
  dropSent(sent);
  // It reads on, if slowly.
  if (job_->attempt && sent > 0 && job_->attempt->message->body().size() > kStreamingThreshold)
    connection_.setDeadline(std::min({job_->deadline, job_->writeBy, Clock::now() + kUploadStallTimeout}));
  awaitWritable(error);
}

// The body goes on as it comes in.
void UpstreamExchange::beginUpload() {
  isUploading_ = true;
  Upload& body = *job_->attempt->upload;
  writer_.begin(std::move(text_), !body.length);
  job_->streamsSince = Clock::now();
  body.pipe.onData = [weak = std::weak_ptr<UpstreamExchange>(keptAlive())] {
    const auto self = weak.lock();
    if (!self) return;
    asio::post(self->context_.io, [self] {
      if (self->job_ && self->isUploading_ && !self->awaitsUpload_) self->upload();
    });
  };
  beginReading();  // an answer may come before the body's end
  upload();
}

void UpstreamExchange::upload() {
  switch (writer_.step(connection_.socket(), job_->attempt->upload->pipe)) {
    case StreamWriter::Step::Blocked:
      return awaitUpload();
    case StreamWriter::Step::Starved:
      return connection_.clearDeadline();  // the client's side has its own
    case StreamWriter::Step::Failed:
    case StreamWriter::Step::Broken:
      return connection_.fail(Outcome::ConnectFailed);
    case StreamWriter::Step::Done:
      return onUploaded();
  }
}

void UpstreamExchange::awaitUpload() {
  awaitsUpload_ = true;
  // An upstream that takes nothing more is as one that does not come up.
  connection_.setDeadline(Clock::now() + kUploadStallTimeout);
  writer_.wait(connection_.socket(), [self = keptAlive()](error_code error) {
    self->awaitsUpload_ = false;
    if (!self->job_ || !self->isUploading_) return;
    if (error) return self->connection_.fail(Outcome::ConnectFailed);
    self->upload();
  });
}

void UpstreamExchange::onUploaded() {
  isUploading_ = false;
  job_->transfer += Clock::now() - job_->streamsSince;
  job_->deadline = job_->attempt->upload->deadline;
  connection_.setDeadline(job_->deadline);
  job_->isWritten = true;
  context_.host.onWritten(job_->attempt->id);
}

void UpstreamExchange::onWritten() {
  connection_.setDeadline(job_->deadline);
  job_->isWritten = true;
  if (job_->attempt) context_.host.onWritten(job_->attempt->id);
  beginReading();
}

// ---- The answer -------------------------------------------------------------------------------------------

void UpstreamExchange::beginReading() {
  parser_.begin();
  connection_.awaitReadable({});
}

void UpstreamExchange::onReadable() {
  const std::size_t most = answer_ ? std::min(answer_->freeCapacity(), kStreamReadSize) : kReadAtOnce;
  if (most == 0) return pause();
  error_code error;
  parser_.commit(network::receiveSome(connection_.socket(), parser_.prepare(most), error));
  if (network::isTransient(error)) return connection_.awaitReadable(error);
  if (error == asio::error::eof && parser_.endsWithConnection()) {
    if (!parser_.end()) return failBroken();
  } else if (error) {
    return failBroken();
  }
  if (!parser_.parse()) return failBroken();
  advance();
}

// What was read has been parsed.
void UpstreamExchange::advance() {
  // Only what a client will get is worth reading on.
  const bool serves =
      parser_.hasHead() && job_->attempt && job_->isWritten && parser_.outcome() == Outcome::Ok;
  if (serves) {
    forwardBody();
    if (!job_) return;
  } else if (parser_.body().size() > kStreamingThreshold) {
    return failBroken();
  }
  if (parser_.isComplete()) return complete();
  if (parser_.hasTooMuchUnread()) return failBroken();
  connection_.awaitReadable({});
}

// Hands on what has been read of an answer that is too large to be read whole.
void UpstreamExchange::forwardBody() {
  std::string& body = parser_.body();
  const auto length = parser_.length();
  if (!answer_ && body.size() <= kStreamingThreshold &&
      (!length || *length <= kStreamingThreshold || body.empty()))
    return;
  if (!answer_) beginStream();
  if (!answer_) return;  // the job was ended within
  answer_->push(body);
  body.clear();
  connection_.setDeadline(Clock::now() + kAnswerStallTimeout);
}

void UpstreamExchange::beginStream() {
  answer_ = std::make_shared<streaming::Pipe>(context_.budget);
  answer_->onCapacity = [weak = std::weak_ptr<UpstreamExchange>(keptAlive())] {
    if (const auto self = weak.lock()) asio::post(self->context_.io, [self] { self->onBodyTaken(); });
  };
  job_->isStreamed = true;
  job_->streamsSince = Clock::now();
  context_.host.onStreamBegin(
      {job_->attempt->id, std::string(parser_.contentType()), parser_.length(), answer_});
}

void UpstreamExchange::pause() {
  isPaused_ = true;
  connection_.clearDeadline();  // the client's side has its own
}

// The client's side has taken some of the answer, or wants no more.
void UpstreamExchange::onBodyTaken() {
  if (!answer_) return;
  if (answer_->isAbandoned()) return connection_.fail(Outcome::Cancelled);
  if (!isPaused_ || answer_->freeCapacity() == 0) return;
  isPaused_ = false;
  connection_.setDeadline(Clock::now() + kAnswerStallTimeout);
  connection_.awaitReadable({});
}

void UpstreamExchange::complete() {
  const auto job = std::exchange(job_, nullptr);
  Outcome outcome = parser_.outcome();
  if (!job->isWritten && outcome != Outcome::Full) outcome = Outcome::ConnectFailed;
  if (job->isStreamed) job->transfer += Clock::now() - job->streamsSince;
  if (const auto streamed = std::exchange(answer_, nullptr)) streamed->end();
  isUploading_ = false;
  job->load = parser_.loadReport();
  if (outcome == Outcome::Ok) {
    job->contentType = parser_.contentType();
    job->body = parser_.body();
  }
  connection_.release(parser_.keepsConnection() && job->isWritten);
  context_.host.onEnded(*job, outcome);
}

// Nothing that ends an attempt before its last byte has gone out can have made it run.
void UpstreamExchange::failBroken() {
  connection_.fail(job_->isWritten ? Outcome::Reset : Outcome::ConnectFailed);
}

}  // namespace ivypost
