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

// A repeat is written this long before its window ends at the latest: it has to arrive within it.
constexpr microseconds kWindowMargin{10'000};
// How soon this process hears of what operators have told the other one, while one replaces the other.
constexpr std::chrono::milliseconds kExclusionFilePollInterval{100};
// The other process of a replacement holds the lock of the exclusions' file for a write and two syncs of the
// disk, milliseconds as a rule. A call is answered as failed if it has not got the lock within two seconds.
constexpr std::chrono::milliseconds kLockRetryEvery{5};
constexpr std::chrono::milliseconds kLockPatience{2000};
constexpr const char* kLockHeld = "it can't be kept: the other process holds the file";
// The console's address is tried again so often when it can't be bound.
constexpr std::chrono::milliseconds kConsoleAgain{1000};

void log(const std::string& line) {
  std::fprintf(stderr, "%s\n", line.c_str());
}

exclusion::WallTime wallTime(std::int64_t unixMs) {
  return exclusion::WallTime(std::chrono::milliseconds(unixMs));
}

bool provesNeverRan(Outcome outcome) {
  return outcome == Outcome::Full || outcome == Outcome::ConnectFailed || outcome == Outcome::Moot;
}

// None: the settings name no class.
std::optional<microseconds> longestDeadline(const balancer::Settings& settings) {
  std::optional<microseconds> longest;
  for (const auto& cls : settings.classes)
    longest = std::max(longest.value_or(microseconds::zero()), microseconds(cls.deadline));
  return longest;
}

lifecycle::TimePoint timePoint(Micros now) {
  return lifecycle::TimePoint(microseconds(now));
}

// To an operator's call that failed. None: it has to be tried again.
std::optional<console::Reply> replyTo(const std::error_code& error) {
  if (error == exclusion::Error::Locked) return std::nullopt;
  if (error == exclusion::Error::NoFolder)
    return console::Reply{503, "TMPDIR is not set, so it can't be kept"};
  return console::Reply{503, "it can't be kept: " + error.message()};
}

}  // namespace

Sidecar::Sidecar(asio::io_context& io, Config config, const op::File& file, MakeEtcd makeEtcd)
    : io_(io),
      config_(std::move(config)),
      starts_(unixNow(), now()),
      balancer_(config_.site.settings, config_.seed, now()),
      timer_(io),
      budget_(config_.relayBytes()),
      upstreams_(
          io, config_, budget_,
          {[this](AttemptId id) { onWritten(id); }, [this](AttemptEnd end) { onEnded(std::move(end)); },
           [this](StreamBegin begin) { onBegan(std::move(begin)); },
           [this](const ProbeEnd& end) { onProbed(end); },
           [this](RequestId id) { return server_.isClientGone(id); }}),
      makeEtcd_(std::move(makeEtcd)),
      membership_(io, config_.seed,
                  {[this](const InstanceList& list) {
                     if (!membership_.takesOver()) followed_ = wanted_;
                     onList(list,
                            list.whole ? MembershipUpdate::Kind::Full : MembershipUpdate::Kind::Changes);
                     onLifecycle(lifecycle::Event::EndpointListReceived);
                   },
                   [this] {
                     handle(MembershipUpdate{MembershipUpdate::Kind::Failed, {}});
                   }}),
      server_(io, config_, file, budget_,
              {[this](ClientRequest client) { onTaken(std::move(client)); },
               [this](RequestId id) { onOver(id); }, [this] { return status(); },
               [this] { return fleet_ ? fleet_->status().dump() : std::string("{}"); },
               [this] {
                 if (stopped_) stopped_();
               }}),
      degradation_(io, config_.cores,
                   {[this] { return gauges(); }, [this](degradation::Level level) { onLevel(level); }}),
      lifecycle_({config_.listener.has_value(), config_.known && !config_.known->instances.empty(),
                  longestDeadline(config_.site.settings)},
                 timePoint(now())),
      lifecycleTimer_(io),
      exclusionFile_(config_.console ? config_.tempFolder : std::string(), log),
      exclusionFileTimer_(io),
      changeTimer_(io),
      consoleTimer_(io) {
  if (unixNow() < 0)
    log("the wall clock is before 1970: starts that lists tell count as of when they are told");
  degradation_.apply(file.degradation);
  peersAs_ = file.peers;
  fleet_ = viewOf(peersAs_);
  follow(file.membership, config_.discovery);
  if (config_.console) {
    if (auto kept = exclusionFile_.readIfChanged()) exclusions_ = std::move(*kept);
    pollExclusionFile();
  }
  onList(config_.known.value_or(InstanceList{}), MembershipUpdate::Kind::Saved);
  if (!config_.site.settings.mustSubscribe || followed_.source == op::File::Membership::Source::Etcd)
    membership_.watch();
  onLifecycle(lifecycle::Event::TimerExpired);
  if (config_.console) openConsole();
}

