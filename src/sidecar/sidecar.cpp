// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "sidecar.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace ivypost {
namespace {

namespace asio = boost::asio;
using balancer::MembershipUpdate;
using balancer::Outcome;
using balancer::RequestId;
using std::chrono::duration_cast;
using std::chrono::microseconds;

void log(const std::string& line) {
  std::fprintf(stderr, "%s\n", line.c_str());
}

// The endpoint's identity as shared with other sidecars, and the start time of its present incarnation.
health_reports::Incarnation incarnationOf(const EndpointRecord& endpoint) {
  return {settings::identity(endpoint.id),
          health_reports::WallTime(std::chrono::milliseconds(endpoint.startedAtMs))};
}

// The longest deadline of all classes; none: the settings have no class.
std::optional<microseconds> longestDeadline(const balancer::Settings& settings) {
  std::optional<microseconds> longest;
  for (const auto& cls : settings.classes)
    longest = std::max(longest.value_or(microseconds::zero()), microseconds(cls.deadline));
  return longest;
}

lifecycle::TimePoint timePoint(Micros now) {
  return lifecycle::TimePoint(microseconds(now));
}

}  // namespace

Sidecar::Sidecar(asio::io_context& io, Config config, const configuration::OperatorFile& file,
                 MakeEtcd makeEtcd)
    : io_(io),
      config_(std::move(config)),
      endpoints_(config_.site, unixNow(), now(), config_.console.has_value()),
      balancer_(config_.site.settings, config_.seed, now()),
      budget_(config_.memoryPlan().byteBudget),
      requestLog_({[this] { return resourceUsage(); }, log}),
      pool_(io, config_, budget_,
            {[this](AttemptId id) { onAttemptWritten(id); },
             [this](AttemptEnd end) { onAttemptEnded(std::move(end)); },
             [this](StreamBegin begin) { onAnswerStarted(std::move(begin)); },
             [this](const ProbeEnd& end) { onProbeEnded(end); },
             [this](RequestId id) { return server_.isClientGone(id); }}),
      membership_(io, config_.seed,
                  {[this](const discovery::EndpointList& list) {
                     selection_.onList();
                     onEndpointList(list, list.isComplete ? MembershipUpdate::Kind::Full
                                                          : MembershipUpdate::Kind::Changes);
                     onLifecycle(lifecycle::Event::EndpointListReceived);
                   },
                   [this] {
                     handle(MembershipUpdate{MembershipUpdate::Kind::Failed, {}});
                   }}),
      selection_(io, config_, membership_, std::move(makeEtcd), log),
      server_(io, config_, file, budget_,
              {[this](ClientRequest client) { onRequest(std::move(client)); },
               [this](RequestId id) { onRequestEnded(id); }, [this] { executor_.runOverdueTimer(); },
               [this] { return status(); },
               [this] { return healthView_ ? healthView_->status().dump() : std::string("{}"); },
               [this] {
                 if (onStopped_) onStopped_();
               },
               [this](RequestEvent event) { requestLog_.record(std::move(event), now()); },
               [this] { return requestLog_.status(now()); }}),
      executor_(io, {config_, requests_, endpoints_, pool_, membership_, server_},
                {[this] { handle(balancer::TimerDue{}); }, log}),
      degradation_(
          io, config_.cores,
          {[this] { return loadMeasurements(); }, [this](degradation::Level level) { onLevel(level); }}),
      lifecycle_({config_.listener.has_value(), config_.known && !config_.known->instances.empty(),
                  longestDeadline(config_.site.settings)},
                 timePoint(now())),
      lifecycleTimer_(io),
      admin_(io, config_, endpoints_, lifecycle_,
             {[this](lifecycle::Event event) { onLifecycle(event); },
              [this](const std::vector<std::string>& endpoints) { onExclusionsChanged(endpoints); }, log}) {
  if (unixNow() < 0)
    log("the wall clock is before 1970: starts that lists tell count as of when they are told");
  degradation_.apply(file.degradation);
  gossipOptions_ = file.peers;
  healthView_ = makeHealthView(gossipOptions_);
  selection_.select(file.membership, config_.discovery);
  admin_.loadExclusions();
  onEndpointList(config_.known.value_or(discovery::EndpointList{}), MembershipUpdate::Kind::Saved);
  if (!config_.site.settings.mustSubscribe || selection_.isEtcd()) membership_.watch();
  onLifecycle(lifecycle::Event::TimerExpired);
  admin_.listen();
}

