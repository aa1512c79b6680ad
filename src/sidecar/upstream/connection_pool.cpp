// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/connection_pool.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "framing.h"
#include "network/nonblocking_io.h"
#include "relay/pieces_body.h"
#include "stream_writer.h"
#include "upstream/idle_connection_choice.h"
#include "upstream/load_report_parser.h"
#include "upstream/upstream_request.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using balancer::Outcome;
using beast::error_code;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Part of the pools' descriptors that connections to upstreams may hold.
constexpr double kUpstreamFraction = 0.389;
// What the kernel may hold of a request that nobody reads, as SO_SNDBUF takes it (Linux doubles it). A small
// buffer lets a large body's write stand still, so that the request is known never to have come whole.
constexpr int kSendBuffer = 16 * 1024;
// What is read of an answer at once.
constexpr std::size_t kReadAtOnce = 8UL * 1024;
// An upstream that takes nothing of a large body for so long does not read it.
constexpr milliseconds kUploadStallTimeout{2000};
// An answer that streams is given up when its upstream gives nothing more for so long.
constexpr milliseconds kAnswerStallTimeout{10'000};
// So many informational answers may come ahead of one.
constexpr int kMaxInformational = 8;
// Without a connect timeout or an idle time in the settings.
constexpr milliseconds kDefaultConnectTimeout{1000};
constexpr milliseconds kDefaultIdleTime{5000};
// An idle connection is dropped when this part of the upstream's own limit has passed.
constexpr double kIdleTimeFraction = 0.9;
// A probe is given up after this long at the most: by then it tells nothing that is still true.
constexpr milliseconds kProbeTimeout{300};

}  // namespace

// An attempt or a probe, until it has ended.
struct ConnectionPool::Job {
  std::optional<AttemptOrder> attempt;  // none: a probe
  EndpointId upstream = 0;
  Clock::time_point startedAt, deadline, writeBy;
  bool written = false;
  bool ended = false;
  std::weak_ptr<Connection> connection;
  std::string body, contentType, load;  // of the answer
  bool streamed = false;                // it is passed on in pieces
  Clock::time_point streamsSince;
  Clock::duration transfer{};
};

