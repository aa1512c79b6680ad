// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// Reading requests: head, complete body, streamed body.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "admission/tcp_state.h"
#include "client_session.h"
#include "framing.h"
#include "memory_plan.h"
#include "network/nonblocking_io.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// The kernel measures times in ticks of at most 10 ms, so a measured time below this may really be 0.
constexpr milliseconds kKernelTick{10};
// The most bytes that are buffered of a head, or of a chunk's header: with fewer the parser may not have seen
// yet that it is over the limit.
constexpr std::size_t kMaxBufferedHead = kMaxHeader + ClientConnectionMemory::kReadBuffer;
// A body whose buffer finds no budget waits for it, and is streamed after this time: those that have budget
// may wait for their clients.
constexpr milliseconds kMaxBudgetWait{2000};
constexpr milliseconds kBudgetPollInterval{20};
// The time in which what was left unread during that wait is read.
constexpr milliseconds kCatchUpTime{200};
// Bytes of a request that its client may have written and that have not been received: its kernel's buffer.
// Linux lets it grow to 4 MiB.
constexpr std::size_t kMaxClientBuffer = 4096UL * 1024;
// The time of a request whose head states none, which is answered when it has been read.
constexpr std::chrono::hours kUnstatedTime{1};
// The time for a request head while requests are rejected because of a drain.
constexpr milliseconds kMaxHeadTimeInDrain{300};

// Converts a length from Boost's own optional type.
std::optional<std::uint64_t> toStdOptional(const boost::optional<std::uint64_t>& length) {
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

// The bytes that a head takes when it is parsed, as they count for ClientConnectionMemory::kHead.
std::size_t costOfHead(std::string_view text) {
  const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  return lines * ClientConnectionMemory::kHeaderOverhead +
         text.size() * ClientConnectionMemory::kCopiesOfHead;
}

// Where the first line of a text ends; its size if it is incomplete.
std::size_t endOfLine(std::string_view text) {
  const std::size_t end = text.find('\n');
  return end == std::string_view::npos ? text.size() : end + 1;
}

// Where the headers of a received head end; none: they are incomplete. `hasStartLine`: the text begins behind
// the start line.
std::optional<std::size_t> endOfHead(std::string_view text, bool hasStartLine) {
  if (hasStartLine && text.substr(0, 2) == "\r\n") return 0;
  const std::size_t end = text.find("\r\n\r\n");
  return end == std::string_view::npos ? std::nullopt : std::optional<std::size_t>(end);
}

// Gives a text this capacity exactly; std::string::reserve() may double it instead.
void reallocate(std::string& text, std::size_t capacity) {
  if (capacity == text.capacity()) return;
  std::string other;
  other.reserve(capacity);
  other.append(text);
  text = std::move(other);
}

}  // namespace

void ClientSession::read() {
  const bool first = slot_->state == admission::ConnectionLimiter::State::Silent;
  state_ = State::Reading;
  // The timer for the first request has been running since the accept.
  if (!host_.effects().acceptsRequests) {
    setDeadline(Clock::now() + kMaxHeadTimeInDrain);
  } else if (!first) {
    setDeadline(Clock::now() + kMaxRequestTime);
  }
  connectionLimiter_.beginRequest(slot_, now());
  readHead(true);
}

void ClientSession::readHead(bool mayBeEmptyLine) {
  parser_.emplace();
  parser_->header_limit(kMaxHeader);
  parser_->body_limit(kMaxBody);
  budgetWaitSince_.reset();
  uploadWrittenAt_.reset();
  // Usually the complete head has been received already.
  if (buffer_.size() > 0) return parseHead(mayBeEmptyLine);
  readRestOfHead(mayBeEmptyLine);
}

// The parsed headers take many times the memory of their text, so that they are parsed once all have been
// received: a client that stops before that holds the text alone.
void ClientSession::parseHead(bool mayBeEmptyLine) {
  const auto end = endOfHead(received(), parser_->got_some());
  if (end && !reserveHead(*end)) return awaitHeadBudget(mayBeEmptyLine);
  std::size_t parsed = buffer_.size();
  if (!end && parsed <= kMaxHeader) parsed = parser_->got_some() ? 0 : endOfLine(received());
  error_code error = http::error::need_more;
  if (parsed > 0) buffer_.consume(parser_->put(asio::buffer(buffer_.data(), parsed), error));
  if (error && error != http::error::need_more) return onHead(error, mayBeEmptyLine);
  if (parser_->is_header_done()) return onHead({}, mayBeEmptyLine);
  readRestOfHead(mayBeEmptyLine);
}

