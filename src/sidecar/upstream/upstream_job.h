// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// An attempt or a probe on its way, and the pool as connections see it.
#ifndef IVYPOST_UPSTREAM_UPSTREAM_JOB_H_
#define IVYPOST_UPSTREAM_UPSTREAM_JOB_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "clock.h"
#include "config.h"
#include "deadlines.h"
#include "streaming/byte_budget.h"
#include "upstream/attempt.h"

namespace ivypost {

class UpstreamConnection;

/// An attempt or a probe, until it has ended. Shared by the pool, which lists attempts, and by the connection
/// that carries it, whose queued handlers may outlive both.
struct UpstreamJob {
  std::optional<AttemptOrder> attempt;           ///< none: a probe
  EndpointId upstream = 0;                       ///< where it goes
  Clock::time_point startedAt;                   ///< when it was asked for
  Clock::time_point deadline;                    ///< the answer is not waited for any longer
  Clock::time_point writeBy;                     ///< the last byte is not sent any later
  bool isWritten = false;                        ///< the last byte has gone out, so it may run
  bool hasEnded = false;                         ///< its end has been told
  std::weak_ptr<UpstreamConnection> connection;  ///< that carries it
  std::string body;                              ///< of a 200 that was not streamed
  std::string contentType;                       ///< of a 200
  std::string load;                              ///< the header with the load report, as received
  bool isStreamed = false;                       ///< the answer is passed on in pieces
  Clock::time_point streamsSince;                ///< since when the present body comes in pieces
  Clock::duration transfer{};                    ///< the time that bodies in pieces have taken
};

/// The pool as its connections see it. Outlives them but for handlers that find their connection closed.
class UpstreamHost {
 public:
  /// Whether nobody waits for the answer any more, so that nothing of it may be sent.
  [[nodiscard]] virtual bool isClientGone(const UpstreamJob& job) const = 0;
  /// Whether connections to this address are still wanted for the endpoint: it may have moved or gone.
  [[nodiscard]] virtual bool isCurrentAddress(EndpointId upstream, const Endpoint& address) const = 0;
  /// The attempt's last byte has gone out. May be called from within the pool's send().
  virtual void onWritten(AttemptId id) = 0;
  /// An answer is passed on in pieces. The receiver may end the job from within.
  virtual void onStreamBegin(StreamBegin begin) = 0;
  /// The connection carries nothing and may be given the next job.
  virtual void onIdle(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// The connection has closed; it is not used again.
  virtual void onClosed(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// The job has ended. The first end counts.
  virtual void onEnded(UpstreamJob& job, balancer::Outcome outcome) = 0;

  UpstreamHost(const UpstreamHost&) = delete;
  UpstreamHost(UpstreamHost&&) = delete;
  UpstreamHost& operator=(const UpstreamHost&) = delete;
  UpstreamHost& operator=(UpstreamHost&&) = delete;
  virtual ~UpstreamHost() = default;

 protected:
  UpstreamHost() = default;
};

/// What all connections of a pool share.
struct UpstreamContext {
  boost::asio::io_context& io;           ///< the event loop; outlives the pool
  streaming::ByteBudget& budget;         ///< of answers that stream; outlives the pool
  UpstreamHost& host;                    ///< the pool
  std::shared_ptr<Deadlines> deadlines;  ///< of the connections
  Clock::duration connectTimeout{};      ///< for a connection to come up, or a request to be taken
  Clock::duration idleTime{};            ///< a connection that was idle for so long is closed
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_UPSTREAM_JOB_H_