void Sidecar::stop(std::function<void()> stopped) {
  if (lifecycle_.state() == lifecycle::State::Stopping) return;
  stopped_ = std::move(stopped);
  if (fleet_) fleet_->leave();
  onLifecycle(lifecycle::Event::TerminationRequested);
}

std::optional<std::uint16_t> Sidecar::consolePort() const {
  return console_ ? std::optional(console_->port()) : std::nullopt;
}

void Sidecar::reload(const Config& config, const op::File& file) {
  server_.gate().check(file);
  if (file.peers.on && !(file.peers == peersAs_)) FleetView::placeOf(file.peers, config_);
  follow(file.membership, config.discovery);
  if (!(file.peers == peersAs_)) {
    if (fleet_) {
      fleet_->leave();
      // Guards against its handlers that are queued already: it goes behind them.
      asio::post(io_, [old = std::move(fleet_)] {});
    }
    peersAs_ = file.peers;
    fleet_ = viewOf(peersAs_);
    log(fleet_ ? "peers: on, as the operator's file has it now" : "peers: off");
  }
  membership_.platformMoved(config.discovery);
  server_.adopt(file);
  degradation_.apply(file.degradation);
}

// Begins with this source, or changes to it. Throws where it can't be made, and then nothing has changed.
void Sidecar::follow(const op::File::Membership& wanted, const Endpoint& discovery) {
  using From = op::File::Membership::Source;
  const bool first = !membership_.started();
  // Of a source that is not used, the figures make no difference.
  const auto same = [&](const op::File::Membership& other) {
    return wanted.source == other.source && (wanted.source == From::Platform || wanted.etcd == other.etcd);
  };
  if (!first && same(wanted_)) return;
  if (!first && same(followed_)) {
    membership_.abandonNext();
    wanted_ = wanted;
    return log("membership stays with its source");
  }
  membership_.begin([&](membership::Source::Callbacks callbacks) -> std::unique_ptr<membership::Source> {
    if (wanted.source == From::Etcd) {
      if (!makeEtcd_)
        settings::bad("membership.source: this program is built without etcd, ivypost-etcd is with it:",
                      "etcd");
      return makeEtcd_(io_, wanted.etcd, config_.seed, std::move(callbacks));
    }
    membership::Platform::Settings settings;
    settings.address = discovery;
    if (first && config_.known) settings.generation = config_.known->generation;
    settings.pushed = !config_.site.settings.mustSubscribe;
    settings.times = settings.pushed ? membership::Platform::kPushed : membership::Platform::kAsked;
    return std::make_unique<membership::Platform>(io_, settings, std::move(callbacks));
  });
  wanted_ = wanted;
  if (first) {
    followed_ = wanted;
  } else {
    log(std::string("membership is to come from ") + (wanted.source == From::Etcd ? "etcd" : "the platform"));
  }
}

// ---- Events -----------------------------------------------------------------------------------------------

void Sidecar::handle(const balancer::Event& event) {
  std::vector<balancer::Action> actions;
  const Micros at = now();
  balancer_.handle(event, at, actions);
  for (const auto& action : actions) {
    std::visit([this](const auto& one) { carryOut(one); }, action);
  }
  if (const char* line = shedding_.look(at)) log(line);
}