bool ClientSession::reserveHead(std::size_t size) {
  const std::size_t cost = costOfHead(received().substr(0, size));
  return cost <= ClientConnectionMemory::kHead || headShare_.growTo(cost - ClientConnectionMemory::kHead);
}

// Leaves a complete head unparsed until others have returned enough to the byte budget.
void ClientSession::awaitHeadBudget(bool mayBeEmptyLine) {
  const auto time = Clock::now();
  if (!budgetWaitSince_) budgetWaitSince_ = time;
  if (time - *budgetWaitSince_ >= kMaxBudgetWait) return rejectForMemory();
  if (admission::hasPeerClosed(socket_.native_handle())) return close(CloseReason::ClientLeft);
  // The deadline belongs to the session, and so must not hold it.
  deadline_.set(time + kBudgetPollInterval, [this, mayBeEmptyLine] {
    const auto self = shared_from_this();
    if (state_ != State::Reading) return;
    setDeadline(Clock::now() + kMaxRequestTime);
    parseHead(mayBeEmptyLine);
  });
}

void ClientSession::readRestOfHead(bool mayBeEmptyLine, error_code why) {
  isBufferInUse_ = true;
  network::waitToRetry(socket_, tcp::socket::wait_read, why,
                       [self = shared_from_this(), mayBeEmptyLine](error_code failed) {
                         self->isBufferInUse_ = false;
                         if (self->state_ == State::Reading) self->onHeadReadable(mayBeEmptyLine, failed);
                       });
}

void ClientSession::onHeadReadable(bool mayBeEmptyLine, error_code failed) {
  if (failed) return onHead(failed, mayBeEmptyLine);
  const std::size_t most = reserveRead(kMaxBufferedHead);
  if (most == 0) return rejectForMemory();
  error_code error;
  buffer_.commit(network::receiveSome(socket_, buffer_.prepare(most), error));
  if (network::isTransient(error)) return readRestOfHead(mayBeEmptyLine, error);
  if (error) return onHead(error, mayBeEmptyLine);
  parseHead(mayBeEmptyLine);
}

// A 503 promises that the request has not run, so that its client can try again.
void ClientSession::rejectForMemory() {
  answerUnread(host_.rejection("refused: out of memory"));
}

void ClientSession::answerUnread(Answer answer) {
  keepAlive_ = false;
  recordAnswer(answer);
  write(std::move(answer));
}

void ClientSession::onHead(error_code error, bool mayBeEmptyLine) {
  // RFC 9112, 2.2: an empty line before a request is ignored.
  if (error == http::error::bad_method && mayBeEmptyLine && received().substr(0, 2) == "\r\n") {
    buffer_.consume(2);
    return readHead(false);
  }
  if (error) return onRead(error);
  httpVersion_ = parser_->get().version();
  shrinkBuffer();
  // The head of a chunked request is stored once more, apart from its trailer.
  if (parser_->chunked() && headShare_.bytes() > 0 && !headShare_.grow(headShare_.bytes()))
    return rejectForMemory();
  if (const auto syntaxError = findSyntaxError(parser_->get()))
    return answerUnread(textAnswer(syntaxError->status, syntaxError->reason));
  if (parser_->is_done()) return onRead(error);
  if (parser_->content_length().value_or(0) > kMaxBody) return onRead(http::error::body_limit);
  // A complete body that has arrived with the head is read before a rejection: that costs less than the new
  // connection that the client needs if this one is closed.
  if (parser_->content_length_remaining().value_or(kMaxBody) > buffer_.size()) {
    if (auto refused = host_.rejectionFromHead(parser_->get(), unreadTime()))
      return answerUnread(std::move(*refused));
  }
  if (expectsContinue(parser_->get()) && buffer_.size() == 0) return sendContinue();
  readBody();
}

