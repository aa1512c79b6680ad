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

// The fraction of the descriptors for client and upstream connections that upstream connections may use.
constexpr double kUpstreamFraction = 0.389;
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

// Whether a part of a streamed body has been sent, so that the body can't be resent.
bool isBodyConsumed(const UpstreamJob& job) {
  return job.attempt && job.attempt->upload && job.attempt->upload->pipe.forwardedBytes() > 0;
}

}  // namespace

ConnectionPool::ConnectionPool(asio::io_context& io, const Config& config, streaming::ByteBudget& budget,
                               Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      maxConnections_(static_cast<std::size_t>(kUpstreamFraction * config.poolSockets())),
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

void ConnectionPool::setAddress(EndpointId upstream, const Endpoint& address) {
  if (upstream >= addresses_.size()) {
    addresses_.resize(upstream + 1);
    idle_.resize(upstream + 1);
  }
  if (addresses_[upstream] == address) return;
  closeIdle(upstream);  // idle and connecting sockets belong to the previous address
  failConnecting(upstream);
  addresses_[upstream] = address;
}

void ConnectionPool::remove(EndpointId upstream) {
  if (upstream >= addresses_.size()) return;
  addresses_[upstream].reset();
  closeIdle(upstream);
  failConnecting(upstream);
}

void ConnectionPool::failConnecting(EndpointId upstream) {
  std::vector<ConnectionPtr> connecting;
  for (const auto& [key, connection] : connections_) {
    if (connection->upstream() == upstream && connection->isConnecting()) connecting.push_back(connection);
  }
  for (const auto& connection : connecting) connection->fail(Outcome::ConnectFailed);
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
  if (isBodyConsumed(*job)) return onEnded(*job, Outcome::ConnectFailed);
  if (isClientGone(*job)) return onEnded(*job, Outcome::Moot);
  if (const auto reused = takeIdle(job->upstream)) return reused->startJob(std::move(job));
  const auto& address = addresses_.at(job->upstream);
  if (!address || !ensureCapacity()) return onEnded(*job, Outcome::ConnectFailed);
  const auto connection = std::make_shared<UpstreamConnection>(context_, job->upstream, *address);
  connections_.emplace(connection.get(), connection);
  connection->open(std::move(job));
}

ConnectionPool::ConnectionPtr ConnectionPool::takeIdle(EndpointId upstream) {
  auto& idle = idle_[upstream];
  const auto since = [](const auto& connection) { return connection->idleSince(); };
  while (!idle.empty()) {
    const auto now = Clock::now();
    const auto at = idle.begin() + static_cast<std::ptrdiff_t>(chooseIdleConnection(idle, now, since));
    auto chosen = *at;
    idle.erase(at);
    // The idle timeout may have passed although its timer has not run: the event loop may have run the
    // handler of this request first.
    if (now - chosen->idleSince() < context_.idleTime && chosen->isUsable()) return chosen;
    chosen->close();
  }
  return nullptr;
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
  const Outcome outcome = Clock::now() >= job->deadline ? Outcome::Timeout : Outcome::Cancelled;
  if (const auto connection = job->connection.lock()) return connection->fail(outcome);
  onEnded(*job, outcome);
}

void ConnectionPool::cancelUnsent(balancer::RequestId request) {
  std::vector<std::shared_ptr<UpstreamJob>> unsent;
  for (auto at = attempts_.lower_bound({request, 0}); at != attempts_.end() && at->first.request == request;
       ++at)
    if (!at->second->isWritten) unsent.push_back(at->second);
  for (const auto& job : unsent) {
    if (const auto connection = job->connection.lock()) connection->fail(Outcome::Moot);
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

void ConnectionPool::onIdle(const ConnectionPtr& connection) {
  idle_[connection->upstream()].push_back(connection);
}

void ConnectionPool::onClosed(const ConnectionPtr& connection) {
  std::erase(idle_[connection->upstream()], connection);
  connections_.erase(connection.get());
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
  result.contentType = std::move(job.contentType);
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
