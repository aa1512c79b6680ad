// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/upstream_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "admission/tcp_state.h"
#include "framing.h"
#include "memory_plan.h"
#include "network/nonblocking_io.h"
#include "upstream/upstream_request.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using balancer::Outcome;
using boost::system::error_code;
using std::chrono::milliseconds;

// Bytes that one read takes of an answer that is not streamed, if the byte budget suffices.
constexpr std::size_t kLargeReadSize = 8UL * 1024;
// An attempt fails if the upstream accepts no byte of a large body for this period.
constexpr milliseconds kUploadStallTimeout{2000};
// A streamed answer fails if the upstream sends no byte for this period.
constexpr milliseconds kAnswerStallTimeout{10'000};
// An answer of unknown length is forwarded after this fraction of its attempt's time, or this long after its
// first byte. Until then it is buffered, so that an answer that breaks off can be replaced by a retry.
constexpr int kBufferingDivisor = 2;
constexpr milliseconds kMaxBufferingTime{1000};
// An answer of unknown length counts as slow, and not as one whose end is missing, once its body has been
// received over this time.
constexpr milliseconds kMinBodyTime{50};
// What has been received of an answer is forwarded this long before its deadline, if the answer may be large,
// or this fraction of a short attempt's time.
constexpr milliseconds kForwardingMargin{50};
// An answer of unknown length that pauses after at least so many bytes is more likely to exceed
// kStreamingThreshold than not.
constexpr std::size_t kMinLargePart = kStreamingThreshold / 4;
// An answer of up to kStreamingThreshold is due as a whole by its deadline, and lost half a second after it.
// One that has not brought kMinLargePart by this time after the deadline counts as such an answer, and is
// ended while its client still waits.
constexpr milliseconds kLateAnswerTime{450};
constexpr int kForwardingMarginDivisor = 4;

}  // namespace

Outcome UpstreamExchange::timeoutOutcome() const {
  return job_->isWritten ? Outcome::Timeout : Outcome::ConnectFailed;
}

std::shared_ptr<UpstreamJob> UpstreamExchange::abandon() {
  auto job = std::exchange(job_, nullptr);
  isUploading_ = false;
  held_.reset();
  answerShare_.reset();
  if (const auto answer = std::exchange(answerPipe_, nullptr)) answer->fail();
  return job;
}

void UpstreamExchange::onDeadline() {
  if (held_) return onHoldEnded();
  if (std::exchange(isForwardingDue_, false)) return onForwardingDue();
  connection_.fail(timeoutOutcome(), AttemptFailure::TimedOut);
}

std::shared_ptr<UpstreamExchange> UpstreamExchange::sharedSelf() {
  return {connection_.self(), this};
}

// ---- The request ------------------------------------------------------------------------------------------

void UpstreamExchange::start() {
  const auto now = Clock::now();
  const UpstreamJob& job = *job_;
  if (now >= job.deadline || now >= job.writeBy)
    return connection_.fail(Outcome::ConnectFailed, AttemptFailure::NoTimeLeft);
  if (!job.attempt) {
    unwrittenHead_ = probeHead();
    return write({}, now);
  }
  const Message& message = *job.attempt->message;
  const Upload* const upload = job.attempt->upload.get();
  unwrittenHead_ = attemptHead(message, upload, timeLeft(job.deadline, upload, now));
  if (upload != nullptr) return beginUpload();
  write(message.body(), now);
}

// Writes the request directly from the message, without a copy of the body. What the kernel does not accept
// at once is written by writeRest().
void UpstreamExchange::write(std::string_view body, Clock::time_point now) {
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(unwrittenHead_),
                                                   asio::buffer(body.data(), body.size())};
  error_code error;
  const std::size_t sent = network::writeSome(connection_.socket(), parts, error);
  if (sent == asio::buffer_size(parts)) return onWritten();
  if (!network::isTransient(error))
    return connection_.fail(Outcome::ConnectFailed, AttemptFailure::WriteFailed);
  unwrittenBody_ = body;
  dropSent(sent);
  // The last byte of a repeated request must be sent within its window too. A body that exceeds the send
  // buffer is sent only if the upstream reads, so the connect timeout limits this write as well.
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
  const std::size_t ofHead = std::min(sent, unwrittenHead_.size());
  unwrittenHead_.erase(0, ofHead);
  unwrittenBody_.remove_prefix(sent - ofHead);
}