// One connection to an upstream. It carries one job at a time, and is listed by the pool until it is closed.
class ConnectionPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ConnectionPool& pool, EndpointId upstream)
      : pool_(pool), upstream_(upstream), socket_(pool.io_), deadline_(pool.deadlines_) {}

  EndpointId upstream() const { return upstream_; }
  Clock::time_point idleSince() const { return idleSince_; }

  void open(std::shared_ptr<Job> job) {
    job_ = std::move(job);
    job_->connection = weak_from_this();
    address_ = *pool_.addresses_[upstream_];
    error_code error;
    socket_.open(address_.protocol(), error);
    if (error) return fail(Outcome::ConnectFailed);
    socket_.set_option(tcp::no_delay(true), error);
    socket_.set_option(asio::socket_base::send_buffer_size(kSendBuffer), error);
    socket_.non_blocking(true, error);
    limit(std::min({job_->deadline, job_->writeBy, Clock::now() + pool_.connectTimeout_}));
    comingUp_ = true;
    socket_.async_connect(address_, [self = shared_from_this()](error_code failed) {
      self->comingUp_ = false;
      if (!self->job_) return;
      if (failed) return self->fail(Outcome::ConnectFailed);
      // It has had time to leave since the attempt was decided on.
      if (self->pool_.isClientGone(*self->job_)) return self->fail(Outcome::Moot);
      self->write();
    });
  }

  // It has a job of which nothing has been written, since it is not up yet.
  bool comingUp() const { return comingUp_; }

  void carry(std::shared_ptr<Job> job) {
    job_ = std::move(job);
    job_->connection = weak_from_this();
    write();
  }

  // Whether an idle connection still stands and has nothing unasked for to read.
  bool stands() {
    char byte = 0;
    error_code error;
    network::receiveSome(socket_, asio::buffer(&byte, 1), error, tcp::socket::message_peek);
    return error == asio::error::would_block;
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    deadline_.cancel();
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();  // the pool's may have been the last
    std::erase(pool_.idle_[upstream_], self);
    pool_.connections_.erase(this);
  }

  // Gives its job up: closes first, so that no second copy can go out while this one may still arrive.
  void fail(Outcome outcome) {
    const auto job = std::exchange(job_, nullptr);
    uploading_ = false;
    if (const auto answer = std::exchange(answer_, nullptr)) answer->fail();
    close();
    if (job) pool_.end(*job, outcome);
  }

 private:
  void write() {
    const auto now = Clock::now();
    const Job& job = *job_;
    if (now >= job.deadline || now >= job.writeBy) return fail(Outcome::ConnectFailed);
    const auto upload = job.attempt ? job.attempt->upload : nullptr;
    std::string_view body;
    if (job.attempt) {
      const Message& message = *job.attempt->message;
      body = message.body();
      text_ = attemptHead(message, upload.get(), timeLeft(job.deadline, upload.get(), now));
    } else {
      text_ = probeHead();
    }
    if (upload) return beginUpload();
    // The body goes from where it is, as far as the kernel takes it at once.
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(text_),
                                                     asio::buffer(body.data(), body.size())};
    const std::size_t size = asio::buffer_size(parts);
    error_code error;
    const std::size_t sent = network::writeSome(socket_, parts, error);
    if (sent == size) return onWritten();
    if (!network::isTransient(error)) return fail(Outcome::ConnectFailed);
    rest_ = body;
    dropSent(sent);
    // A repeat's last byte has to go out within the window too. And a body that the kernel can't take at once
    // waits for an upstream that reads, which is part of coming up.
    auto until = std::min(job.deadline, job.writeBy);
    if (body.size() > kSendBuffer) until = std::min(until, now + pool_.connectTimeout_);
    if (body.size() > kMaxWhole) until = std::min({job.deadline, job.writeBy, now + kUploadStallTimeout});
    limit(until);
    writeRest(error);
  }

  void dropSent(std::size_t sent) {
    const std::size_t ofHead = std::min(sent, text_.size());
    text_.erase(0, ofHead);
    rest_.remove_prefix(sent - ofHead);
  }

  // What the kernel has not taken yet. Each piece is handed over from here and counted in the same breath:
  // did the loop write it by itself, a time-out could come between the last byte and the news of it, and a
  // request that may run would be taken for one that never did. `why`: the write before came to no end.
  void writeRest(error_code why) {
    const auto ready = [self = shared_from_this(), job = job_](error_code error) {
      if (self->job_ != job) return;
      const std::array<asio::const_buffer, 2> parts = {asio::buffer(self->text_),
                                                       asio::buffer(self->rest_.data(), self->rest_.size())};
      const std::size_t size = asio::buffer_size(parts);
      const std::size_t sent = error ? 0 : network::writeSome(self->socket_, parts, error);
      if (sent == size) return self->onWritten();
      if (!network::isTransient(error)) return self->fail(Outcome::ConnectFailed);
      self->dropSent(sent);
      // It reads on, if slowly.
      if (job->attempt && sent > 0 && job->attempt->message->body().size() > kMaxWhole)
        self->limit(std::min({job->deadline, job->writeBy, Clock::now() + kUploadStallTimeout}));
      self->writeRest(error);
    };
    network::waitToRetry(socket_, tcp::socket::wait_write, why, ready);
  }

  // The body goes on as it comes in.
  void beginUpload() {
    uploading_ = true;
    writer_.begin(std::move(text_), !job_->attempt->upload->length);
    job_->streamsSince = Clock::now();
    job_->attempt->upload->pipe.onData = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        asio::post(self->pool_.io_, [self] {
          if (self->job_ && self->uploading_ && !self->waitsToWrite_) self->pump();
        });
      }
    };
    read();  // an answer may come before the body's end
    pump();
  }

  void pump() {
    Upload& upload = *job_->attempt->upload;
    switch (writer_.step(socket_, upload.pipe)) {
      case StreamWriter::Step::Blocked:
        return pumpLater();
      case StreamWriter::Step::Starved:
        return deadline_.cancel();  // the client's side has its own
      case StreamWriter::Step::Failed:
      case StreamWriter::Step::Broken:
        return fail(Outcome::ConnectFailed);
      case StreamWriter::Step::Done:
        uploading_ = false;
        job_->transfer += Clock::now() - job_->streamsSince;
        job_->deadline = upload.deadline;
        limit(job_->deadline);
        job_->written = true;
        return pool_.callbacks_.written(job_->attempt->id);
    }
  }

  void pumpLater() {
    waitsToWrite_ = true;
    // An upstream that takes nothing more is as one that does not come up.
    limit(Clock::now() + kUploadStallTimeout);
    writer_.wait(socket_, [self = shared_from_this()](error_code error) {
      self->waitsToWrite_ = false;
      if (!self->job_ || !self->uploading_) return;
      if (error) return self->fail(Outcome::ConnectFailed);
      self->pump();
    });
  }

  void onWritten() {
    limit(job_->deadline);
    job_->written = true;
    if (job_->attempt) pool_.callbacks_.written(job_->attempt->id);
    read();
  }

  // Nothing that ends an attempt before its last byte has gone out can have made it run.
  void broke() { fail(job_->written ? Outcome::Reset : Outcome::ConnectFailed); }

  // Guards against an answer without end: Boost.Beast 1.74 forgets that a length is over the limit when the
  // body comes along with the header, so the header is read apart.
  void read() {
    newParser();
    informational_ = 0;
    watch();
  }

  void newParser() {
    parser_.emplace();
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxBody);
  }

  // Something has come, or the connection has ended.
  void readable() {
    error_code error;
    const std::size_t most = answer_ ? std::min(answer_->room(), kReadOfStream) : kReadAtOnce;
    if (most == 0) return pause();
    buffer_.commit(network::receiveSome(socket_, buffer_.prepare(most), error));
    if (network::isTransient(error)) return watch(error);
    if (error == asio::error::eof && endsWithConnection()) {
      parser_->put_eof(error);
      if (!error) return parse();
    }
    if (error) return broke();
    parse();
  }

  // An answer with neither a length nor chunks is whole when its sender has ended the connection, whether or
  // not it has announced that (RFC 9112, 6.3). The end of the stream alone counts: a reset is no end. Where
  // an upstream's process dies in the middle, its kernel may end the stream as if it were whole; nothing on
  // the wire tells the two apart.
  bool endsWithConnection() { return parser_->is_header_done() && parser_->need_eof(); }

  void pause() {
    paused_ = true;
    deadline_.cancel();  // the client's side has its own
  }

  // The client's side has taken some of the answer, or wants no more.
  void roomMade() {
    if (!answer_) return;
    if (answer_->abandoned()) return fail(Outcome::Cancelled);
    if (!paused_ || answer_->room() == 0) return;
    paused_ = false;
    limit(Clock::now() + kAnswerStallTimeout);
    watch();
  }

  void beginAnswer() {
    answer_ = std::make_shared<relay::Pipe>(pool_.budget_);
    answer_->onRoom = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) asio::post(self->pool_.io_, [self] { self->roomMade(); });
    };
    job_->streamed = true;
    job_->streamsSince = Clock::now();
    StreamBegin begin{
        job_->attempt->id, std::string(view(parser_->get()[http::field::content_type])), {}, answer_};
    if (const auto length = parser_->content_length()) begin.length = *length;
    pool_.callbacks_.began(std::move(begin));
  }

  // Hands on what has been read of an answer that is too large to be read whole.
  void handOn() {
    std::string& body = parser_->get().body();
    const auto length = parser_->content_length();
    if (!answer_ && body.size() <= kMaxWhole && (!length || *length <= kMaxWhole || body.empty())) return;
    if (!answer_) beginAnswer();
    if (!answer_) return;  // given up within
    answer_->push(body);
    body.clear();
    limit(Clock::now() + kAnswerStallTimeout);
  }

  void parse() {
    error_code error;
    while (!error && !parser_->is_done() && buffer_.size() > 0) {
      const bool head = !parser_->is_header_done();
      buffer_.consume(parser_->put(buffer_.data(), error));
      if (!head || error || !parser_->is_header_done()) continue;
      const auto& answer = parser_->get();
      // By the number: Boost.Beast 1.74 has no name for 103.
      if (http::to_status_class(answer.result_int()) == http::status_class::informational) {
        // A switch of protocols was not asked for, and no answer comes after it.
        if (answer.result() == http::status::switching_protocols || informational_ == kMaxInformational)
          return broke();
        ++informational_;
        newParser();
        continue;
      }
      if (!plainFraming(answer)) return broke();
      if (const auto length = parser_->content_length(); length && *length > kMaxBody) return broke();
      parser_->eager(true);
    }
    if (error && error != http::error::need_more) return broke();
    // Only what a client will get is worth reading on.
    const bool serves = job_->attempt && job_->written && outcomeOf(parser_->get()) == Outcome::Ok;
    if (parser_->is_header_done() && serves) {
      handOn();
      if (!job_) return;
    } else if (parser_->get().body().size() > kMaxWhole) {
      return broke();
    }
    if (parser_->is_done()) return onRead();
    if (buffer_.size() > kMaxHeader + kReadOfStream) return broke();  // a chunk's head without end
    watch();
  }

  void onRead() {
    const auto& answer = parser_->get();
    const auto job = std::exchange(job_, nullptr);
    Outcome outcome = outcomeOf(answer);
    if (!job->written && outcome != Outcome::Full) outcome = Outcome::ConnectFailed;
    if (job->streamed) job->transfer += Clock::now() - job->streamsSince;
    if (const auto streamed = std::exchange(answer_, nullptr)) streamed->end();
    uploading_ = false;
    job->load = std::string(view(answer["Endpoint-Load-Metrics"]));
    if (outcome == Outcome::Ok) {
      job->contentType = std::string(view(answer[http::field::content_type]));
      job->body = parser_->get().body();
    }
    if (parser_->keep_alive() && buffer_.size() == 0 && job->written) {
      rest();
    } else {
      close();
    }
    pool_.end(*job, outcome);
  }

  static Outcome outcomeOf(const http::response<relay::PiecesBody>& answer) {
    if (answer.result() == http::status::ok) return Outcome::Ok;
    const bool turnedAway = answer.result() == http::status::service_unavailable ||
                            answer.result() == http::status::gateway_timeout;
    // A bare 503 promises nothing.
    return turnedAway && answer["X-Never-Ran"] == "1" ? Outcome::Full : Outcome::Error;
  }

  // Goes back to the pool, and is watched for a close.
  void rest() {
    if (pool_.addresses_[upstream_] != address_) return close();  // its upstream has moved or gone
    idleSince_ = Clock::now();
    pool_.idle_[upstream_].push_back(shared_from_this());
    limit(idleSince_ + pool_.idleTime_);
    watch();
  }

  // `why`: the read before came to nothing.
  void watch(error_code why = {}) {
    if (watching_) return;
    watching_ = true;
    network::waitToRetry(socket_, tcp::socket::wait_read, why, [self = shared_from_this()](error_code) {
      self->watching_ = false;
      if (self->closed_) return;
      if (self->job_) {
        // Set while it was idle, or for an answer; while a request is being written there is nothing to read
        // yet.
        if (self->job_->written || self->uploading_) self->readable();
        return;
      }
      if (!self->stands()) return self->close();
      self->watch();
    });
  }

  void limit(Clock::time_point until) {
    deadline_.set(until, [this] {
      if (closed_) return;
      const auto self = shared_from_this();
      if (!job_) return close();
      fail(job_->written ? Outcome::Timeout : Outcome::ConnectFailed);
    });
  }

  ConnectionPool& pool_;
  const EndpointId upstream_;
  Endpoint address_;
  tcp::socket socket_;
  Deadlines::Deadline deadline_;
  beast::flat_buffer buffer_;
  std::string text_;       // of the request, what is still to be written at the end
  int informational_ = 0;  // informational answers to it so far
  std::optional<http::response_parser<relay::PiecesBody>> parser_;
  std::shared_ptr<relay::Pipe> answer_;  // that streams
  std::string_view rest_;                // of a body in the message, what is still to be written behind text_
  StreamWriter writer_;                  // of a request's body that streams
  bool uploading_ = false, waitsToWrite_ = false;
  bool paused_ = false;  // the client's side has no room
  std::shared_ptr<Job> job_;
  Clock::time_point idleSince_;
  bool comingUp_ = false;
  bool watching_ = false;
  bool closed_ = false;
};