void Sidecar::stop(std::function<void()> onStopped) {
  if (lifecycle_.state() == lifecycle::State::Stopping) return;
  onStopped_ = std::move(onStopped);
  if (healthView_) healthView_->leave();
  onLifecycle(lifecycle::Event::TerminationRequested);
}

void Sidecar::reload(const Config& config, const configuration::OperatorFile& file) {
  server_.admissionController().validate(file);
  if (file.peers.on && !(file.peers == gossipOptions_)) GossipHealthView::identityOf(file.peers, config_);
  selection_.select(file.membership, config.discovery);
  if (!(file.peers == gossipOptions_)) {
    if (healthView_) {
      healthView_->leave();
      // The previous health view is destroyed from the event loop, after its handlers that are already
      // queued.
      asio::post(io_, [old = std::move(healthView_)] {});
    }
    gossipOptions_ = file.peers;
    healthView_ = makeHealthView(gossipOptions_);
    log(healthView_ ? "peers: on, as the operator's file has it now" : "peers: off");
  }
  membership_.setPlatformAddress(config.discovery);
  server_.apply(file);
  degradation_.apply(file.degradation);
}

// ---- Events -----------------------------------------------------------------------------------------------

void Sidecar::handle(const balancer::Event& event) {
  handle(event, now());
}

void Sidecar::handle(const balancer::Event& event, Micros at) {
  std::vector<balancer::Action> actions;
  balancer_.handle(event, at, actions);
  executor_.execute(actions, at);
  executor_.onEventHandled(at);
}

void Sidecar::onRequest(ClientRequest client) {
  balancer::NewRequest event;
  event.request = client.id;
  event.requestClass = client.requestClass;
  event.tenant = client.tenant;
  event.key = client.key;
  event.work = client.work;
  event.isRetry = client.isRetry;
  degradation_.onRequest(client.isRetry);
  Request request;
  request.client = std::move(client);
  const Clock::time_point deadline = request.client.deadline;
  requests_.emplace(event.request, std::move(request));
  // The remaining time is computed anew, since the request may have waited in the admission queue after it
  // was read; and by the event's own time, so that the module's deadline is the client's.
  const Micros at = now();
  event.expiresIn = std::max<Micros>(0, microsOf(deadline) - at);
  handle(event, at);
}

void Sidecar::onRequestEnded(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second.isFinished = true;
  handle(balancer::Withdrawn{id});
  pool_.cancelUnsent(id);
  executor_.forget(id);
}

void Sidecar::onAttemptWritten(AttemptId id) {
  const auto found = requests_.find(id.request);
  if (found != requests_.end()) found->second.attempts.at(id.number).writtenAt = Clock::now();
}