void Sidecar::onTaken(ClientRequest client) {
  balancer::NewRequest event;
  event.request = client.id;
  event.requestClass = client.requestClass;
  event.tenant = client.tenant;
  event.key = client.key;
  // Not what it had when it was read: it may have waited in the queue for the core since.
  event.expiresIn = std::max<Micros>(0, duration_cast<microseconds>(client.deadline - Clock::now()).count());
  event.work = client.work;
  event.isRetry = client.isRetry;
  degradation_.onRequest(client.isRetry);
  Request request;
  request.client = std::move(client);
  requests_.emplace(event.request, std::move(request));
  handle(event);
}

void Sidecar::onOver(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second.over = true;
  handle(balancer::Withdrawn{id});
  upstreams_.withdraw(id);
  forget(id);
}

void Sidecar::onWritten(AttemptId id) {
  const auto found = requests_.find(id.request);
  if (found != requests_.end()) found->second.attempts.at(id.number).writtenAt = Clock::now();
}

void Sidecar::onEnded(AttemptEnd end) {
  const auto found = requests_.find(end.id.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  Attempt& attempt = request.attempts.at(end.id.number);
  attempt.mayHaveRun = !provesNeverRan(end.outcome);
  --request.out;
  if (const Known& known = known_[attempt.upstream]; fleet_ && known.listed)
    fleet_->attempted(incarnationOf(known), end.outcome, duration_cast<microseconds>(end.lag).count());
  if (end.outcome != Outcome::Cancelled && end.outcome != Outcome::Moot)
    degradation_.onAttemptEnd(end.outcome != Outcome::Ok);
  balancer::AttemptOutcome event;
  event.request = end.id.request;
  event.attempt = end.id.number;
  event.upstream = attempt.upstream;
  event.outcome = end.outcome;
  event.lag = duration_cast<microseconds>(end.lag).count();
  event.report = end.report;
  event.transfer = duration_cast<microseconds>(end.transfer).count();
  event.spent = end.spent;
  if (end.outcome == Outcome::Ok && !request.over) {
    Answer answer;
    answer.status = 200;
    answer.body = std::move(end.body);
    if (!end.contentType.empty()) answer.contentType = std::move(end.contentType);
    finish(end.id.request, std::move(answer));
  }
  event.last = request.over;
  handle(event);
  forget(end.id.request);
}

// The answer is the client's from here on: whatever becomes of the rest, there is no other.
void Sidecar::onBegan(StreamBegin begin) {
  const auto found = requests_.find(begin.id.request);
  if (found == requests_.end() || found->second.over) return begin.body->abandon();
  handle(balancer::AttemptStarted{begin.id.request, begin.id.number});
  Answer answer;
  answer.status = 200;
  if (!begin.contentType.empty()) answer.contentType = std::move(begin.contentType);
  answer.length = begin.length;
  answer.stream = std::move(begin.body);
  finish(begin.id.request, std::move(answer));
}

void Sidecar::onProbed(const ProbeEnd& end) {
  balancer::ProbeResult event;
  event.upstream = end.upstream;
  event.ok = end.ok;
  event.lag = duration_cast<microseconds>(end.lag).count();
  event.report = end.report;
  handle(event);
  dropUse(end.upstream);
}

void Sidecar::onList(const InstanceList& list, MembershipUpdate::Kind kind) {
  MembershipUpdate update;
  update.kind = kind;
  const auto& site = config_.site;
  starts_.listCame(list.previousUntil, now());
  if (list.whole) {
    for (Known& known : known_) known.listed = false;  // whoever is missing has gone
  }
  for (const Instance& told : list.instances) {
    Instance overlaid;
    if (!exclusions_.isEmpty()) overlaid = overlay(told);
    const Instance& instance = exclusions_.isEmpty() ? told : overlaid;
    if (instance.state == balancer::EndpointState::Gone && ids_.count(instance.id) == 0) continue;
    balancer::EndpointEntry entry;
    entry.upstream = intern(instance.id);
    // A zone or a kind that the settings don't name tells nothing, but the upstream can serve.
    if (const auto zone = site.zones.find(instance.zone); zone != site.zones.end()) entry.zone = zone->second;
    if (const auto sort = site.kinds.find(instance.kind); sort != site.kinds.end()) entry.kind = sort->second;
    entry.cell = instance.cell;
    entry.state = instance.state;
    entry.size = instance.weight;
    entry.identity = settings::identity(instance.id);
    Known& known = known_[entry.upstream];
    if (known.startedAtMs != instance.startedAtMs)
      known.launchedAt = starts_.startOf(entry.identity, instance.startedAtMs);
    entry.launchedAt = known.launchedAt;
    if (known.address != instance.address) leaveAddress(entry.upstream);
    known.address = instance.address;
    known.startedAtMs = instance.startedAtMs;
    if (config_.console) known.told = told;  // only operators' calls need it
    known.listed = instance.state != balancer::EndpointState::Gone;
    if (known.listed && !takesItsAddress(entry.upstream, update)) {
      known.listed = false;
      entry.state = balancer::EndpointState::Gone;
    }
    if (known.listed) upstreams_.setAddress(entry.upstream, instance.address);
    update.entries.push_back(entry);
  }
  // It is followed all the same: what drains or is gone gets nothing new, whatever is left.
  const bool anyUp = std::any_of(update.entries.begin(), update.entries.end(), [](const auto& entry) {
    return entry.state == balancer::EndpointState::Serving;
  });
  if (list.whole && !anyUp) std::fprintf(stderr, "the whole list names no upstream that is up\n");
  handle(update);
  for (const auto& entry : update.entries) {
    if (entry.state != balancer::EndpointState::Draining) continue;
    upstreams_.takeBack(entry.upstream);
    if (exclusions_.isExcluded(known_[entry.upstream].id)) upstreams_.closeIdle(entry.upstream);
  }
  for (EndpointId upstream = 0; upstream < known_.size(); ++upstream) {
    if (known_[upstream].listed || known_[upstream].id.empty()) continue;
    upstreams_.remove(upstream);
    freeUnused(upstream);
  }
}

void Sidecar::onTimer() {
  armedFor_ = Clock::time_point::max();
  handle(balancer::TimerDue{});
}

// ---- Operators
// ------------------------------------------------------------------------------------------------

void Sidecar::onLifecycle(lifecycle::Event event) {
  const auto before = lifecycle_.state();
  lifecycle_.handle(event, timePoint(now()));
  if (lifecycle_.state() != before)
    log(std::string("the sidecar is ") + lifecycle::nameOf(lifecycle_.state()));
  server_.follow(lifecycle_.effects());
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

// An entry as the module hears of it: out by hand is a drain, back by hand a start.
Instance Sidecar::overlay(const Instance& told) const {
  Instance overlaid = told;
  if (overlaid.state == balancer::EndpointState::Serving && exclusions_.isExcluded(overlaid.id))
    overlaid.state = balancer::EndpointState::Draining;
  const auto start = exclusions_.effectiveStart(overlaid.id, wallTime(overlaid.startedAtMs));
  overlaid.startedAtMs = start.time_since_epoch().count();
  return overlaid;
}

void Sidecar::applyExclusions(exclusion::ExclusionSet next) {
  const std::vector<std::string> ids = exclusions_.differingEndpoints(next);
  exclusions_ = std::move(next);
  InstanceList changed;
  for (const std::string& id : ids) {
    const auto found = ids_.find(id);
    if (found != ids_.end() && known_[found->second].listed)
      changed.instances.push_back(known_[found->second].told);
  }
  changed.previousUntil = now();  // the operators' call has come since
  if (!changed.instances.empty()) onList(changed, MembershipUpdate::Kind::Changes);
}

// Either process may be called while one replaces the other.
void Sidecar::pollExclusionFile() {
  exclusionFileTimer_.expires_after(kExclusionFilePollInterval);
  exclusionFileTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    if (auto next = exclusionFile_.readIfChanged()) applyExclusions(std::move(*next));
    pollExclusionFile();
  });
}