void ClientSession::sendContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  isBufferInUse_ = true;
  network::writeAll(socket_, kContinue, [self = shared_from_this()](error_code error) {
    self->isBufferInUse_ = false;
    if (self->state_ != State::Reading) return;
    if (error) return self->onRead(error);
    self->readBody();
  });
}

void ClientSession::readBody() {
  // Trailer fields must not be merged into the headers (RFC 9110, 6.5.1), but the parser does that.
  if (parser_->chunked()) headersAheadOfBody_ = parser_->get().base();
  parser_->eager(true);
  bodyStallTimer_.emplace(Clock::now());
  budgetWaitSince_.reset();
  uploadWrittenAt_.reset();
  expiresIn_ = host_.clientTimeout(parser_->get()).value_or(std::chrono::microseconds(kUnstatedTime)).count();
  bodyStallTimer_->received(buffer_.size(), Clock::now());
  parseBody();
}

void ClientSession::parseBody() {
  error_code error;
  while (!error && !parser_->is_done() && buffer_.size() > 0)
    buffer_.consume(parser_->put(buffer_.data(), error));
  if (error == http::error::need_more) error = {};
  // Nothing is unread, and the request is not complete: its client is still writing.
  if (!hasFilledBuffer_ && !parser_->is_done()) uploadWrittenAt_.reset();
  // The chunk header exceeds the limit without ending.
  if (!error && !parser_->is_done() && buffer_.size() > kMaxHeader) error = http::error::bad_chunk_extension;
  if (isUploading_) return onUploadPiece(error);
  if (error || parser_->is_done()) return onBody(error);
  if (!hasFilledBuffer_) shrinkBuffer();
  bufferBody();
}

void ClientSession::bufferBody() {
  auto& body = parser_->get().body();
  const auto length = toStdOptional(parser_->content_length());
  if (streaming::BodyBuffering::mustStream(body.size(), length)) return beginUpload();
  const auto capacity = buffering_.capacityFor(body.size(), length);
  if (!capacity) return awaitBudget();
  reallocate(body, *capacity);
  setDeadline(bodyStallTimer_->deadline());
  readBodyPart(*capacity - body.size());
}

// Leaves the rest of a body unread until others have returned enough to the byte budget. A body that would be
// streamed at once instead takes the time of an upstream for as long as its client writes.
void ClientSession::awaitBudget() {
  const auto time = Clock::now();
  if (!budgetWaitSince_) budgetWaitSince_ = time;
  auto& body = parser_->get().body();
  reallocate(body, body.size());
  buffering_.keep(body.size());
  if (isUnreadRequestLate()) return rejectForMemory();
  if (time - *budgetWaitSince_ >= kMaxBudgetWait) return beginUpload();
  if (admission::hasPeerClosed(socket_.native_handle())) return close(CloseReason::ClientLeft);
  // A client that has sent nothing more isn't held up by the sidecar.
  const bool isHeldUp = peek() != asio::error::would_block;
  if (!isHeldUp && time >= bodyStallTimer_->deadline()) return close(CloseReason::RequestTimeout);
  const bool isSending = admission::timeSinceLastData(socket_.native_handle()) < kBudgetPollInterval;
  if (isHeldUp && isSending) bodyStallTimer_->extendBy(kBudgetPollInterval);
  deadline_.set(time + kBudgetPollInterval, [this] {
    const auto self = shared_from_this();
    if (state_ == State::Reading) bufferBody();
  });
}

void ClientSession::readBodyPart(std::size_t most, error_code why) {
  if (hasFilledBuffer_) growBuffer();
  const std::size_t room = reserveRead(kMaxBufferedHead);
  // The buffer holds a chunk's header that is too long for the memory there is.
  if (room == 0) return isUploading_ ? onUploadPiece(http::error::bad_chunk_extension) : rejectForMemory();
  most = std::min(most, room);
  if (std::exchange(isReadingBody_, true)) return;
  network::waitToRetry(socket_, tcp::socket::wait_read, why,
                       [self = shared_from_this(), most](error_code failed) {
                         self->isReadingBody_ = false;
                         if (self->state_ != State::Reading && !self->isUploading_) return;
                         error_code error = failed;
                         std::size_t size = 0;
                         if (!error)
                           size = network::receiveSome(self->socket_, self->buffer_.prepare(most), error);
                         self->buffer_.commit(size);
                         self->hasFilledBuffer_ = size == most;
                         if (network::isTransient(error)) return self->readBodyPart(most, error);
                         if (error) return self->close(CloseReason::ClientLeft);
                         self->recordReceived(size);
                         self->parseBody();
                       });
}