ConnectionPool::ConnectionPool(asio::io_context& io, const Config& config, relay::Budget& budget,
                               Callbacks callbacks)
    : io_(io),
      config_(config),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      deadlines_(std::make_shared<Deadlines>(io)),
      maxConnections_(static_cast<std::size_t>(kUpstreamFraction * config.poolSockets())),
      connectTimeout_(kDefaultConnectTimeout),
      idleTime_(kDefaultIdleTime) {
  const auto& settings = config.site.settings;
  if (settings.connectTimeout > 0) connectTimeout_ = microseconds(settings.connectTimeout);
  if (settings.idleTimeout > 0)
    idleTime_ =
        microseconds(static_cast<Micros>(kIdleTimeFraction * static_cast<double>(settings.idleTimeout)));
}

ConnectionPool::~ConnectionPool() {
  deadlines_->stop();
}

void ConnectionPool::setAddress(EndpointId upstream, const Endpoint& address) {
  if (upstream >= addresses_.size()) {
    addresses_.resize(upstream + 1);
    idle_.resize(upstream + 1);
  }
  if (addresses_[upstream] == address) return;
  closeIdle(upstream);  // they lead to where it was, and so do those that are coming up
  withdrawComingUp(upstream);
  addresses_[upstream] = address;
}

void ConnectionPool::remove(EndpointId upstream) {
  if (upstream >= addresses_.size()) return;
  addresses_[upstream].reset();
  closeIdle(upstream);
  withdrawComingUp(upstream);
}