void Sidecar::openConsole() {
  try {
    console_ = std::make_unique<console::Console>(
        io_, *config_.console, [this](const console::Call& call, console::Console::Answer answer) {
          onCall(call, std::move(answer));
        });
    if (consoleFailed_) log("the console listens now");
  } catch (const boost::system::system_error& error) {
    if (!std::exchange(consoleFailed_, true))
      log(std::string("the console can't listen, and is tried again: ") + error.what());
    consoleTimer_.expires_after(kConsoleAgain);
    consoleTimer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) openConsole();
    });
  }
}

void Sidecar::onCall(const console::Call& call, console::Console::Answer answer) {
  using What = console::Call::What;
  switch (call.what) {
    case What::Ready:
      return answer({lifecycle_.effects().isReady ? 200U : 503U, lifecycle::nameOf(lifecycle_.state())});
    case What::Evacuate:
    case What::Rejoin:
      if (lifecycle_.state() == lifecycle::State::Stopping) return answer({409, "the sidecar is stopping"});
      onLifecycle(call.what == What::Evacuate ? lifecycle::Event::DrainRequested
                                              : lifecycle::Event::DrainCancelled);
      return answer({200, lifecycle::nameOf(lifecycle_.state())});
    case What::Exclude:
    case What::Include:
      return queueChange({call, std::move(answer), Clock::now() + kLockPatience});
  }
}

