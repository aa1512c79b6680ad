// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// One attempt or probe after the other on one connection: the request is written, the answer read.
#ifndef IVYPOST_UPSTREAM_UPSTREAM_EXCHANGE_H_
#define IVYPOST_UPSTREAM_UPSTREAM_EXCHANGE_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "clock.h"
#include "stream_writer.h"
#include "streaming/pipe.h"
#include "upstream/answer_parser.h"
#include "upstream/upstream_job.h"

namespace ivypost {

/// The connection as its exchange sees it. Holds the exchange, and so outlives it.
class ExchangeConnection {
 public:
  /// Open and not blocking, from the exchange's start to its end.
  [[nodiscard]] virtual boost::asio::ip::tcp::socket& socket() = 0;
  /// Keeps the connection and its exchange alive, for handlers that wait.
  [[nodiscard]] virtual std::shared_ptr<ExchangeConnection> self() = 0;
  /// The exchange fails at this time, unless this or clearDeadline() is called before.
  virtual void setDeadline(Clock::time_point at) = 0;
  /// Somebody else has the time.
  virtual void clearDeadline() = 0;
  /// UpstreamExchange::onReadable() is called when there is something to read, once.
  /// \param why what ended the read before; none: there was none.
  virtual void awaitReadable(boost::system::error_code why) = 0;
  /// Closes, and then ends the exchange with this.
  virtual void fail(balancer::Outcome outcome) = 0;
  /// The exchange has come to its end and holds no job any more.
  /// \param isReusable whether the connection may carry another one; else it closes.
  virtual void release(bool isReusable) = 0;

  ExchangeConnection(const ExchangeConnection&) = delete;
  ExchangeConnection(ExchangeConnection&&) = delete;
  ExchangeConnection& operator=(const ExchangeConnection&) = delete;
  ExchangeConnection& operator=(ExchangeConnection&&) = delete;
  virtual ~ExchangeConnection() = default;

 protected:
  ExchangeConnection() = default;
};

/// Carries one job at a time, from its first byte to the end of its answer. Nothing is sent twice.
///
/// What an end proves: as long as the last byte of a request has not been handed to the kernel, it can't have
/// run, and the end is ConnectFailed; after that it may have, whatever has become of it since, and the end is
/// Timeout, Reset, or what the answer says. A byte counts as sent in the same breath in which the kernel has
/// taken it: no other handler can come in between.
class UpstreamExchange {
 public:
  /// What the kernel may hold of a request that nobody reads, as SO_SNDBUF takes it (Linux doubles it). A
  /// small buffer lets a large body's write stand still, so that the request is known never to have come
  /// whole.
  static constexpr int kSendBufferSize = 16 * 1024;

  /// Both must outlive it.
  UpstreamExchange(ExchangeConnection& connection, const UpstreamContext& context)
      : connection_(connection), context_(context) {}

  /// The job that it carries; null: none.
  [[nodiscard]] const UpstreamJob* job() const { return job_.get(); }
  /// Whether what comes now is read: nothing may come before the request is written or its body has begun.
  [[nodiscard]] bool expectsBytes() const { return job_->isWritten || isUploading_; }
  /// What it proves if the job's time is up now.
  [[nodiscard]] balancer::Outcome timeoutOutcome() const;

  /// Takes a job. Nothing is written before start().
  void assign(std::shared_ptr<UpstreamJob> job) { job_ = std::move(job); }
  /// Writes the request, or fails unsent if the job's time is up. The connection has to be up.
  void start();
  /// There is something to read, or the stream has ended. Only while it has a job and expectsBytes().
  void onReadable();
  /// Gives the job up. An answer that streams fails.
  /// \return the job, which has to be ended; null: there was none.
  [[nodiscard]] std::shared_ptr<UpstreamJob> abandon();

 private:
  // Of the request.
  void write(std::string_view body, Clock::time_point now);
  void awaitWritable(boost::system::error_code why);
  void writeRest(boost::system::error_code error);
  void dropSent(std::size_t sent);
  void beginUpload();
  void upload();
  void awaitUpload();
  void onUploaded();
  void onWritten();

  // Of the answer.
  void beginReading();
  void advance();
  void beginStream();
  void forwardBody();
  void pause();
  void onBodyTaken();
  void complete();
  void failBroken();

  [[nodiscard]] std::shared_ptr<UpstreamExchange> keptAlive();

  ExchangeConnection& connection_;
  const UpstreamContext& context_;
  std::shared_ptr<UpstreamJob> job_;  // none: it has nothing to do
  std::string text_;                  // the request's head, of which this is still to be written
  std::string_view rest_;             // of a body in the message, what is still to be written behind text_
  StreamWriter writer_;               // of a request's body that streams
  AnswerParser parser_;
  std::shared_ptr<streaming::Pipe> answer_;  // that streams
  bool isUploading_ = false;
  bool awaitsUpload_ = false;  // the kernel takes no more of a body that streams
  bool isPaused_ = false;      // the client's side takes no more of an answer that streams
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_EXCHANGE_H_