void Sidecar::onAttemptEnded(AttemptEnd end) {
  const auto found = requests_.find(end.id.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  AttemptRecord& attempt = request.attempts.at(end.id.number);
  attempt.mayHaveRun = !provesNeverRan(end.outcome);
  --request.pendingAttempts;
  if (end.outcome != Outcome::Ok) recordAttempt(end, request, attempt.upstream);
  if (const EndpointRecord& endpoint = endpoints_[attempt.upstream]; healthView_ && endpoint.isListed)
    healthView_->recordAttempt(incarnationOf(endpoint), end.outcome,
                               duration_cast<microseconds>(end.latency).count());
  if (end.outcome != Outcome::Cancelled && end.outcome != Outcome::Moot)
    degradation_.onAttemptEnd(end.outcome != Outcome::Ok);
  balancer::AttemptOutcome event;
  event.request = end.id.request;
  event.attempt = end.id.number;
  event.upstream = attempt.upstream;
  event.outcome = end.outcome;
  event.latency = duration_cast<microseconds>(end.latency).count();
  event.report = end.report;
  event.clientLimitedTime = duration_cast<microseconds>(end.transfer).count();
  event.isBodyConsumed = end.isBodyConsumed;
  if (end.outcome == Outcome::Ok && !request.isFinished) {
    Answer answer;
    answer.status = 200;
    answer.body = std::move(end.body);
    answer.bodyShare = std::move(end.bodyShare);
    if (!end.contentType.empty()) answer.contentType = std::move(end.contentType);
    executor_.finish(end.id.request, std::move(answer));
  }
  event.endsRequest = request.isFinished;
  handle(event);
  executor_.forget(end.id.request);
}

// Withdrawn attempts are no failures: what withdrew them is recorded by itself.
void Sidecar::recordAttempt(const AttemptEnd& end, const OpenRequest& request, EndpointId upstream) {
  if (end.outcome == Outcome::Cancelled || end.outcome == Outcome::Moot) return;
  RequestEvent event;
  event.kind = end.isStreamed ? RequestEvent::Kind::AnswerCut : RequestEvent::Kind::AttemptFailed;
  event.traceId = request.client.trace;
  event.reason = nameOf(end.failure);
  event.upstream = endpoints_[upstream].id;
  event.bytes = end.receivedBytes;
  event.elapsed = duration_cast<microseconds>(end.latency).count();
  requestLog_.record(std::move(event), now());
}

// Once the answer has begun to stream to the client, no other answer can replace it, even if the rest of its
// body fails.
void Sidecar::onAnswerStarted(StreamBegin begin) {
  const auto found = requests_.find(begin.id.request);
  if (found == requests_.end() || found->second.isFinished) return begin.body->abandon();
  handle(balancer::AttemptStarted{begin.id.request, begin.id.number});
  Answer answer;
  answer.status = 200;
  if (!begin.contentType.empty()) answer.contentType = std::move(begin.contentType);
  answer.length = begin.length;
  answer.stream = std::move(begin.body);
  executor_.finish(begin.id.request, std::move(answer));
}

void Sidecar::onProbeEnded(const ProbeEnd& end) {
  balancer::ProbeResult event;
  event.upstream = end.upstream;
  event.ok = end.ok;
  event.latency = duration_cast<microseconds>(end.latency).count();
  event.report = end.report;
  handle(event);
  endpoints_.dropUse(end.upstream);
}

void Sidecar::onEndpointList(const discovery::EndpointList& list, MembershipUpdate::Kind kind) {
  const MembershipUpdate update = endpoints_.apply(list, kind, admin_.exclusions(), now());
  for (const auto& entry : update.entries) {
    if (entry.state == balancer::EndpointState::Gone) continue;
    const EndpointRecord& endpoint = endpoints_[entry.upstream];
    pool_.setAddress(entry.upstream, endpoint.address, endpoint.startedAtMs);
  }
  // A list without a serving endpoint is applied too: draining and removed endpoints get no new attempts.
  const bool anyUp = std::any_of(update.entries.begin(), update.entries.end(), [](const auto& entry) {
    return entry.state == balancer::EndpointState::Serving;
  });
  if (list.isComplete && !anyUp) std::fprintf(stderr, "the whole list names no upstream that is up\n");
  handle(update);
  for (const auto& entry : update.entries) {
    if (entry.state != balancer::EndpointState::Draining) continue;
    pool_.failWaiting(entry.upstream);
    if (admin_.exclusions().isExcluded(endpoints_[entry.upstream].id)) pool_.closeIdle(entry.upstream);
  }
  for (const EndpointId upstream : endpoints_.unlisted()) {
    pool_.remove(upstream);
    endpoints_.freeIfUnused(upstream);
  }
}

// ---- Operators --------------------------------------------------------------------------------------------

void Sidecar::onLifecycle(lifecycle::Event event) {
  const auto before = lifecycle_.state();
  lifecycle_.handle(event, timePoint(now()));
  if (lifecycle_.state() != before)
    log(std::string("the sidecar is ") + lifecycle::nameOf(lifecycle_.state()));
  server_.apply(lifecycle_.effects());
  const auto next = lifecycle_.nextChange();
  if (!next) {
    lifecycleTimer_.cancel();
    return;
  }
  lifecycleTimer_.expires_at(*next);
  lifecycleTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) onLifecycle(lifecycle::Event::TimerExpired);
  });
}

