// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "upstream/idle_connection_choice.h"
#include "upstream/load_report_parser.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
using balancer::Outcome;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Defaults for settings that have no connect timeout or idle timeout.
constexpr milliseconds kDefaultConnectTimeout{1000};
constexpr milliseconds kDefaultIdleTime{5000};
// An idle connection is closed after this fraction of the upstream's idle timeout, before the upstream closes
// it.
constexpr double kIdleTimeFraction = 0.9;
// A probe times out after this period, since a load report that arrives later would be outdated.
constexpr milliseconds kProbeTimeout{300};

Clock::duration connectTimeoutOf(const balancer::Settings& settings) {
  if (settings.connectTimeout <= 0) return kDefaultConnectTimeout;
  return microseconds(settings.connectTimeout);
}

Clock::duration idleTimeOf(const balancer::Settings& settings) {
  if (settings.idleTimeout <= 0) return kDefaultIdleTime;
  return microseconds(static_cast<Micros>(kIdleTimeFraction * static_cast<double>(settings.idleTimeout)));
}

Clock::time_point idleSince(const std::shared_ptr<UpstreamConnection>& connection) {
  return connection->idleSince();
}

// Orders connections by the time since which they are idle.
bool isIdleAfter(Clock::time_point time, const std::shared_ptr<UpstreamConnection>& connection) {
  return time < connection->idleSince();
}

// Whether a part of a streamed body has been sent, so that the body can't be resent.
bool isBodyConsumed(const UpstreamJob& job) {
  return job.attempt && job.attempt->upload && job.attempt->upload->pipe.forwardedBytes() > 0;
}

}  // namespace