// `previousError`: the transient error of the preceding write.
void UpstreamExchange::awaitWritable(error_code previousError) {
  const auto ready = [self = sharedSelf(), job = job_](error_code error) {
    if (self->job_ == job) self->writeRest(error);
  };
  network::waitToRetry(connection_.socket(), tcp::socket::wait_write, previousError, ready);
}

// Writes what the kernel has not accepted yet. Writes here, instead of with an asynchronous write, so that
// each piece is counted before any other handler runs: otherwise a timeout could run between the write of the
// last byte and its completion handler, and a request that may run would be reported as never sent.
void UpstreamExchange::writeRest(error_code error) {
  const std::array<asio::const_buffer, 2> parts = {
      asio::buffer(unwrittenHead_), asio::buffer(unwrittenBody_.data(), unwrittenBody_.size())};
  const std::size_t size = asio::buffer_size(parts);
  const std::size_t sent = error ? 0 : network::writeSome(connection_.socket(), parts, error);
  if (sent == size) return onWritten();
  if (!network::isTransient(error))
    return connection_.fail(Outcome::ConnectFailed, AttemptFailure::WriteFailed);
  dropSent(sent);
  // The upstream is still reading, so that the stall timeout starts anew.
  if (job_->attempt && sent > 0 && job_->attempt->message->body().size() > kStreamingThreshold)
    connection_.setDeadline(std::min({job_->deadline, job_->writeBy, Clock::now() + kUploadStallTimeout}));
  awaitWritable(error);
}

// Streams the body while it is being received.
void UpstreamExchange::beginUpload() {
  isUploading_ = true;
  Upload& body = *job_->attempt->upload;
  writer_.begin(std::move(unwrittenHead_), !body.length);
  job_->streamingSince = Clock::now();
  body.pipe.onData = [weak = std::weak_ptr<UpstreamExchange>(sharedSelf())] {
    const auto self = weak.lock();
    if (!self) return;
    asio::post(self->context_.io, [self] {
      if (self->job_ && self->isUploading_ && !self->isAwaitingWritable_) self->upload();
    });
  };
  beginReading();  // the upstream may answer before the end of the body
  upload();
}

void UpstreamExchange::upload() {
  switch (writer_.step(connection_.socket(), job_->attempt->upload->pipe)) {
    case StreamWriter::Step::Blocked:
      return awaitUpload();
    case StreamWriter::Step::Starved:
      return connection_.clearDeadline();  // the client session enforces its own deadline
    case StreamWriter::Step::Failed:
    case StreamWriter::Step::Broken:
      return connection_.fail(Outcome::ConnectFailed, AttemptFailure::UploadFailed);
    case StreamWriter::Step::Done:
      return onUploaded();
  }
}

void UpstreamExchange::awaitUpload() {
  isAwaitingWritable_ = true;
  // An upstream that stops reading is treated as one that can't be connected to.
  connection_.setDeadline(Clock::now() + kUploadStallTimeout);
  writer_.wait(connection_.socket(), [self = sharedSelf()](error_code error) {
    self->isAwaitingWritable_ = false;
    if (!self->job_ || !self->isUploading_) return;
    if (error) return self->connection_.fail(Outcome::ConnectFailed, AttemptFailure::UploadFailed);
    self->upload();
  });
}

void UpstreamExchange::onUploaded() {
  isUploading_ = false;
  job_->transfer += Clock::now() - job_->streamingSince;
  job_->deadline = job_->attempt->upload->deadline;
  connection_.setDeadline(job_->deadline);
  job_->isWritten = true;
  writtenAt_ = Clock::now();
  context_.host.onWritten(job_->attempt->id);
  // The upstream may have sent a part of its answer ahead of the end of the request.
  const bool wasPaused = std::exchange(isReadingPaused_, false);
  if (job_ && (wasPaused || isForwardable())) advance();
}

