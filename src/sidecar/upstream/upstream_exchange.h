// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Writes the requests of attempts and probes to one connection, one at a time, and reads their answers.
#ifndef IVYPOST_UPSTREAM_UPSTREAM_EXCHANGE_H_
#define IVYPOST_UPSTREAM_UPSTREAM_EXCHANGE_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "clock.h"
#include "stream_writer.h"
#include "streaming/pipe.h"
#include "upstream/answer_parser.h"
#include "upstream/response_times.h"
#include "upstream/upstream_job.h"

namespace ivypost {

/// The interface of the connection to its exchange. The connection owns the exchange, and so outlives it.
class ExchangeConnection {
 public:
  /// The socket. Open and non-blocking from start() to the end of the exchange.
  [[nodiscard]] virtual boost::asio::ip::tcp::socket& socket() = 0;
  /// A reference that keeps the connection and its exchange alive, for pending handlers.
  [[nodiscard]] virtual std::shared_ptr<ExchangeConnection> self() = 0;
  /// The exchange fails at this time, unless setDeadline() or clearDeadline() is called before.
  virtual void setDeadline(Clock::time_point at) = 0;
  /// Removes the deadline, while another component enforces one.
  virtual void clearDeadline() = 0;
  /// Calls UpstreamExchange::onReadable() once, when the socket is readable.
  /// \param previousError the transient error of the preceding read; no error: there was no read that failed.
  virtual void awaitReadable(boost::system::error_code previousError) = 0;
  /// Closes the connection, then ends the exchange with this outcome. `failure`: the cause, for the log.
  virtual void fail(balancer::Outcome outcome, AttemptFailure failure) = 0;
  /// Called when the exchange is complete and holds no job any more.
  /// \param isReusable whether the connection may carry another job; if not, it closes.
  virtual void release(bool isReusable) = 0;

  ExchangeConnection(const ExchangeConnection&) = delete;
  ExchangeConnection(ExchangeConnection&&) = delete;
  ExchangeConnection& operator=(const ExchangeConnection&) = delete;
  ExchangeConnection& operator=(ExchangeConnection&&) = delete;
  virtual ~ExchangeConnection() = default;

 protected:
  ExchangeConnection() = default;
};

/// Carries one job at a time, from the first byte of the request to the end of the answer. Does not retry.
///
/// The outcome: until the last byte of a request has been handed to the kernel, the request can't have run,
/// and a failure is ConnectFailed. After that the request may have run, whether or not the byte arrived, and
/// the outcome is Timeout, Reset, or that of the answer. A byte is counted as sent in the same handler in
/// which the kernel accepted it: no other handler can run in between.
///
/// An answer that comes too early to belong to the request (ResponseTimes) may be a second answer to the
/// previous request on the connection. It is held until another answer follows, which is then the request's
/// own, or until the hold time has passed. Other answers wait for nothing.
class UpstreamExchange {
 public:
  /// The send buffer of the socket in bytes, as set with SO_SNDBUF (Linux doubles it). It limits the bytes of
  /// a request that the kernel holds while the upstream does not read. With a small buffer, the write of a
  /// large body blocks in that case, and the request is known not to have arrived completely.
  static constexpr int kSendBufferSize = 16 * 1024;

  /// `connection` and `context` must outlive the exchange. `responseTimes`: of the upstream.
  UpstreamExchange(ExchangeConnection& connection, const UpstreamContext& context,
                   std::shared_ptr<ResponseTimes> responseTimes)
      : connection_(connection), context_(context), responseTimes_(std::move(responseTimes)) {}

  /// The current job; null: none.
  [[nodiscard]] const UpstreamJob* job() const { return job_.get(); }
  /// Whether bytes from the upstream are expected: only once the request is written or its upload has begun.
  [[nodiscard]] bool expectsBytes() const { return job_->isWritten || isUploading_; }
  /// The outcome if the job times out now. Requires a job.
  [[nodiscard]] balancer::Outcome timeoutOutcome() const;

  /// Sets the current job. Nothing is written before start().
  void assign(std::shared_ptr<UpstreamJob> job) {
    job_ = std::move(job);
    isForwardingDue_ = false;  // the deadline is the new job's
  }
  /// Writes the request, or ends the job as ConnectFailed if its deadline has passed. The connection must be
  /// established.
  void start();
  /// The socket is readable or the stream has ended. Requires a job and expectsBytes().
  void onReadable();
  /// The deadline that was set on the connection has passed. Requires a job.
  void onDeadline();
  /// Detaches the job. A streamed answer fails.
  /// \return the job, which the caller must end; null: there was none.
  [[nodiscard]] std::shared_ptr<UpstreamJob> abandon();