// While a body waited for the byte budget, its client may have stopped: what is read right after the wait
// counts as received when it began.
void ClientSession::recordReceived(std::size_t size) {
  auto at = Clock::now();
  if (budgetWaitSince_ && at < *budgetWaitSince_ + kMaxBudgetWait + kCatchUpTime) {
    at = *budgetWaitSince_;
  } else {
    budgetWaitSince_.reset();
  }
  bodyStallTimer_->received(size, at);
}

void ClientSession::beginUpload() {
  auto& read = parser_->get();
  // The parser needs the head no longer; saved headers are moved out, so that a later request does not get
  // them.
  Message message(headersAheadOfBody_ ? std::move(*std::exchange(headersAheadOfBody_, std::nullopt))
                                      : std::move(read.base()));
  keepAlive_ = parser_->keep_alive();
  auto upload = std::make_shared<Upload>(budget_);
  if (const auto length = parser_->content_length()) upload->length = *length;
  auto checked = host_.validateRequest(std::move(message), milliseconds(0));
  if (auto* answer = std::get_if<Answer>(&checked)) {
    keepAlive_ = false;
    return write(std::move(*answer));
  }
  auto& request = std::get<ClientRequest>(checked);
  upload_ = upload;
  isUploading_ = true;
  expiresIn_ = request.expiresIn;
  // The client's time counts from the last byte of the request, whose time is not known yet.
  request.expiresIn += streaming::BodyBuffering::uploadTime(
                           *bodyStallTimer_, toStdOptional(parser_->content_length_remaining()))
                           .count();
  request.deadline = Clock::now() + std::chrono::microseconds(request.expiresIn);
  upload->deadline = request.deadline;
  upload->clientTimeout = std::chrono::microseconds(expiresIn_);
  upload->pipe.onCapacity = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) asio::post(self->io_, [self] { self->onPipeCapacity(); });
  };
  upload->pipe.pushBuffer(std::move(read.body()), buffering_.share());
  read.body() = {};
  read.body().reserve(upload->pipe.pieceSize());
  read.base().clear();  // of a chunked request, whose message has the stored headers
  request.upload = std::move(upload);
  beginWaiting(std::move(request));
  if (isUploading_) continueUpload();
}

void ClientSession::onUploadPiece(error_code error) {
  if (error) {
    // The upstream never gets the last byte of the body, so the request does not run there.
    const auto self = shared_from_this();
    upload_->pipe.fail();
    if (!host_.endRequest(*this)) return close(CloseReason::ReadFailed);
    write(answerToBodyError(error));
    return host_.cancelRequest(request_);
  }
  // A client may close with the rest of its body unread: the request must not become complete after that.
  if (admission::hasPeerClosed(socket_.native_handle())) return close(CloseReason::ClientLeft);
  upload_->pipe.push(parser_->get().body());
  parser_->get().body().clear();
  if (!parser_->is_done()) return continueUpload();
  parser_->get().base().clear();  // trailer fields, which aren't forwarded
  isUploading_ = false;
  const auto deadline = uploadWrittenAt_.value_or(Clock::now()) + std::chrono::microseconds(expiresIn_);
  upload_->deadline = responseDeadline_ = deadline;
  armAnswerTimeout(deadline);
  waitForInput();
  upload_->pipe.end();
}

void ClientSession::continueUpload() {
  std::size_t capacity = upload_->pipe.freeCapacity();
  if (capacity == 0 && mayReadBeyondPipe()) capacity = upload_->pipe.freeCapacity();
  if (capacity == 0) {
    // Backpressure stops reading, so the stall timer of the client's body is suspended.
    deadline_.cancel();
    if (!backpressureSince_) backpressureSince_ = now();
    if (isUploadLate()) return answerLate();
    return pollForClose();
  }
  closePoll_.cancel();
  if (backpressureSince_)
    bodyStallTimer_->extendBy(
        std::chrono::microseconds(now() - *std::exchange(backpressureSince_, std::nullopt)));
  setDeadline(bodyStallTimer_->deadline());
  readBodyPart(std::min(capacity, upload_->pipe.pieceSize()));
}