void Sidecar::queueChange(PendingChange change) {
  if (pendingChanges_.size() >= console::Console::kMost) return change.answer({503, kLockHeld});
  pendingChanges_.push_back(std::move(change));
  if (pendingChanges_.size() == 1) tryNextChange();
}

// One change a turn: each waits for the disk.
void Sidecar::tryNextChange() {
  const auto reply = changeExclusions(pendingChanges_.front().call);
  if (!reply && Clock::now() < pendingChanges_.front().until) return scheduleNextChange(kLockRetryEvery);
  const PendingChange done = std::move(pendingChanges_.front());
  pendingChanges_.pop_front();
  if (!pendingChanges_.empty()) scheduleNextChange(Clock::duration::zero());
  done.answer(reply.value_or(console::Reply{503, kLockHeld}));
}

void Sidecar::scheduleNextChange(Clock::duration after) {
  changeTimer_.expires_after(after);
  changeTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) tryNextChange();
  });
}

// None: the other process holds the lock.
std::optional<console::Reply> Sidecar::changeExclusions(const console::Call& call) {
  using Kind = exclusion::Change::Kind;
  exclusion::Change change;
  change.kind = call.what == console::Call::What::Exclude ? Kind::Exclude : Kind::Include;
  change.endpoint = call.upstream;
  change.now = wallTime(unixNow() / 1000);
  if (const auto named = ids_.find(call.upstream); named != ids_.end()) {
    change.isListed = known_[named->second].listed;
    change.listedStart = wallTime(known_[named->second].startedAtMs);
  }
  exclusion::ExclusionSet next = exclusions_;
  const auto outcome = exclusionFile_.apply(next, change);
  if (!outcome) return replyTo(outcome.error());
  applyExclusions(std::move(next));
  const bool isExcluded = exclusions_.isExcluded(call.upstream);
  switch (outcome.value()) {
    case exclusion::Outcome::UnknownEndpoint:
      return console::Reply{404, "no upstream has this id"};
    case exclusion::Outcome::Full:
      return console::Reply{503, "too many upstreams are out, or the id is too long"};
    case exclusion::Outcome::Unchanged:
      return console::Reply{200, isExcluded ? "already excluded" : "already included"};
    case exclusion::Outcome::Changed:
      log((isExcluded ? "excluded by hand: " : "included by hand: ") + call.upstream);
      return console::Reply{200, isExcluded ? "excluded" : "included"};
  }
  return std::nullopt;
}

// ---- Peers
// ------------------------------------------------------------------------------------------------------

std::unique_ptr<FleetView> Sidecar::viewOf(const peers::Options& options) {
  if (!options.on) return nullptr;
  return std::make_unique<FleetView>(
      io_, FleetView::placeOf(options, config_), config_.seed,
      FleetView::Callbacks{[this] { return listed(); },
                           [this](const balancer::HealthReport& hearsay) { handle(hearsay); }, log});
}