std::size_t ConnectionPool::comingUp() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& one) { return one.second->comingUp(); }));
}

void ConnectionPool::withdrawComingUp(EndpointId upstream) {
  std::vector<std::shared_ptr<Connection>> comingUp;
  for (const auto& [key, connection] : connections_) {
    if (connection->upstream() == upstream && connection->comingUp()) comingUp.push_back(connection);
  }
  for (const auto& connection : comingUp) connection->fail(Outcome::ConnectFailed);
}

void ConnectionPool::send(AttemptOrder order) {
  auto job = std::make_shared<Job>();
  job->upstream = order.upstream;
  job->deadline = order.deadline;
  job->writeBy = order.writeBy;
  job->attempt = std::move(order);
  attempts_.emplace(job->attempt->id, job);
  start(std::move(job));
}

void ConnectionPool::probe(EndpointId upstream) {
  auto job = std::make_shared<Job>();
  job->upstream = upstream;
  job->deadline = job->writeBy = Clock::now() + kProbeTimeout;
  start(std::move(job));
}

void ConnectionPool::start(std::shared_ptr<Job> job) {
  job->startedAt = Clock::now();
  if (job->attempt && job->attempt->upload && job->attempt->upload->pipe.gone() > 0)
    return end(*job, Outcome::ConnectFailed);  // what has gone out can't go out again
  if (isClientGone(*job)) return end(*job, Outcome::Moot);
  if (const auto open = reuse(job->upstream)) return open->carry(std::move(job));
  if (!addresses_.at(job->upstream) || !ensureCapacity()) return end(*job, Outcome::ConnectFailed);
  const auto fresh = std::make_shared<Connection>(*this, job->upstream);
  connections_.emplace(fresh.get(), fresh);
  fresh->open(std::move(job));
}

