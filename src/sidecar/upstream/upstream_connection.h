// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// One connection to an upstream, from its opening to its close.
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

/// Carries one job at a time, and while it has none is watched for a close. Owned by the pool until it is
/// closed, and by the handlers that wait for its socket, which find it closed then.
class UpstreamConnection final : public ExchangeConnection,
                                 public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// Not open yet. `context` must outlive it.
  UpstreamConnection(const UpstreamContext& context, EndpointId upstream, Endpoint address);

  /// Whose it is.
  [[nodiscard]] EndpointId upstream() const { return upstream_; }
  /// When it became idle; for a connection without a job.
  [[nodiscard]] Clock::time_point idleSince() const { return idleSince_; }
  /// Whether it has a job of which nothing has been written, since it is not up yet.
  [[nodiscard]] bool isComingUp() const { return isComingUp_; }
  /// Whether an idle connection still stands and has nothing unasked for to read. One system call.
  [[nodiscard]] bool isUsable();

  /// Connects, and carries the job as soon as it is up. It fails unsent after the connect timeout.
  void open(std::shared_ptr<UpstreamJob> job);
  /// Carries a job on a connection that is idle.
  void carry(std::shared_ptr<UpstreamJob> job);
  /// Closes at once. Does nothing if it is closed.
  void close();
  /// Closes and then ends the job, so that no second copy can go out while this one may still arrive.
  void fail(balancer::Outcome outcome) override;

 private:
  boost::asio::ip::tcp::socket& socket() override { return socket_; }
  std::shared_ptr<ExchangeConnection> self() override { return shared_from_this(); }
  void setDeadline(Clock::time_point at) override;
  void clearDeadline() override { deadline_.cancel(); }
  void awaitReadable(boost::system::error_code why) override;
  void release(bool isReusable) override;

  void onConnected(const boost::system::error_code& failed);
  void onReadable();
  void onDeadline();
  void becomeIdle();

  const UpstreamContext& context_;
  const EndpointId upstream_;
  const Endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  Deadlines::Deadline deadline_;
  UpstreamExchange exchange_;
  Clock::time_point idleSince_;
  bool isComingUp_ = false;
  bool isAwaitingReadable_ = false;
  bool isClosed_ = false;
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_CONNECTION_H_