void UpstreamExchange::onWritten() {
  connection_.setDeadline(job_->deadline);
  job_->isWritten = true;
  writtenAt_ = Clock::now();
  unwrittenHead_ = {};
  if (job_->attempt) context_.host.onWritten(job_->attempt->id);
  beginReading();
}

// ---- The answer -------------------------------------------------------------------------------------------

void UpstreamExchange::beginReading() {
  parser_.begin();
  firstByteAt_.reset();
  bodySince_.reset();
  discardedBytes_ = 0;
  forwardedBytes_ = 0;
  hasFilledBuffer_ = false;
  hasHeld_ = false;
  isReadingPaused_ = false;
  isForwardingDue_ = false;
  connection_.awaitReadable({});
}

void UpstreamExchange::onReadable() {
  if (answerPipe_ && answerPipe_->freeCapacity() == 0) return pause();
  std::size_t most = readSize();
  if (!answerPipe_ && hasFilledBuffer_ && reserveAnswer(kLargeReadSize)) most = kLargeReadSize;
  if (!reserveAnswer(most)) return onBudgetUsedUp();
  error_code error;
  const std::size_t size = network::receiveSome(connection_.socket(), parser_.prepare(most), error);
  parser_.commit(size);
  job_->receivedBytes += size;
  hasFilledBuffer_ = size == most;
  if (size > 0 && !firstByteAt_) firstByteAt_ = Clock::now();
  if (network::isTransient(error)) return connection_.awaitReadable(error);
  if (error == asio::error::eof && parser_.endsWithConnection()) {
    if (!parser_.end()) return failBroken(AttemptFailure::ConnectionEnded);
  } else if (error) {
    return failBroken(AttemptFailure::ConnectionEnded);
  }
  if (!parser_.parse()) return failBroken(AttemptFailure::MalformedAnswer);
  advance();
}

// Whether the current answer is one for a client.
bool UpstreamExchange::isForwardable() const {
  return parser_.hasHead() && job_->attempt && parser_.outcome() == Outcome::Ok;
}

// The bytes to read at once; over 0 unless a pipe is full. Behind a piece of a chunk's header a streamed
// answer is read in smaller parts, so that they fit into the memory for one.
std::size_t UpstreamExchange::readSize() const {
  if (!answerPipe_) return UpstreamConnectionMemory::kReadSize;
  const std::size_t free = std::min(answerPipe_->freeCapacity(), answerPipe_->pieceSize());
  return parser_.unparsed() < free ? free - parser_.unparsed() : free;
}

// Takes from the byte budget what the answer needs for another read.
bool UpstreamExchange::reserveAnswer(std::size_t readSize) {
  // The buffers beside a pipe with budget are included in its cost.
  if (answerPipe_ && answerPipe_->pieceSize() > UpstreamConnectionMemory::kReadSize) return true;
  const auto memory = parser_.memoryFor(readSize);
  const auto beyond = [](std::size_t bytes, std::size_t free) { return bytes > free ? bytes - free : 0; };
  const std::size_t needed = beyond(memory.bufferAndHead, UpstreamConnectionMemory::kBufferAndHead) +
                             beyond(memory.body, UpstreamConnectionMemory::kBody);
  if (needed == 0) return true;
  if (!answerShare_) answerShare_ = std::make_shared<streaming::ByteBudget::Share>(context_.budget);
  return answerShare_->growTo(needed);
}

// An answer that can't be buffered any further is forwarded, or waits for the end of its request.
void UpstreamExchange::onBudgetUsedUp() {
  if (answerPipe_ || !isForwardable()) return failBroken(AttemptFailure::OutOfBudget);
  if (!job_->isWritten) {
    isReadingPaused_ = true;
    return;
  }
  startForwarding();
  if (!job_) return;
  if (answerPipe_ || reserveAnswer(readSize())) return connection_.awaitReadable({});
  failBroken(AttemptFailure::OutOfBudget);
}