bool ConnectionPool::isClientGone(const Job& job) const {
  return job.attempt && callbacks_.isClientGone && callbacks_.isClientGone(job.attempt->id.request);
}

std::shared_ptr<ConnectionPool::Connection> ConnectionPool::reuse(EndpointId upstream) {
  auto& idle = idle_[upstream];
  const auto since = [](const auto& one) { return one->idleSince(); };
  while (!idle.empty()) {
    const auto now = Clock::now();
    const auto at = idle.begin() + static_cast<std::ptrdiff_t>(chooseIdleConnection(idle, now, since));
    auto chosen = *at;
    idle.erase(at);
    // Its time may be up, and the timer that says so stand behind this request.
    if (now - chosen->idleSince() < idleTime_ && chosen->stands()) return chosen;
    chosen->close();
  }
  return nullptr;
}

// Guards against running out of descriptors: the connection that was idle longest gives way.
bool ConnectionPool::ensureCapacity() {
  if (connections_.size() < maxConnections_) return true;
  std::shared_ptr<Connection> oldest;
  for (const auto& idle : idle_) {
    if (!idle.empty() && (!oldest || idle.front()->idleSince() < oldest->idleSince())) oldest = idle.front();
  }
  if (!oldest) return false;
  oldest->close();
  return true;
}