health_reports::Incarnation Sidecar::incarnationOf(const Known& known) const {
  return {settings::identity(known.id),
          health_reports::WallTime(std::chrono::milliseconds(known.startedAtMs))};
}

std::vector<FleetView::Listed> Sidecar::listed() const {
  std::vector<FleetView::Listed> all;
  for (EndpointId upstream = 0; upstream < known_.size(); ++upstream) {
    const Known& known = known_[upstream];
    if (known.listed) all.push_back({incarnationOf(known), upstream, known.launchedAt, known.id});
  }
  return all;
}

// ---- Levels
// ---------------------------------------------------------------------------------------------------

void Sidecar::onLevel(degradation::Level level) {
  const degradation::Restrictions restrictions = degradation::restrictionsAt(level);
  server_.gate().reduce(restrictions);
  handle(balancer::ReducedService{restrictions.allowsHedging, restrictions.healthCheckFraction});
}

degradation::Measurements Sidecar::gauges() {
  const auto& door = server_.door();
  degradation::Measurements measurements;
  measurements.openRequestFraction = server_.openShare();
  const auto working = static_cast<double>(door.count(admission::Door::State::Working));
  measurements.busyConnectionFraction =
      std::max(working / static_cast<double>(door.places()), upstreams_.busyShare());
  measurements.overQuotaFraction = server_.gate().beyondShare();
  measurements.endpointListAge = microseconds(membership_.freshness().age);
  return measurements;
}

std::string Sidecar::status() const {
  nlohmann::json status = degradation_.status();
  status["name"] = config_.name;
  status["waiting"] = server_.gate().waiting();
  const membership::Freshness freshness = membership_.freshness();
  status["membership"] = {
      {"source", followed_.source == op::File::Membership::Source::Etcd ? "etcd" : "platform"},
      {"age_ms", freshness.age / 1000},
      {"sure", freshness.sure}};
  for (std::size_t n = 0; n < admission::kVerdicts; ++n) {
    const auto verdict = static_cast<admission::Verdict>(n);
    status["queue"][admission::nameOf(verdict)] = server_.gate().count(verdict);
  }
  return status.dump();
}

// ---- Actions ----------------------------------------------------------------------------------------------

void Sidecar::carryOut(const balancer::Send& send) {
  Request& request = requests_.at(send.request);
  AttemptOrder order;
  order.id = {send.request, static_cast<std::uint32_t>(request.attempts.size())};
  order.upstream = send.upstream;
  order.message = request.client.message;
  order.upload = request.client.upload;
  order.deadline = request.client.deadline;
  if (send.timeout > 0) order.deadline = std::min(order.deadline, Clock::now() + microseconds(send.timeout));
  order.writeBy = order.deadline;
  // Guards against a connection that comes up slowly and carries a repeat past its window. The window opens
  // with the first attempt that may have run, which has been written if so.
  const auto& cls = config_.site.settings.classes.at(request.client.requestClass);
  if (cls.semantics == balancer::Semantics::Keyed) {
    for (const Attempt& earlier : request.attempts) {
      if (!earlier.mayHaveRun || earlier.writtenAt == Clock::time_point{}) continue;
      order.writeBy =
          std::min(order.writeBy, earlier.writtenAt + microseconds(cls.retryWindow) - kWindowMargin);
    }
  }
  Attempt attempt;
  attempt.upstream = send.upstream;
  request.attempts.push_back(attempt);
  ++request.out;
  ++known_[send.upstream].uses;
  upstreams_.send(std::move(order));
}

void Sidecar::carryOut(const balancer::Cancel& cancel) {
  upstreams_.cancel({cancel.request, cancel.attempt});
}

void Sidecar::noteUnsent(RequestId id) {
  if (!requests_.at(id).attempts.empty()) return;
  if (const char* line = shedding_.turnedAway(now())) log(line);
}