// Drops the body of an answer that is no success, which nobody reads.
bool UpstreamExchange::discardBody() {
  parser_.beginRemovingBody();
  discardedBytes_ += parser_.body().size();
  parser_.body().clear();
  return discardedBytes_ <= kStreamingThreshold;
}

// Continues after bytes have been parsed.
void UpstreamExchange::advance() {
  if (isForwardable() && job_->isWritten) {
    forwardBody();
    if (!job_) return;
  } else if (parser_.hasHead() && parser_.outcome() != Outcome::Ok) {
    if (!discardBody()) return failBroken(AttemptFailure::MalformedAnswer);
  } else if (parser_.body().size() > kStreamingThreshold) {
    if (!isForwardable() || parser_.isComplete()) return failBroken(AttemptFailure::MalformedAnswer);
    isReadingPaused_ = true;  // until the request has been sent
    return;
  }
  if (parser_.isComplete()) return complete();
  if (parser_.hasTooMuchUnparsed()) return failBroken(AttemptFailure::MalformedAnswer);
  connection_.awaitReadable({});
}

// Whether the answer is too large to be buffered, or may be and has taken a part of its time already. What is
// buffered can be replaced by a retry if the answer breaks off; what is forwarded can't.
bool UpstreamExchange::shouldStream(Clock::time_point now) const {
  const std::size_t size = parser_.body().size();
  const auto length = parser_.length();
  if (size == 0) return false;
  if (length) return *length > kStreamingThreshold;
  if (size > kStreamingThreshold) return true;
  if (parser_.isComplete() || !isBodySlow(now)) return false;
  const auto half = writtenAt_ + (job_->deadline - writtenAt_) / kBufferingDivisor;
  return now >= std::min(half, firstByteAt_.value_or(now) + kMaxBufferingTime);
}

bool UpstreamExchange::isBodySlow(Clock::time_point now) const {
  return bodySince_ && now - *bodySince_ >= kMinBodyTime;
}

// Whether an answer of unknown length may be large, and not one that is small and whose end is missing.
bool UpstreamExchange::mayBeLarge(Clock::time_point now) const {
  if (isBodySlow(now)) return true;
  return parser_.body().size() >= kMinLargePart && parser_.announcesEnd();
}

// When a streamed answer fails unless more of it is received before.
Clock::time_point UpstreamExchange::forwardingDeadline(Clock::time_point now) const {
  const auto stalled = now + kAnswerStallTimeout;
  const auto length = parser_.length();
  const bool isLarge = length ? *length > kStreamingThreshold : forwardedBytes_ >= kMinLargePart;
  if (isLarge) return stalled;
  return std::min(stalled, job_->deadline + kLateAnswerTime);
}

// Has the received part of an answer forwarded before the deadline, even if no more of it is received.
void UpstreamExchange::armForwarding(Clock::time_point now) {
  const auto length = parser_.length();
  if (length ? *length <= kStreamingThreshold : !mayBeLarge(now)) return;
  isForwardingDue_ = true;
  const auto ofShortTime = (job_->deadline - writtenAt_) / kForwardingMarginDivisor;
  connection_.setDeadline(job_->deadline - std::min<Clock::duration>(kForwardingMargin, ofShortTime));
}

void UpstreamExchange::onForwardingDue() {
  connection_.setDeadline(job_->deadline);
  startForwarding();
}

// Forwards the received part of an answer that should not be buffered.
void UpstreamExchange::forwardBody() {
  const auto now = Clock::now();
  if (!bodySince_ && !parser_.body().empty()) bodySince_ = now;
  if (!answerPipe_ && !parser_.isComplete() && !held_) armForwarding(now);
  if (answerPipe_ || shouldStream(now)) startForwarding();
}