void Sidecar::onExclusionsChanged(const std::vector<std::string>& endpoints) {
  discovery::EndpointList changed;
  changed.instances = endpoints_.received(endpoints);
  changed.previousUntil = timePoint(now());  // the previous list was current until the operators' call
  if (!changed.instances.empty()) onEndpointList(changed, MembershipUpdate::Kind::Changes);
}

// ---- Peers ------------------------------------------------------------------------------------------------

std::unique_ptr<GossipHealthView> Sidecar::makeHealthView(const gossip::Options& options) {
  if (!options.on) return nullptr;
  return std::make_unique<GossipHealthView>(
      io_, GossipHealthView::identityOf(options, config_), config_.seed,
      GossipHealthView::Callbacks{[this] { return listed(); },
                                  [this](const balancer::HealthReport& report) { handle(report); }, log});
}

std::vector<GossipHealthView::Listed> Sidecar::listed() const {
  std::vector<GossipHealthView::Listed> all;
  for (EndpointId upstream = 0; upstream < endpoints_.size(); ++upstream) {
    const EndpointRecord& endpoint = endpoints_[upstream];
    if (endpoint.isListed)
      all.push_back({incarnationOf(endpoint), upstream, endpoint.launchedAt, endpoint.id});
  }
  return all;
}

// ---- Degradation levels -----------------------------------------------------------------------------------

void Sidecar::onLevel(degradation::Level level) {
  const degradation::Restrictions restrictions = degradation::restrictionsAt(level);
  server_.admissionController().restrict(restrictions);
  handle(balancer::ReducedService{restrictions.allowsHedging, restrictions.healthCheckFraction});
}

degradation::Measurements Sidecar::loadMeasurements() {
  const auto& limiter = server_.connectionLimiter();
  degradation::Measurements measurements;
  measurements.openRequestFraction = server_.openRequestFraction();
  const auto working = static_cast<double>(limiter.count(admission::ConnectionLimiter::State::Active));
  measurements.busyConnectionFraction =
      std::max(working / static_cast<double>(limiter.maxConnections()), pool_.busyFraction());
  measurements.overQuotaFraction = server_.admissionController().beyondQuotaFraction();
  measurements.endpointListAge = membership_.freshness().age;
  return measurements;
}

ResourceUsage Sidecar::resourceUsage() const {
  const auto& limiter = server_.connectionLimiter();
  ResourceUsage usage;
  usage.budgetInUse = budget_.inUse();
  usage.budgetCapacity = budget_.capacity();
  usage.clientConnections = limiter.size();
  usage.activeClients = limiter.count(admission::ConnectionLimiter::State::Active);
  usage.maxClientConnections = limiter.maxConnections();
  usage.upstreamConnections = pool_.connections();
  usage.maxUpstreamConnections = pool_.maxConnections();
  usage.openRequests = server_.openRequests();
  return usage;
}

std::string Sidecar::status() const {
  nlohmann::json status = degradation_.status();
  status["name"] = config_.name;
  status["waiting"] = server_.admissionController().queueSize();
  const discovery::Freshness freshness = membership_.freshness();
  status["membership"] = {{"source", selection_.isEtcd() ? "etcd" : "platform"},
                          {"age_ms", duration_cast<std::chrono::milliseconds>(freshness.age).count()},
                          {"sure", freshness.isConfirmed}};
  for (std::size_t n = 0; n < admission::kOutcomes; ++n) {
    const auto outcome = static_cast<admission::Outcome>(n);
    status["queue"][admission::nameOf(outcome)] = server_.admissionController().count(outcome);
  }
  return status.dump();
}

}  // namespace ivypost
