// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/upstream_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

#include "network/nonblocking_io.h"
#include "upstream/idle_connection_choice.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using balancer::Outcome;
using boost::system::error_code;

}  // namespace

UpstreamConnection::UpstreamConnection(const UpstreamContext& context, EndpointId upstream, Endpoint address,
                                       std::shared_ptr<ResponseTimes> responseTimes)
    : context_(context),
      upstream_(upstream),
      address_(std::move(address)),
      socket_(context.io),
      deadline_(context.deadlines),
      exchange_(*this, context, std::move(responseTimes)) {}

void UpstreamConnection::open(std::shared_ptr<UpstreamJob> job) {
  job->connection = weak_from_this();
  const UpstreamJob& newJob = *job;
  exchange_.assign(std::move(job));
  error_code error;
  socket_.open(address_.protocol(), error);
  if (error) return fail(Outcome::ConnectFailed, AttemptFailure::NoConnection);
  socket_.set_option(tcp::no_delay(true), error);
  socket_.set_option(asio::socket_base::send_buffer_size(UpstreamExchange::kSendBufferSize), error);
  socket_.non_blocking(true, error);
  setDeadline(std::min({newJob.deadline, newJob.writeBy, Clock::now() + context_.connectTimeout}));
  isConnecting_ = true;
  socket_.async_connect(address_,
                        [self = shared_from_this()](const error_code& failed) { self->onConnected(failed); });
}

void UpstreamConnection::onConnected(const error_code& failed) {
  isConnecting_ = false;
  const UpstreamJob* const job = exchange_.job();
  if (job == nullptr) return;
  if (failed) return fail(Outcome::ConnectFailed, AttemptFailure::ConnectFailed);
  // The client may have closed its connection while this one was being established.
  if (context_.host.isClientGone(*job)) return fail(Outcome::Moot, AttemptFailure::ClientGone);
  exchange_.start();
}

void UpstreamConnection::startJob(std::shared_ptr<UpstreamJob> job) {
  job->connection = weak_from_this();
  exchange_.assign(std::move(job));
  exchange_.start();
}

void UpstreamConnection::startJobWhenSettled(std::shared_ptr<UpstreamJob> job) {
  job->connection = weak_from_this();
  exchange_.assign(std::move(job));
  isSettling_ = true;
  setDeadline(idleSince_ + kSettlingTime);
}

void UpstreamConnection::onSettled() {
  if (!isUsable()) return returnJob();
  // The client may have closed its connection in the meantime.
  if (context_.host.isClientGone(*exchange_.job())) return fail(Outcome::Moot, AttemptFailure::ClientGone);
  isSettling_ = false;
  exchange_.start();
}

// Closes the connection and gives the job, of which nothing has been written, back to the pool.
void UpstreamConnection::returnJob() {
  isSettling_ = false;
  auto job = exchange_.abandon();
  close();
  context_.host.onNotStarted(std::move(job));
}

bool UpstreamConnection::isUsable() {
  char byte = 0;
  error_code error;
  network::receiveSome(socket_, asio::buffer(&byte, 1), error, tcp::socket::message_peek);
  return error == asio::error::would_block;
}

void UpstreamConnection::close() {
  if (isClosed_) return;
  isClosed_ = true;
  deadline_.cancel();
  error_code ignored;
  socket_.close(ignored);
  context_.host.onClosed(shared_from_this());  // the pool may drop the last other reference
}

void UpstreamConnection::fail(Outcome outcome, AttemptFailure failure) {
  const auto job = exchange_.abandon();
  if (job) job->failure = failure;
  if (std::exchange(isSettling_, false)) {
    returnToPool();
  } else {
    close();
  }
  if (job) context_.host.onEnded(*job, outcome);
}

void UpstreamConnection::release(bool isReusable) {
  if (isReusable) {
    becomeIdle();
  } else {
    close();
  }
}

void UpstreamConnection::becomeIdle() {
  idleSince_ = Clock::now();
  returnToPool();
}

// Returns the connection to the pool and waits for the upstream to close it.
void UpstreamConnection::returnToPool() {
  if (!context_.host.isCurrentAddress(upstream_, address_)) return close();
  context_.host.onIdle(shared_from_this());
  setDeadline(idleSince_ + context_.idleTime);
  awaitReadable({});
}

void UpstreamConnection::awaitReadable(error_code previousError) {
  if (isAwaitingReadable_) return;
  isAwaitingReadable_ = true;
  network::waitToRetry(socket_, tcp::socket::wait_read, previousError,
                       [self = shared_from_this()](const error_code&) { self->onReadable(); });
}

void UpstreamConnection::onReadable() {
  isAwaitingReadable_ = false;
  if (isClosed_) return;
  if (exchange_.job() != nullptr && !isSettling_) {
    // The wait was started while the connection was idle or for an answer. While a request is being written
    // no answer is expected yet.
    if (exchange_.expectsBytes()) exchange_.onReadable();
    return;
  }
  if (!isUsable()) return isSettling_ ? returnJob() : close();
  awaitReadable({});
}

void UpstreamConnection::setDeadline(Clock::time_point at) {
  deadline_.set(at, [this] { onDeadline(); });
}

void UpstreamConnection::onDeadline() {
  if (isClosed_) return;
  const auto self = shared_from_this();
  if (exchange_.job() == nullptr) return close();
  if (isSettling_) return onSettled();
  exchange_.onDeadline();
}

}  // namespace ivypost