void UpstreamExchange::startForwarding() {
  std::string& body = parser_.body();
  // A large answer can't be held: its copy is recognized by the fingerprint, and discarded.
  if (!answerPipe_ && isEarly() && responseTimes_->areAnswersDistinct()) {
    if (!parser_.isFingerprintComplete()) return;
    if (isLikelyCopy(parser_.outcome(), parser_.fingerprint())) return body.clear();
  }
  const bool isNew = !answerPipe_;
  forwardedBytes_ += body.size();
  if (isNew) beginStream();
  if (!answerPipe_) return;  // beginStream() ended the job
  if (isNew && answerShare_) {
    answerPipe_->pushBuffer(std::move(body), *answerShare_);
  } else {
    answerPipe_->push(body);
  }
  if (isNew) {
    body = {};
    // The pipe has taken all budget. What is received from now on fits into the free part.
    parser_.beginRemovingBody();
    parser_.dropHead();
  }
  body.clear();
  isForwardingDue_ = false;
  connection_.setDeadline(forwardingDeadline(Clock::now()));
}

void UpstreamExchange::beginStream() {
  held_.reset();  // this answer is the one that followed
  answerPipe_ = std::make_shared<streaming::Pipe>(context_.budget);
  answerPipe_->onCapacity = [weak = std::weak_ptr<UpstreamExchange>(sharedSelf())] {
    if (const auto self = weak.lock()) asio::post(self->context_.io, [self] { self->onBodyConsumed(); });
  };
  job_->isStreamed = true;
  job_->streamingSince = Clock::now();
  job_->loadReport = parser_.loadReport();
  context_.host.onStreamBegin(
      {job_->attempt->id, std::string(parser_.contentType()), parser_.length(), answerPipe_});
}

void UpstreamExchange::pause() {
  isReadingPaused_ = true;
  connection_.clearDeadline();  // the client session enforces its own deadline
}

// Called when the client session has consumed a part of the answer, or has abandoned it.
void UpstreamExchange::onBodyConsumed() {
  if (!answerPipe_) return;
  if (answerPipe_->isAbandoned()) return connection_.fail(Outcome::Cancelled, AttemptFailure::Cancelled);
  if (!isReadingPaused_ || answerPipe_->freeCapacity() == 0) return;
  isReadingPaused_ = false;
  connection_.setDeadline(forwardingDeadline(Clock::now()));
  connection_.awaitReadable({});
}

void UpstreamExchange::complete() {
  if (!answerPipe_ && isDoubtful()) return hold();
  held_.reset();
  // A connection on which an answer was held has carried one answer too many.
  finish(received(), !hasHeld_);
}

void UpstreamExchange::finish(Received answer, bool isReusable) {
  const auto job = std::exchange(job_, nullptr);
  Outcome outcome = answer.outcome;
  if (!job->isWritten && outcome != Outcome::Full) outcome = Outcome::ConnectFailed;
  if (job->isWritten) responseTimes_->record(answer.responseTime);
  if (previousAnswer_ && job->attempt && outcome == Outcome::Ok)
    responseTimes_->recordRepetition(*previousAnswer_ == answer.fingerprint);
  previousAnswer_ = answer.fingerprint;
  if (job->isStreamed) job->transfer += Clock::now() - job->streamingSince;
  if (const auto streamed = std::exchange(answerPipe_, nullptr)) streamed->end();
  isUploading_ = false;
  if (!job->isStreamed) job->loadReport = std::move(answer.loadReport);
  if (outcome == Outcome::Ok) {
    job->contentType = std::move(answer.contentType);
    job->body = std::move(answer.body);
    job->bodyShare = std::move(answer.bodyShare);
  }
  answerShare_.reset();
  parser_.clear();
  connection_.release(isReusable && answer.keepsConnection && job->isWritten);
  context_.host.onEnded(*job, outcome);
}

// An attempt whose last byte was not sent can't have run, so that it counts as never sent.
void UpstreamExchange::failBroken(AttemptFailure failure) {
  if (held_) return onNoFurtherAnswer();
  connection_.fail(job_->isWritten ? Outcome::Reset : Outcome::ConnectFailed, failure);
}

