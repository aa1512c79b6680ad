// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The pool of connections to all upstreams, which carry attempts and probes.
#ifndef IVYPOST_UPSTREAM_CONNECTION_POOL_H_
#define IVYPOST_UPSTREAM_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
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

/// Maintains connections to upstreams and sends attempts and probes over them.
///
/// Each attempt ends in exactly one outcome and each probe in one result, which a callback from the event
/// loop reports; it is never called from within a call of the pool. The pool does not retry. The number of
/// connections is limited to a fraction of the process's descriptors: at the limit, the connection that was
/// idle longest is closed for a new one, and if none is idle the attempt ends without being sent. Not
/// thread-safe: all calls must be made on the event loop.
class ConnectionPool final : private UpstreamHost {
 public:
  /// Called on the event loop. What the callbacks refer to must outlive the pool.
  struct Callbacks {
    /// The attempt's last byte has been handed to the kernel. The only event that may be reported from within
    /// send().
    std::function<void(AttemptId)> onWritten;
    /// An attempt has ended. Called once per attempt.
    std::function<void(AttemptEnd)> onAttemptEnded;
    /// An answer is being streamed. Called before `onAttemptEnded`; the body's pipe fails if the rest of the
    /// answer can't be received.
    std::function<void(StreamBegin)> onStreamBegin;
    /// A probe has ended. Called once per probe.
    std::function<void(ProbeEnd)> onProbeEnded;
    /// Whether this request's client has closed its connection. Called immediately before an attempt's first
    /// byte is sent; must not call the pool. If true, the attempt ends as Moot without being sent. May be
    /// empty.
    std::function<bool(balancer::RequestId)> isClientGone{};
  };

  /// Reads its limits and timeouts from `config`, which need not outlive the pool. `io` and `budget`, which
  /// bounds streamed answers, must outlive it.
  ConnectionPool(boost::asio::io_context& io, const Config& config, streaming::ByteBudget& budget,
                 Callbacks callbacks);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool(ConnectionPool&&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ConnectionPool& operator=(ConnectionPool&&) = delete;
  /// Makes no callbacks: attempts and probes that are in progress are not reported.
  ~ConnectionPool() override;

  /// Sets the endpoint's address, and when its process started, in milliseconds of the Unix epoch. If either
  /// has changed, connections to the previous process are treated as in remove().
  void setAddress(EndpointId upstream, const Endpoint& address, std::int64_t startedAtMs = 0);
  /// Removes an endpoint: closes its idle connections at once and the busy ones when their attempts end, and
  /// calls failWaiting().
  void remove(EndpointId upstream);
  /// Ends as ConnectFailed, never sent, the endpoint's attempts that wait for a connection to be established,
  /// which is closed, or to settle. Called when an upstream must get no new requests: otherwise a connection
  /// that is established late would still carry its request to the upstream.
  void failWaiting(EndpointId upstream);
  /// Closes the endpoint's idle connections. The endpoint must have had an address.
  void closeIdle(EndpointId upstream);

  /// Sends an attempt over a connection that has been idle for kSettlingTime. If there is none, waits for one
  /// or opens a new one (shouldAwaitSettling()). The endpoint must have had an address.
  void send(AttemptOrder order);
  /// Closes the attempt's connection at once. The attempt ends as Cancelled, or as Timeout if its deadline
  /// has passed. Ignored if the attempt has ended.
  void cancel(AttemptId id);
  /// Ends as Moot those attempts of a finished request whose last byte has not been sent, whether or not
  /// running attempts may be cancelled.
  void cancelUnsent(balancer::RequestId request);
  /// Sends a probe, which requests the endpoint's load report. Times out after 300 ms. Does not wait for a
  /// connection to settle. The endpoint must have had an address.
  void probe(EndpointId upstream);

  /// The number of connections in any state.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// The number of connections that have a job and are not established yet.
  [[nodiscard]] std::size_t connecting() const;
  /// The most connections that are open at once.
  [[nodiscard]] std::size_t maxConnections() const { return maxConnections_; }
  /// The connections that carry a job, as a fraction of the connection limit, 0 to 1.
  [[nodiscard]] double busyFraction() const;

 private:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

  [[nodiscard]] bool isClientGone(const UpstreamJob& job) const override;
  [[nodiscard]] bool isCurrentAddress(EndpointId upstream, const Endpoint& address) const override;
  void onWritten(AttemptId id) override;
  void onStreamBegin(StreamBegin begin) override;
  void onNotStarted(std::shared_ptr<UpstreamJob> job) override;
  void onIdle(const ConnectionPtr& connection) override;
  void onClosed(const ConnectionPtr& connection) override;
  void onEnded(UpstreamJob& job, balancer::Outcome outcome) override;

  void closeUnused(EndpointId upstream);
  void end(UpstreamJob& job, balancer::Outcome outcome, AttemptFailure failure);
  void start(std::shared_ptr<UpstreamJob> job);
  void dispatch(std::shared_ptr<UpstreamJob> job);
  ConnectionPtr takeSettled(EndpointId upstream);
  ConnectionPtr takeSettling(const UpstreamJob& job);
  bool shouldGrow(EndpointId upstream);
  bool closeSurplusConnection(EndpointId upstream);
  bool ensureCapacity();
  void reportProbe(const UpstreamJob& job, bool isOk, Clock::duration latency);
  void reportAttempt(UpstreamJob& job, balancer::Outcome outcome, Clock::duration latency);

  Callbacks callbacks_;
  const std::size_t maxConnections_;
  const UpstreamContext context_;
  std::vector<std::optional<Endpoint>> addresses_;  // by endpoint id; none: unknown or removed
  std::vector<std::int64_t> startTimes_;            // by endpoint id, as given with the address
  std::vector<std::vector<ConnectionPtr>> idle_;    // by endpoint id; the longest idle first
  // By endpoint id; shared with the connections, which may outlive the entry.
  std::vector<std::shared_ptr<ResponseTimes>> responseTimes_;
  std::map<const UpstreamConnection*, ConnectionPtr> connections_;
  std::map<AttemptId, std::shared_ptr<UpstreamJob>> attempts_;  // attempts that have not ended
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_CONNECTION_POOL_H_