// The client's time counts from the last byte that it has written, which may lie unread in either kernel
// while the upstream holds the upload up. Sets since when that is so, if it may be.
void ClientSession::updateUploadWrittenAt() {
  const int socket = socket_.native_handle();
  const auto remaining = toStdOptional(parser_->content_length_remaining());
  error_code error;
  const std::size_t unread = socket_.available(error);
  if (remaining && unread >= *remaining) {
    uploadWrittenAt_ = Clock::now() - admission::timeSinceLastData(socket);
    return;
  }
  // What the client has written beyond that waits in its own kernel only while this one accepts no more.
  const bool mayBeWritten = remaining.value_or(0) <= unread + kMaxClientBuffer;
  if (!mayBeWritten || !admission::isReceiveBufferFull(socket)) return uploadWrittenAt_.reset();
  if (!uploadWrittenAt_) uploadWrittenAt_ = Clock::now();
}

bool ClientSession::isUploadLate() {
  updateUploadWrittenAt();
  return uploadWrittenAt_ && Clock::now() >= *uploadWrittenAt_ + std::chrono::microseconds(expiresIn_);
}

// The same for a request that waits for the byte budget. One without a stated length counts as written once
// nothing more of it comes: it may be rejected, since it has not run.
bool ClientSession::isUnreadRequestLate() {
  if (isUploadLate()) return true;
  if (parser_->content_length() || peek() == asio::error::would_block) return false;
  uploadWrittenAt_ = Clock::now() - admission::timeSinceLastData(socket_.native_handle());
  return Clock::now() >= *uploadWrittenAt_ + std::chrono::microseconds(expiresIn_);
}

bool ClientSession::mayReadBeyondPipe() {
  return upload_->pipe.forwardedBytes() == 0 && upload_->pipe.extend(upload_->pipe.pieceSize());
}

void ClientSession::onPipeCapacity() {
  if (isUploading_ && backpressureSince_) continueUpload();
}

void ClientSession::onBody(error_code error) {
  if (headersAheadOfBody_)
    parser_->get().base() = std::move(*std::exchange(headersAheadOfBody_, std::nullopt));
  onRead(error);
}

std::string_view ClientSession::received() const {
  const auto data = buffer_.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

void ClientSession::onRead(error_code error) {
  deadline_.cancel();
  if (error) {
    if (error == asio::error::operation_aborted && host_.effects().sendsFinalResponses)
      return answerUnread(host_.rejection("refused: the sidecar stops"));
    if (error == http::error::body_limit) return answerUnread(answerToBodyError(error));
    if (error == http::error::header_limit) return answerUnread(textAnswer(431, "header over 16 KiB"));
    if (error == http::error::end_of_stream || error == http::error::partial_message)
      return close(CloseReason::ClientLeft);
    if (error == http::error::bad_version)
      return answerUnread(
          textAnswer(statusOfMalformedStartLine(received()), "malformed HTTP: " + error.message()));
    if (error.category() == make_error_code(http::error::bad_method).category())
      return answerUnread(answerToBodyError(error));
    return close(CloseReason::ReadFailed);
  }
  const milliseconds unread = unreadTime();
  // The client has left while its request was unread, so no answer is expected.
  if (unread > milliseconds(0) && admission::hasPeerClosed(socket_.native_handle()))
    return close(CloseReason::ClientLeft);
  keepAlive_ = parser_->keep_alive();
  auto request = parser_->release();
  auto checked = host_.validateRequest(Message(std::move(request.base()), std::move(request.body())), unread);
  if (auto* answer = std::get_if<Answer>(&checked)) return write(std::move(*answer));
  beginWaiting(std::move(std::get<ClientRequest>(checked)));
}

milliseconds ClientSession::unreadTime() {
  auto waited = admission::timeSinceLastData(socket_.native_handle());
  // While it waited for the byte budget, more was received as soon as there was room for it.
  if (uploadWrittenAt_)
    waited = std::max(waited, std::chrono::duration_cast<milliseconds>(Clock::now() - *uploadWrittenAt_));
  return waited < kKernelTick ? milliseconds(0) : waited;
}

}  // namespace ivypost