 private:
  // An answer that was received completely.
  struct Received {
    balancer::Outcome outcome = balancer::Outcome::Ok;
    std::string body;
    std::shared_ptr<streaming::ByteBudget::Share> bodyShare;  // the budget that `body` has taken; null: none
    std::string contentType;
    std::string loadReport;
    std::uint64_t fingerprint = 0;
    Clock::duration responseTime{};
    bool keepsConnection = false;  // as AnswerParser::keepsConnection()
  };

  // Sending the request.
  void write(std::string_view body, Clock::time_point now);
  void awaitWritable(boost::system::error_code previousError);
  void writeRest(boost::system::error_code error);
  void dropSent(std::size_t sent);
  void beginUpload();
  void upload();
  void awaitUpload();
  void onUploaded();
  void onWritten();

  // Receiving the answer.
  void beginReading();
  void advance();
  [[nodiscard]] bool isForwardable() const;
  [[nodiscard]] std::size_t readSize() const;
  [[nodiscard]] bool reserveAnswer(std::size_t readSize);
  void onBudgetUsedUp();
  [[nodiscard]] bool discardBody();
  void beginStream();
  void forwardBody();
  void startForwarding();
  [[nodiscard]] bool shouldStream(Clock::time_point now) const;
  [[nodiscard]] bool isBodySlow(Clock::time_point now) const;
  [[nodiscard]] bool mayBeLarge(Clock::time_point now) const;
  [[nodiscard]] Clock::time_point forwardingDeadline(Clock::time_point now) const;
  void armForwarding(Clock::time_point now);
  void onForwardingDue();
  void pause();
  void onBodyConsumed();
  void complete();
  void finish(Received answer, bool isReusable);
  void failBroken(AttemptFailure failure);

  // Holding an early answer.
  [[nodiscard]] bool isEarly() const;
  [[nodiscard]] bool isLikelyCopy(balancer::Outcome outcome, std::uint64_t fingerprint) const;
  [[nodiscard]] bool arrivedEarly() const;
  [[nodiscard]] bool isDoubtful() const;
  [[nodiscard]] Received received();
  void hold();
  void onHoldEnded();
  void onNoFurtherAnswer();

  [[nodiscard]] std::shared_ptr<UpstreamExchange> sharedSelf();

  ExchangeConnection& connection_;
  const UpstreamContext& context_;
  std::shared_ptr<UpstreamJob> job_;  // null: no exchange is in progress
  std::string unwrittenHead_;
  std::string_view unwrittenBody_;  // of a body in the message; follows unwrittenHead_
  StreamWriter writer_;             // writes a streamed request body
  AnswerParser parser_;
  std::shared_ptr<streaming::Pipe> answerPipe_;  // a streamed answer; null: the answer is not streamed
  std::shared_ptr<streaming::ByteBudget::Share> answerShare_;  // of an answer that is received; may be null
  std::size_t discardedBytes_ = 0;                             // of the body of an answer that is no success
  std::shared_ptr<ResponseTimes> responseTimes_;
  Clock::time_point writtenAt_;                   // when the last byte of the request was sent
  std::optional<Clock::time_point> firstByteAt_;  // of the current answer
  std::optional<Clock::time_point> bodySince_;    // the first bytes of its body, if it is forwardable
  std::optional<std::uint64_t> previousAnswer_;   // the fingerprint; none: the connection had no answer yet
  std::optional<Received> held_;                  // an early answer; another one may follow
  std::size_t forwardedBytes_ = 0;                // of the body of a streamed answer
  bool hasFilledBuffer_ = false;                  // the last read took all that it could
  bool hasHeld_ = false;                          // an answer was held in this exchange
  bool isUploading_ = false;
  bool isAwaitingWritable_ = false;  // waits for the kernel to accept more of a streamed body
  bool isForwardingDue_ = false;     // the connection's deadline is that for forwarding what was received
  // Reading waits for capacity in the pipe of a streamed answer, or for the end of the request.
  bool isReadingPaused_ = false;
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_EXCHANGE_H_