double ConnectionPool::busyFraction() const {
  std::size_t idle = 0;
  for (const auto& one : idle_) idle += one.size();
  return maxConnections_ == 0
             ? 0
             : static_cast<double>(connections_.size() - idle) / static_cast<double>(maxConnections_);
}

void ConnectionPool::cancel(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto job = found->second;
  // One whose time is up has timed out, however late the timer runs.
  const Outcome outcome = Clock::now() >= job->deadline ? Outcome::Timeout : Outcome::Cancelled;
  if (const auto connection = job->connection.lock()) return connection->fail(outcome);
  end(*job, outcome);
}

void ConnectionPool::withdraw(balancer::RequestId request) {
  std::vector<std::shared_ptr<Job>> unsent;
  for (auto at = attempts_.lower_bound({request, 0}); at != attempts_.end() && at->first.request == request;
       ++at)
    if (!at->second->written) unsent.push_back(at->second);
  for (const auto& job : unsent) {
    if (const auto connection = job->connection.lock()) connection->fail(Outcome::Moot);
  }
}

void ConnectionPool::closeIdle(EndpointId upstream) {
  const auto idle = idle_[upstream];
  for (const auto& connection : idle) connection->close();
}

void ConnectionPool::end(Job& job, Outcome outcome) {
  if (job.ended) return;
  job.ended = true;
  const auto lag = Clock::now() - job.startedAt;
  if (!job.attempt) {
    const std::string& text = job.load.empty() ? job.body : job.load;
    asio::post(io_, [this, result = ProbeEnd{job.upstream, outcome == Outcome::Ok, lag,
                                             parseLoadReport(text)}] { callbacks_.probed(result); });
    return;
  }
  const AttemptId id = job.attempt->id;
  AttemptEnd result;
  result.id = id;
  result.outcome = outcome;
  result.lag = lag;
  result.body = std::move(job.body);
  result.contentType = std::move(job.contentType);
  result.streamed = job.streamed;
  result.spent = job.attempt->upload && job.attempt->upload->pipe.gone() > 0;
  result.transfer = job.transfer;
  result.report = parseLoadReport(job.load);
  attempts_.erase(id);
  asio::post(io_, [this, result = std::move(result)]() mutable { callbacks_.ended(std::move(result)); });
}

}  // namespace ivypost
