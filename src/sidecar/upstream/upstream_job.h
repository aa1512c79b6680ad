// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// An attempt or a probe in progress, and the interface of the pool to its connections.
#ifndef IVYPOST_UPSTREAM_UPSTREAM_JOB_H_
#define IVYPOST_UPSTREAM_UPSTREAM_JOB_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "clock.h"
#include "config.h"
#include "deadlines.h"
#include "streaming/byte_budget.h"
#include "upstream/attempt.h"
#include "upstream/attempt_failure.h"

namespace ivypost {

class UpstreamConnection;

/// An attempt or a probe in progress. Shared by the pool, which lists attempts, by the connection that
/// carries the job, and by queued handlers, which may outlive both.
struct UpstreamJob {
  std::optional<AttemptOrder> attempt;           ///< none: the job is a probe
  EndpointId upstream = 0;                       ///< the destination
  Clock::time_point startedAt;                   ///< when the pool started the job
  Clock::time_point deadline;                    ///< the job times out at this time
  Clock::time_point writeBy;                     ///< the last byte must be sent before this time
  bool isWritten = false;                        ///< the last byte has been sent, so the request may run
  bool hasEnded = false;                         ///< the end has been reported
  std::weak_ptr<UpstreamConnection> connection;  ///< the connection that carries the job
  std::string body;                              ///< of an answer of status 200 that was not streamed
  std::shared_ptr<streaming::ByteBudget::Share> bodyShare;  ///< the budget that `body` has taken; null: none
  std::string contentType;                                  ///< of an answer of status 200
  std::string loadReport;                                   ///< the header with the load report, unparsed
  bool isStreamed = false;                                  ///< the answer is streamed
  AttemptFailure failure = AttemptFailure::None;            ///< why there is no complete answer
  std::uint64_t receivedBytes = 0;                          ///< of the answer so far
  Clock::time_point streamingSince;                         ///< when the streaming of the current body began
  Clock::duration transfer{};                               ///< the time in which bodies were streamed
};

/// The interface of the pool to its connections. Outlives them, except for handlers of closed connections,
/// which do not call it.
class UpstreamHost {
 public:
  /// Whether the client has closed its connection, so that nothing of the job may be sent. False for a probe.
  [[nodiscard]] virtual bool isClientGone(const UpstreamJob& job) const = 0;
  /// Whether this is still the endpoint's address; the endpoint may have moved or been removed.
  [[nodiscard]] virtual bool isCurrentAddress(EndpointId upstream, const Endpoint& address) const = 0;
  /// The attempt's last byte has been sent. May be called from within the pool's send().
  virtual void onWritten(AttemptId id) = 0;
  /// The streaming of an answer begins. The receiver may end the job from within the call.
  virtual void onStreamBegin(StreamBegin begin) = 0;
  /// The connection did not start the job that waited for it, and is closed.
  virtual void onNotStarted(std::shared_ptr<UpstreamJob> job) = 0;
  /// The connection has become idle and can carry the next job.
  virtual void onIdle(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// The connection has been closed and can't be used again.
  virtual void onClosed(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// The job has ended. Calls after the first one for a job are ignored.
  virtual void onEnded(UpstreamJob& job, balancer::Outcome outcome) = 0;

  UpstreamHost(const UpstreamHost&) = delete;
  UpstreamHost(UpstreamHost&&) = delete;
  UpstreamHost& operator=(const UpstreamHost&) = delete;
  UpstreamHost& operator=(UpstreamHost&&) = delete;
  virtual ~UpstreamHost() = default;

 protected:
  UpstreamHost() = default;
};

/// The state and settings that all connections of a pool share.
struct UpstreamContext {
  boost::asio::io_context& io;           ///< the event loop; outlives the pool
  streaming::ByteBudget& budget;         ///< for streamed answers; outlives the pool
  UpstreamHost& host;                    ///< the pool
  std::shared_ptr<Deadlines> deadlines;  ///< the deadlines of all connections
  Clock::duration connectTimeout{};      ///< limit for connecting and for writing a body over the send buffer
  Clock::duration idleTime{};            ///< an idle connection is closed after this period
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_JOB_H_