// ---- Early answers ----------------------------------------------------------------------------------------

// Whether the current answer began too early to belong to the request.
bool UpstreamExchange::isEarly() const {
  return previousAnswer_ && firstByteAt_ && responseTimes_->isEarly(*firstByteAt_ - writtenAt_);
}

// Whether this answer repeats the connection's previous one. Rejections are alike anyway.
bool UpstreamExchange::isLikelyCopy(Outcome outcome, std::uint64_t fingerprint) const {
  return outcome == Outcome::Ok && responseTimes_->areAnswersDistinct() && previousAnswer_ == fingerprint;
}

// Whether the answer had arrived too early although it was read later, since the event loop was late: another
// one has arrived behind it, or its last bytes were early according to the kernel. Costs two system calls at
// the most.
bool UpstreamExchange::arrivedEarly() const {
  error_code error;
  if (parser_.unparsed() > 0 || connection_.socket().available(error) > 0) return true;
  const auto waited = admission::timeSinceLastData(connection_.socket().native_handle());
  return responseTimes_->isEarly(Clock::now() - waited - writtenAt_);
}

// Whether the answer that was received completely may belong to another request. An answer to a request that
// was not sent completely has no such effect: the request can't have run.
bool UpstreamExchange::isDoubtful() const {
  if (!job_->isWritten || !previousAnswer_) return false;
  return isEarly() || (isLikelyCopy(parser_.outcome(), parser_.fingerprint()) && arrivedEarly());
}

UpstreamExchange::Received UpstreamExchange::received() {
  Received answer;
  answer.outcome = parser_.outcome();
  answer.contentType = parser_.contentType();
  answer.loadReport = parser_.loadReport();
  answer.fingerprint = parser_.fingerprint();
  answer.responseTime = firstByteAt_.value_or(writtenAt_) - writtenAt_;
  answer.keepsConnection = parser_.keepsConnection();
  if (answer.outcome == Outcome::Ok) {
    answer.body = std::move(parser_.body());
    answer.bodyShare = std::exchange(answerShare_, nullptr);
  }
  return answer;
}

// Keeps an early answer and reads what follows it.
void UpstreamExchange::hold() {
  held_ = received();
  hasHeld_ = true;
  isForwardingDue_ = false;
  const auto now = Clock::now();
  const auto limit = now + (job_->deadline - now) / 2;
  const bool isCopy = isLikelyCopy(held_->outcome, held_->fingerprint);
  connection_.setDeadline(isCopy ? job_->deadline : std::min(limit, writtenAt_ + responseTimes_->holdTime()));
  parser_.begin();
  firstByteAt_.reset();
  bodySince_.reset();
  if (parser_.unparsed() == 0) return connection_.awaitReadable({});
  firstByteAt_ = now;
  if (!parser_.parse()) return failBroken(AttemptFailure::MalformedAnswer);
  advance();
}

// The hold time has passed. If another answer has begun, it is the request's own; otherwise the held one is,
// unless it is a copy.
void UpstreamExchange::onHoldEnded() {
  const bool isForeign = firstByteAt_ || isLikelyCopy(held_->outcome, held_->fingerprint);
  if (!isForeign) return onNoFurtherAnswer();
  held_.reset();
  const auto now = Clock::now();
  if (now >= job_->deadline) return connection_.fail(timeoutOutcome(), AttemptFailure::TimedOut);
  connection_.setDeadline(job_->deadline);
  if (isForwardable()) armForwarding(now);
}

// No other answer follows the held one.
void UpstreamExchange::onNoFurtherAnswer() {
  auto answer = *std::exchange(held_, std::nullopt);
  if (isLikelyCopy(answer.outcome, answer.fingerprint))
    return connection_.fail(Outcome::Reset, AttemptFailure::AnswerToAnother);
  finish(std::move(answer), !firstByteAt_);
}

}  // namespace ivypost
