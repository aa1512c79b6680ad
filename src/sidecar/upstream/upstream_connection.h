// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// One connection to an upstream.
#ifndef IVYPOST_UPSTREAM_UPSTREAM_CONNECTION_H_
#define IVYPOST_UPSTREAM_UPSTREAM_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "clock.h"
#include "config.h"
#include "deadlines.h"
#include "upstream/upstream_exchange.h"
#include "upstream/upstream_job.h"

namespace ivypost {

/// Carries one job at a time; while it is idle, detects that the upstream closes it. Shared by the pool,
/// until it is closed, and by the handlers that wait for its socket, which do nothing once it is closed.
class UpstreamConnection final : public ExchangeConnection,
                                 public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// Does not connect yet. `context` must outlive the connection. `responseTimes`: of the upstream.
  UpstreamConnection(const UpstreamContext& context, EndpointId upstream, Endpoint address,
                     std::shared_ptr<ResponseTimes> responseTimes);

  /// The endpoint that it connects to.
  [[nodiscard]] EndpointId upstream() const { return upstream_; }
  /// The time at which the connection became idle. Valid while it has no job.
  [[nodiscard]] Clock::time_point idleSince() const { return idleSince_; }
  /// Whether the connection is being established; nothing of its job has been written then.
  [[nodiscard]] bool isConnecting() const { return isConnecting_; }
  /// Whether its job waits for the connection to settle.
  [[nodiscard]] bool isSettling() const { return isSettling_; }
  /// Whether its job waits for the connection to be established or to settle; nothing of the job has been
  /// written then.
  [[nodiscard]] bool hasWaitingJob() const { return isConnecting_ || isSettling_; }
  /// Whether an idle connection is open and has no unexpected bytes to read. Costs one system call.
  [[nodiscard]] bool isUsable();

  /// Connects, then carries the job. The job ends as ConnectFailed after the connect timeout.
  void open(std::shared_ptr<UpstreamJob> job);
  /// Carries a job. Requires an idle connection.
  void startJob(std::shared_ptr<UpstreamJob> job);
  /// Carries a job as soon as the connection has been idle for kSettlingTime. If the upstream sends bytes or
  /// closes the connection before, the job is returned through UpstreamHost::onNotStarted(). Requires an idle
  /// connection.
  void startJobWhenSettled(std::shared_ptr<UpstreamJob> job);
  /// Closes at once. Does nothing if already closed.
  void close();
  /// Closes the connection and then ends the job, in this order, so that no further attempt is sent while
  /// this one may still reach the upstream. If the job waits for the connection to settle, the connection
  /// becomes idle again instead.
  void fail(balancer::Outcome outcome, AttemptFailure failure) override;

 private:
  boost::asio::ip::tcp::socket& socket() override { return socket_; }
  std::shared_ptr<ExchangeConnection> self() override { return shared_from_this(); }
  void setDeadline(Clock::time_point at) override;
  void clearDeadline() override { deadline_.cancel(); }
  void awaitReadable(boost::system::error_code previousError) override;
  void release(bool isReusable) override;

  void onConnected(const boost::system::error_code& failed);
  void onReadable();
  void onDeadline();
  void onSettled();
  void returnJob();
  void becomeIdle();
  void returnToPool();

  const UpstreamContext& context_;
  const EndpointId upstream_;
  const Endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  Deadlines::Deadline deadline_;
  UpstreamExchange exchange_;
  Clock::time_point idleSince_;
  bool isConnecting_ = false;
  bool isSettling_ = false;  // holds a job that starts once the connection has settled
  bool isAwaitingReadable_ = false;
  bool isClosed_ = false;
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_CONNECTION_H_