void Sidecar::carryOut(const balancer::Reject& refuse) {
  noteUnsent(refuse.request);
  Answer answer;
  answer.status = 503;
  answer.body = "refused\n";
  answer.retryAfter = refuse.retryAfter;
  finish(refuse.request, std::move(answer));
  forget(refuse.request);
}

void Sidecar::carryOut(const balancer::Fail& fail) {
  noteUnsent(fail.request);
  Answer answer;
  answer.status = 502;
  answer.body = "failed\n";
  finish(fail.request, std::move(answer));
  forget(fail.request);
}

void Sidecar::carryOut(const balancer::SetTimer& timer) {
  const auto at = Clock::now() + microseconds(timer.delay);
  if (at >= armedFor_) return;  // the module asks again whenever it is woken
  armedFor_ = at;
  timer_.expires_at(at);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) onTimer();
  });
}

void Sidecar::carryOut(const balancer::Probe& probe) {
  ++known_[probe.upstream].uses;
  upstreams_.probe(probe.upstream);
}

void Sidecar::carryOut(const balancer::CloseIdle& close) {
  upstreams_.closeIdle(close.upstream);
}

void Sidecar::carryOut(const balancer::Subscribe& /*subscribe*/) {
  membership_.watch();
}

void Sidecar::carryOut(const balancer::Fetch& /*fetch*/) {
  membership_.fetch();
}

void Sidecar::carryOut(const balancer::Log& log) {
  std::fprintf(stderr, "%s\n", log.text.c_str());
}

// ---- Requests and upstreams -------------------------------------------------------------------------------

void Sidecar::finish(RequestId id, Answer answer) {
  Request& request = requests_.at(id);
  request.over = true;
  if (request.out > 0) upstreams_.withdraw(id);
  server_.answer(id, std::move(answer));
}

// Guards against forgetting a request whose attempts still report their end.
void Sidecar::forget(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.over || found->second.out > 0) return;
  const auto attempts = std::move(found->second.attempts);
  requests_.erase(found);
  for (const Attempt& attempt : attempts) dropUse(attempt.upstream);
}

EndpointId Sidecar::intern(const std::string& instanceId) {
  if (const auto found = ids_.find(instanceId); found != ids_.end()) return found->second;
  if (spare_.empty()) {
    spare_.push_back(static_cast<EndpointId>(known_.size()));
    known_.emplace_back();
  }
  const EndpointId upstream = spare_.back();
  spare_.pop_back();
  known_[upstream] = Known{};
  known_[upstream].id = instanceId;
  ids_.emplace(instanceId, upstream);
  return upstream;
}

// Guards against sending to a process under the id of the one that stood at its address before: the process
// that started last has it, the other has gone whatever the list still says. False if that is this one.
bool Sidecar::takesItsAddress(EndpointId upstream, MembershipUpdate& update) {
  const Known& own = known_[upstream];
  const auto holder = holders_.try_emplace(own.address, upstream).first;
  const EndpointId id = std::exchange(holder->second, upstream);
  Known& other = known_[id];
  if (id == upstream || !other.listed) return true;
  if (other.startedAtMs > own.startedAtMs) {
    holder->second = id;
    return false;
  }
  other.listed = false;
  balancer::EndpointEntry gone;
  gone.upstream = id;
  gone.state = balancer::EndpointState::Gone;
  gone.launchedAt = other.launchedAt;
  gone.identity = settings::identity(other.id);
  update.entries.push_back(gone);
  return true;
}

void Sidecar::leaveAddress(EndpointId upstream) {
  const auto holder = holders_.find(known_[upstream].address);
  if (holder != holders_.end() && holder->second == upstream) holders_.erase(holder);
}

void Sidecar::dropUse(EndpointId upstream) {
  --known_[upstream].uses;
  freeUnused(upstream);
}

void Sidecar::freeUnused(EndpointId upstream) {
  Known& known = known_[upstream];
  if (known.listed || known.uses > 0 || known.id.empty()) return;
  ids_.erase(known.id);
  leaveAddress(upstream);
  known = Known{};
  spare_.push_back(upstream);
}

}  // namespace ivypost
