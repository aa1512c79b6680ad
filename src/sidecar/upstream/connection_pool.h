// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The connections to all upstreams, and attempts and probes over them.
#ifndef IVYPOST_UPSTREAM_CONNECTION_POOL_H_
#define IVYPOST_UPSTREAM_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "clock.h"
#include "config.h"
#include "streaming/byte_budget.h"
#include "upstream/attempt.h"
#include "upstream/upstream_connection.h"
#include "upstream/upstream_job.h"

namespace ivypost {

/// Keeps connections to upstreams and carries attempts and probes over them.
///
/// Each attempt ends in exactly one outcome, each probe in one result, always by a callback from the event
/// loop and never from within a call. Nothing is sent twice by itself. Connections are bounded by a fraction
/// of the process's descriptors; at the bound the one that was idle longest is closed for a new one, and if
/// none is idle an attempt ends unsent. Not thread-safe: all calls are made on the loop.
class ConnectionPool final : private UpstreamHost {
 public:
  /// Called on the event loop. They outlive the pool.
  struct Callbacks {
    /// Its last byte has gone out; the only one that may be called from within send().
    std::function<void(AttemptId)> written;
    /// Once an attempt.
    std::function<void(AttemptEnd)> ended;
    /// Comes before `ended`; the body that it hands out fails if the rest of the answer does not come.
    std::function<void(StreamBegin)> began;
    /// Once a probe.
    std::function<void(ProbeEnd)> probed;
    /// Whether this request's client has closed its connection. Asked right before an attempt's first byte;
    /// it must not call back into this class. If so, the attempt ends as Moot and nothing is sent. May be
    /// empty.
    std::function<bool(balancer::RequestId)> isClientGone{};
  };

  /// Takes its bounds and times from `config`, which need not outlive it; `io` and `budget`, that of answers
  /// that stream, must.
  ConnectionPool(boost::asio::io_context& io, const Config& config, streaming::ByteBudget& budget,
                 Callbacks callbacks);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool(ConnectionPool&&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ConnectionPool& operator=(ConnectionPool&&) = delete;
  /// Ends nothing: there are no callbacks any more.
  ~ConnectionPool() override;

  /// Where the endpoint is from now on. If it has moved, it is as with remove() for what leads to where it
  /// was.
  void setAddress(EndpointId upstream, const Endpoint& address);
  /// It has gone: its idle connections are closed, the others when their attempts end; what waits for one
  /// that is coming up is withdrawn.
  void remove(EndpointId upstream);
  /// Ends, as never sent, what waits for a connection to it to come up. For an upstream that wants nothing
  /// new: a connection that comes up late would carry a request there after the time in which that is
  /// allowed.
  void withdrawComingUp(EndpointId upstream);
  /// Closes its connections that carry nothing. The endpoint must have had an address.
  void closeIdle(EndpointId upstream);

  /// Makes an attempt, on an idle connection or a new one. The endpoint must have had an address.
  void send(AttemptOrder order);
  /// Closes the attempt's connection at once; ignored when it has ended.
  void cancel(AttemptId id);
  /// The request is finished: its attempts of which the last byte has not gone out yet end as never sent,
  /// whether or not those that run may be cancelled.
  void withdraw(balancer::RequestId request);
  /// Asks for the load report. Given up after 300 ms. The endpoint must have had an address.
  void probe(EndpointId upstream);

  /// Connections of all kinds.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// Of them, those that carry a job but are not up yet.
  [[nodiscard]] std::size_t comingUp() const;
  /// Connections that carry something, as a fraction of the most that there may be; 0 to 1.
  [[nodiscard]] double busyFraction() const;

 private:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

  [[nodiscard]] bool isClientGone(const UpstreamJob& job) const override;
  [[nodiscard]] bool isCurrentAddress(EndpointId upstream, const Endpoint& address) const override;
  void onWritten(AttemptId id) override;
  void onStreamBegin(StreamBegin begin) override;
  void onIdle(const ConnectionPtr& connection) override;
  void onClosed(const ConnectionPtr& connection) override;
  void onEnded(UpstreamJob& job, balancer::Outcome outcome) override;

  void start(std::shared_ptr<UpstreamJob> job);
  ConnectionPtr takeIdle(EndpointId upstream);
  bool ensureCapacity();
  void reportProbe(const UpstreamJob& job, bool isOk, Clock::duration lag);
  void reportAttempt(UpstreamJob& job, balancer::Outcome outcome, Clock::duration lag);

  Callbacks callbacks_;
  const std::size_t maxConnections_;
  const UpstreamContext context_;
  std::vector<std::optional<Endpoint>> addresses_;  // by endpoint id; none: it has gone
  std::vector<std::vector<ConnectionPtr>> idle_;    // by endpoint id, the last used at the back
  std::map<const UpstreamConnection*, ConnectionPtr> connections_;
  std::map<AttemptId, std::shared_ptr<UpstreamJob>> attempts_;  // that have not ended
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_CONNECTION_POOL_H_