ConnectionPool::ConnectionPool(asio::io_context& io, const Config& config, streaming::ByteBudget& budget,
                               Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      maxConnections_(config.memoryPlan().upstreamConnections),
      context_{io,
               budget,
               *this,
               std::make_shared<Deadlines>(io),
               connectTimeoutOf(config.site.settings),
               idleTimeOf(config.site.settings)} {}

ConnectionPool::~ConnectionPool() {
  context_.deadlines->stop();
}

// ---- Endpoints --------------------------------------------------------------------------------------------

void ConnectionPool::setAddress(EndpointId upstream, const Endpoint& address, std::int64_t startedAtMs) {
  if (upstream >= addresses_.size()) {
    addresses_.resize(upstream + 1);
    idle_.resize(upstream + 1);
    responseTimes_.resize(upstream + 1);
    startTimes_.resize(upstream + 1);
  }
  if (addresses_[upstream] == address && startTimes_[upstream] == startedAtMs) return;
  closeUnused(upstream);  // idle and connecting sockets belong to the previous process
  startTimes_[upstream] = startedAtMs;
  responseTimes_[upstream] = std::make_shared<ResponseTimes>();
  addresses_[upstream] = address;
}

void ConnectionPool::remove(EndpointId upstream) {
  if (upstream >= addresses_.size()) return;
  addresses_[upstream].reset();
  closeUnused(upstream);
}

// Closes the connections on which nothing of a job has been written. Those that settle become idle first.
void ConnectionPool::closeUnused(EndpointId upstream) {
  failWaiting(upstream);
  closeIdle(upstream);
}

void ConnectionPool::failWaiting(EndpointId upstream) {
  std::vector<ConnectionPtr> waiting;
  for (const auto& [key, connection] : connections_) {
    if (connection->upstream() == upstream && connection->hasWaitingJob()) waiting.push_back(connection);
  }
  for (const auto& connection : waiting)
    connection->fail(Outcome::ConnectFailed, AttemptFailure::EndpointChanged);
}

void ConnectionPool::closeIdle(EndpointId upstream) {
  const auto idle = idle_[upstream];
  for (const auto& connection : idle) connection->close();
}

// ---- Attempts and probes ----------------------------------------------------------------------------------

void ConnectionPool::send(AttemptOrder order) {
  auto job = std::make_shared<UpstreamJob>();
  job->upstream = order.upstream;
  job->deadline = order.deadline;
  job->writeBy = order.writeBy;
  job->attempt = std::move(order);
  attempts_.emplace(job->attempt->id, job);
  start(std::move(job));
}

void ConnectionPool::probe(EndpointId upstream) {
  auto job = std::make_shared<UpstreamJob>();
  job->upstream = upstream;
  job->deadline = job->writeBy = Clock::now() + kProbeTimeout;
  start(std::move(job));
}

void ConnectionPool::start(std::shared_ptr<UpstreamJob> job) {
  job->startedAt = Clock::now();
  dispatch(std::move(job));
}

// Assigns the job to a connection. Called again if the connection ends before the job is started.
void ConnectionPool::dispatch(std::shared_ptr<UpstreamJob> job) {
  if (isBodyConsumed(*job)) return end(*job, Outcome::ConnectFailed, AttemptFailure::UploadFailed);
  if (isClientGone(*job)) return end(*job, Outcome::Moot, AttemptFailure::ClientGone);
  if (const auto settled = takeSettled(job->upstream)) return settled->startJob(std::move(job));
  if (const auto settling = takeSettling(*job)) return settling->startJobWhenSettled(std::move(job));
  const auto& address = addresses_.at(job->upstream);
  if (!address || !ensureCapacity()) return end(*job, Outcome::ConnectFailed, AttemptFailure::NoConnection);
  const auto connection =
      std::make_shared<UpstreamConnection>(context_, job->upstream, *address, responseTimes_[job->upstream]);
  connections_.emplace(connection.get(), connection);
  connection->open(std::move(job));
}

// Removes from the idle connections the one that carries the next job at once; null: there is none.
ConnectionPool::ConnectionPtr ConnectionPool::takeSettled(EndpointId upstream) {
  auto& idle = idle_[upstream];
  for (;;) {
    const auto now = Clock::now();
    const auto index = chooseSettledConnection(idle, now, idleSince);
    if (!index) return nullptr;
    const auto at = idle.begin() + static_cast<std::ptrdiff_t>(*index);
    auto chosen = *at;
    idle.erase(at);
    // The idle timeout may have passed although its timer has not run: the event loop may have run the
    // handler of this request first.
    if (now - chosen->idleSince() < context_.idleTime && chosen->isUsable()) return chosen;
    chosen->close();
  }
}

// Removes from the idle connections the one that settles first; null: there is none, or the job can't wait.
// Requires that no idle connection has settled.
ConnectionPool::ConnectionPtr ConnectionPool::takeSettling(const UpstreamJob& job) {
  auto& idle = idle_[job.upstream];
  // The balancer's own timeout of a probe can be shorter than the time that a connection takes to settle.
  if (idle.empty() || !job.attempt) return nullptr;
  const auto writeBy = std::min(job.deadline, job.writeBy);
  if (!shouldAwaitSettling(idle.front()->idleSince(), Clock::now(), writeBy)) return nullptr;
  if (shouldGrow(job.upstream)) return nullptr;
  auto first = idle.front();
  idle.erase(idle.begin());
  return first;
}

// Whether a connection is opened for an attempt that could wait until another one has settled: a second
// attempt that would wait for the same upstream shows that it has too few connections. At the connection
// limit, it gets one of an upstream that has more.
bool ConnectionPool::shouldGrow(EndpointId upstream) {
  const bool hasWaitingAttempt = std::any_of(
      connections_.begin(), connections_.end(),
      [&](const auto& entry) { return entry.second->upstream() == upstream && entry.second->isSettling(); });
  if (!hasWaitingAttempt) return false;
  return connections_.size() < maxConnections_ || closeSurplusConnection(upstream);
}

// Closes the connection that was idle longest of the upstreams that have at least two connections more than
// this one. Returns false if there is none. Each call evens the numbers out, so that a persistent load does
// not make the pool replace connections all the time.
bool ConnectionPool::closeSurplusConnection(EndpointId upstream) {
  std::vector<std::size_t> counts(idle_.size());
  for (const auto& [key, connection] : connections_) ++counts[connection->upstream()];
  ConnectionPtr oldest;
  for (std::size_t other = 0; other < idle_.size(); ++other) {
    const auto& idle = idle_[other];
    if (idle.empty() || counts[other] < counts[upstream] + 2) continue;
    if (!oldest || idle.front()->idleSince() < oldest->idleSince()) oldest = idle.front();
  }
  if (!oldest) return false;
  oldest->close();
  return true;
}

// Keeps the pool within its share of descriptors: at the limit, closes the connection that was idle longest.
// Returns false if no connection is idle.
bool ConnectionPool::ensureCapacity() {
  if (connections_.size() < maxConnections_) return true;
  ConnectionPtr oldest;
  for (const auto& idle : idle_) {
    if (!idle.empty() && (!oldest || idle.front()->idleSince() < oldest->idleSince())) oldest = idle.front();
  }
  if (!oldest) return false;
  oldest->close();
  return true;
}

void ConnectionPool::cancel(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto job = found->second;
  // An attempt past its deadline counts as timed out even if its timer has not run yet.
  const bool isLate = Clock::now() >= job->deadline;
  const Outcome outcome = isLate ? Outcome::Timeout : Outcome::Cancelled;
  const AttemptFailure failure = isLate ? AttemptFailure::TimedOut : AttemptFailure::Cancelled;
  if (const auto connection = job->connection.lock()) return connection->fail(outcome, failure);
  end(*job, outcome, failure);
}

void ConnectionPool::cancelUnsent(balancer::RequestId request) {
  std::vector<std::shared_ptr<UpstreamJob>> unsent;
  for (auto at = attempts_.lower_bound({request, 0}); at != attempts_.end() && at->first.request == request;
       ++at)
    if (!at->second->isWritten) unsent.push_back(at->second);
  for (const auto& job : unsent) {
    if (const auto connection = job->connection.lock())
      connection->fail(Outcome::Moot, AttemptFailure::Cancelled);
  }
}

// ---- Callbacks of connections -----------------------------------------------------------------------------

bool ConnectionPool::isClientGone(const UpstreamJob& job) const {
  return job.attempt && callbacks_.isClientGone && callbacks_.isClientGone(job.attempt->id.request);
}

bool ConnectionPool::isCurrentAddress(EndpointId upstream, const Endpoint& address) const {
  return addresses_[upstream] == address;
}

void ConnectionPool::onWritten(AttemptId id) {
  callbacks_.onWritten(id);
}

void ConnectionPool::onStreamBegin(StreamBegin begin) {
  callbacks_.onStreamBegin(std::move(begin));
}

void ConnectionPool::onNotStarted(std::shared_ptr<UpstreamJob> job) {
  dispatch(std::move(job));
}

void ConnectionPool::onIdle(const ConnectionPtr& connection) {
  auto& idle = idle_[connection->upstream()];
  idle.insert(std::upper_bound(idle.begin(), idle.end(), connection->idleSince(), isIdleAfter), connection);
}

void ConnectionPool::onClosed(const ConnectionPtr& connection) {
  std::erase(idle_[connection->upstream()], connection);
  connections_.erase(connection.get());
}

// Ends a job that no connection carries.
void ConnectionPool::end(UpstreamJob& job, Outcome outcome, AttemptFailure failure) {
  job.failure = failure;
  onEnded(job, outcome);
}

void ConnectionPool::onEnded(UpstreamJob& job, Outcome outcome) {
  if (job.hasEnded) return;
  job.hasEnded = true;
  const auto latency = Clock::now() - job.startedAt;
  if (job.attempt) return reportAttempt(job, outcome, latency);
  reportProbe(job, outcome == Outcome::Ok, latency);
}

void ConnectionPool::reportProbe(const UpstreamJob& job, bool isOk, Clock::duration latency) {
  const std::string& text = job.loadReport.empty() ? job.body : job.loadReport;
  asio::post(context_.io, [this, result = ProbeEnd{job.upstream, isOk, latency, parseLoadReport(text)}] {
    callbacks_.onProbeEnded(result);
  });
}

void ConnectionPool::reportAttempt(UpstreamJob& job, Outcome outcome, Clock::duration latency) {
  AttemptEnd result;
  result.id = job.attempt->id;
  result.outcome = outcome;
  result.latency = latency;
  result.body = std::move(job.body);
  result.bodyShare = std::move(job.bodyShare);
  result.contentType = std::move(job.contentType);
  result.failure = job.failure;
  result.receivedBytes = job.receivedBytes;
  result.isStreamed = job.isStreamed;
  result.isBodyConsumed = isBodyConsumed(job);
  result.transfer = job.transfer;
  result.report = parseLoadReport(job.loadReport);
  attempts_.erase(result.id);
  asio::post(context_.io,
             [this, result = std::move(result)]() mutable { callbacks_.onAttemptEnded(std::move(result)); });
}

// ---- Statistics -------------------------------------------------------------------------------------------

std::size_t ConnectionPool::connecting() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second->isConnecting(); }));
}

double ConnectionPool::busyFraction() const {
  if (maxConnections_ == 0) return 0;
  std::size_t idle = 0;
  for (const auto& ofUpstream : idle_) idle += ofUpstream.size();
  return static_cast<double>(connections_.size() - idle) / static_cast<double>(maxConnections_);
}

}  // namespace ivypost
