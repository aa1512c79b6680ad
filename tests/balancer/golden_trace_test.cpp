// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// Golden trace of the decision module. Each stream runs one sidecar with random settings against a small
// simulated fleet (simulated clock, fixed seed). Every action with all its fields, doubles by their bits, and
// the module's visible state after each event are hashed into a digest. The digests were recorded from
// 7c357c1; a change that is not meant to alter decisions must reproduce them bit for bit. A change that
// alters a decision records them again with IVYPOST_RECORD_GOLDEN_TRACE=1 and says so in its commit.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>

#include "ivypost/balancer.h"

namespace ivypost::balancer {
namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;
constexpr std::size_t kEventsPerStream = 6000;

/// FNV-1a over 64-bit words.
class Digest {
 public:
  void fold(std::uint64_t bits) {
    for (int shift = 0; shift < 64; shift += 8) {
      value_ = (value_ ^ ((bits >> shift) & 0xff)) * 0x100000001b3u;
    }
  }
  void fold(const std::string& text) {
    fold(text.size());
    for (const char c : text) fold(static_cast<std::uint64_t>(static_cast<unsigned char>(c)));
  }
  void fold(double value) { fold(std::bit_cast<std::uint64_t>(value)); }
  void fold(Micros value) { fold(static_cast<std::uint64_t>(value)); }
  [[nodiscard]] std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325u;
};

/// Random numbers that are equal with every standard library, unlike those of std distributions.
class PortableRandom {
 public:
  explicit PortableRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }
  bool oneIn(std::uint64_t n) { return below(n) == 0; }

 private:
  std::mt19937_64 engine_;
};

RequestClass randomClass(PortableRandom& random, std::uint64_t semantics) {
  RequestClass cls;
  cls.latencyObjective = static_cast<Micros>(50 + random.below(500)) * kMillisecond;
  cls.objectiveStretch = random.oneIn(3) ? 2.0 * random.unit() : 0;
  cls.deadline = cls.latencyObjective * static_cast<Micros>(2 + random.below(6));
  cls.semantics = static_cast<Semantics>(semantics);
  cls.group = static_cast<RetryGroup>(random.below(3));
  cls.retryWindow = static_cast<Micros>(1 + random.below(3000)) * kMillisecond;
  cls.lateWeight = random.unit() / 2;
  cls.weight = 0.2 + 5 * random.unit();
  cls.stream = random.oneIn(4);
  return cls;
}

/// Random settings of a stream; every field that a decision reads takes several values over the streams.
Settings randomSettings(PortableRandom& random) {
  Settings s;
  for (std::uint64_t n = 0; n < 4; ++n) s.classes.push_back(randomClass(random, n % 3));
  s.tenants = {{0, 0.5}, {0, 0.3}, {0, 0.2}};
  s.zones = static_cast<std::uint32_t>(1 + random.below(3));
  s.zone = static_cast<std::uint32_t>(random.below(s.zones));
  s.kinds = 2;
  static constexpr std::uint32_t kSidecars[] = {1, 3, 5, 40, 300};
  s.sidecars = kSidecars[random.below(5)];
  s.sidecar = static_cast<std::uint32_t>(random.below(s.sidecars + 2));
  s.mustSubscribe = random.oneIn(2);
  s.resolution = static_cast<Micros>(random.oneIn(2) ? 1 : 1000);
  s.connectTimeout = static_cast<Micros>(random.below(200)) * kMillisecond;
  s.idleTimeout = random.oneIn(3) ? 0 : static_cast<Micros>(1 + random.below(20)) * kSecond;
  s.maxStreamsPerConnection = static_cast<std::uint32_t>(random.below(4));
  s.maxAttempts = static_cast<std::uint32_t>(1 + random.below(5));
  s.maxRetryAfter = static_cast<Micros>(random.below(10)) * kSecond;
  s.retryAfter = !random.oneIn(3);
  s.mayCancel = !random.oneIn(3);
  s.mayProbe = !random.oneIn(3);
  s.mayHedge = random.oneIn(2);
  s.weightByWork = random.oneIn(2);
  s.overShareWeight = random.unit();
  s.crossZoneCost = random.oneIn(2) ? 0 : 0.1;
  s.probeCost = random.oneIn(3) ? 0 : 0.02 * random.unit();
  s.reportSource = static_cast<ReportSource>(random.below(3));
  s.reportsBusyRequests = !random.oneIn(3);
  s.pollWithin = static_cast<Micros>(1 + random.below(20)) * kSecond;
  s.startCapacity = 0.1 + 0.5 * random.unit();
  s.slowStartWindow = random.oneIn(5) ? 0 : static_cast<Micros>(2 + random.below(20)) * kSecond;
  s.fallMultiple = random.oneIn(4) ? 0 : 2;
  s.retryBudgetWindow = random.oneIn(2) ? 0 : static_cast<Micros>(1 + random.below(10)) * kSecond;
  s.retryBudgetFloor = static_cast<double>(random.below(10));
  s.retryBudgetRatio = 0.3 * random.unit();
  if (random.oneIn(3)) {  // one of many sidecars with little traffic, which probes before it sends
    s.sidecars = random.oneIn(2) ? 40 : 300;
    s.mayProbe = s.reportsBusyRequests = true;
    s.reportSource = ReportSource::Probes;
    s.probeCost = random.oneIn(2) ? 0 : 0.016 * random.unit();
  }
  s.closeDrainingWithin = random.oneIn(3) ? 0 : static_cast<Micros>(random.below(3000)) * kMillisecond;
  return s;
}

/// One sidecar with its clients and upstreams on a simulated clock. The run is determined by the stream's
/// random numbers and the module's actions.
class Stream {
 public:
  explicit Stream(std::uint64_t seed)
      : random_(seed), settings_(randomSettings(random_)), seed_(seed), balancer_(settings_, seed, 0) {
    upstreams_.resize(1 + random_.below(random_.oneIn(3) ? 40 : 12));
    for (Upstream& upstream : upstreams_) {
      upstream.zone = static_cast<std::uint32_t>(random_.below(settings_.zones));
      if (!random_.oneIn(3)) upstream.cell = static_cast<std::uint32_t>(random_.below(3));
      upstream.size = random_.oneIn(20) ? 0 : 0.25 * static_cast<double>(1 + random_.below(12));
      upstream.listed = !random_.oneIn(6);
      upstream.service = static_cast<Micros>(5 + random_.below(60)) * kMillisecond;
      upstream.workers = 1 + random_.below(16);
      if (random_.oneIn(4)) upstream.launchedAt = 1;
    }
    spacing_ = static_cast<Micros>(1) << (10 + random_.below(10));  // 1 to 524 ms between requests
  }

  std::uint64_t run() {
    checkMisuse(TimerDue{});
    feed(list(MembershipUpdate::Kind::Saved));
    schedule(0, DueKind::Arrival);
    schedule(kSecond, DueKind::Disturbance);
    while (events_ < kEventsPerStream) step();
    for (const auto& count : actionCounts_) digest_.fold(static_cast<std::uint64_t>(count));
    return digest_.value();
  }

  [[nodiscard]] std::size_t actions(std::size_t kind) const { return actionCounts_[kind]; }

 private:
  struct Upstream {
    std::uint32_t zone = 0;
    std::optional<std::uint32_t> cell;
    double size = 1;
    Micros launchedAt = 0;
    bool listed = true;
    Micros service = 0;
    std::uint64_t workers = 1;
    std::uint64_t ownInFlight = 0;    // this sidecar's attempts
    std::uint64_t otherRequests = 0;  // requests of other sidecars in flight
    enum class Condition { Healthy, Failing, Silent, Unreachable, Full, Slow } condition = Condition::Healthy;
  };
  enum class DueKind { Arrival, Disturbance, Timer, Outcome, Started, Probed, Withdrawal };
  struct Due {
    Micros at = 0;
    std::uint64_t order = 0;
    DueKind kind = DueKind::Arrival;
    RequestId request = 0;
    std::uint32_t attempt = 0;
    EndpointId upstream = 0;
    std::uint64_t incarnation = 0;
    bool operator>(const Due& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  struct Client {
    Micros deadline = 0;
    std::uint32_t attempts = 0;
    std::set<std::uint32_t> out;
    bool finished = false, streaming = false, stream = false;
  };

  void schedule(Micros delay, DueKind kind, RequestId request = 0, std::uint32_t attempt = 0,
                EndpointId upstream = 0) {
    due_.push({now_ + std::max<Micros>(0, delay), order_++, kind, request, attempt, upstream, incarnation_});
  }

  void step() {
    const Due due = due_.top();
    due_.pop();
    if (due.incarnation != incarnation_) return;
    now_ = due.at;
    switch (due.kind) {
      case DueKind::Arrival:
        return arrive();
      case DueKind::Disturbance:
        return disturb();
      case DueKind::Timer:
        return feed(TimerDue{});
      case DueKind::Outcome:
        return finish(due);
      case DueKind::Started:
        return start(due);
      case DueKind::Probed:
        return probed(due.upstream);
      case DueKind::Withdrawal:
        return withdraw(due.request);
    }
  }

  void arrive() {
    const Micros gap = static_cast<Micros>(2 * static_cast<double>(spacing_) * random_.unit() / loadFactor_);
    schedule(gap, DueKind::Arrival);
    NewRequest request;
    request.request = nextRequest_++;
    request.requestClass = static_cast<std::uint32_t>(random_.below(settings_.classes.size()));
    if (!random_.oneIn(4))
      request.tenant = static_cast<std::uint32_t>(random_.below(random_.oneIn(2) ? 1 : 3));
    if (random_.oneIn(2)) request.key = random_.below(50);
    if (random_.oneIn(3)) request.work = static_cast<Micros>(random_.below(150)) * kMillisecond;
    request.isRetry = random_.oneIn(8);
    const RequestClass& cls = settings_.classes[request.requestClass];
    request.expiresIn = random_.oneIn(5)
                            ? static_cast<Micros>(random_.unit() * static_cast<double>(cls.deadline))
                            : cls.deadline;
    Client& client = clients_[request.request];
    client.deadline = now_ + request.expiresIn;
    client.stream = cls.stream;
    if (random_.oneIn(40)) {
      schedule(static_cast<Micros>(random_.unit() * static_cast<double>(request.expiresIn)),
               DueKind::Withdrawal, request.request);
    }
    feed(request);
    if (random_.oneIn(100)) {
      NewRequest bad;
      bad.request = nextRequest_;
      bad.requestClass = 99;
      checkMisuse(bad);
      bad.requestClass = 0;
      bad.tenant = 99;
      checkMisuse(bad);
      EndpointEntry outsideZones = entry(0, EndpointState::Serving);
      outsideZones.zone = settings_.zones;
      checkMisuse(MembershipUpdate{MembershipUpdate::Kind::Changes, {outsideZones}});
    }
  }

  void checkMisuse(const Event& event) {
    std::vector<Action> actions;
    EXPECT_THROW(balancer_.handle(event, now_, actions), std::invalid_argument);
    EXPECT_TRUE(actions.empty());
  }

  MembershipUpdate list(MembershipUpdate::Kind kind) {
    MembershipUpdate update{kind, {}};
    for (EndpointId id = 0; id < upstreams_.size(); ++id) {
      if (upstreams_[id].listed) update.entries.push_back(entry(id, EndpointState::Serving));
    }
    return update;
  }

  [[nodiscard]] EndpointEntry entry(EndpointId id, EndpointState state) const {
    const Upstream& upstream = upstreams_[id];
    return {id, upstream.zone, id % 2, upstream.cell, state, upstream.size, upstream.launchedAt, 1000 + id};
  }

  void disturb() {
    schedule(static_cast<Micros>(random_.below(3'000)) * kMillisecond, DueKind::Disturbance);
    const auto id = static_cast<EndpointId>(random_.below(upstreams_.size()));
    Upstream& upstream = upstreams_[id];
    const std::uint64_t what = random_.below(20);
    if (what < 5) {
      upstream.condition = static_cast<Upstream::Condition>(random_.below(6));
    } else if (what < 7) {
      const auto condition = static_cast<Upstream::Condition>(random_.oneIn(2) ? 0 : random_.below(6));
      for (Upstream& each : upstreams_) each.condition = condition;
    } else if (what < 9) {
      loadFactor_ = static_cast<double>(1 + random_.below(2) * random_.below(30));
    } else if (what < 10) {
      for (Upstream& each : upstreams_) each.otherRequests = random_.below(30);
    } else {
      changeFleet(id, upstream, what);
    }
  }

  void changeFleet(EndpointId id, Upstream& upstream, std::uint64_t what) {
    if (what < 12) {
      upstream.listed = !upstream.listed;
      if (upstream.listed)
        upstream.launchedAt = now_ - static_cast<Micros>(random_.below(2000)) * kMillisecond;
      const EndpointState gone = random_.oneIn(2) ? EndpointState::Draining : EndpointState::Gone;
      feed(MembershipUpdate{MembershipUpdate::Kind::Changes,
                            {entry(id, upstream.listed ? EndpointState::Serving : gone)}});
    } else if (what < 13) {
      upstream.launchedAt = now_;  // restarted in place
      upstream.listed = true;
      upstream.condition = Upstream::Condition::Healthy;
      feed(MembershipUpdate{MembershipUpdate::Kind::Changes, {entry(id, EndpointState::Serving)}});
    } else if (what < 14) {
      for (Upstream& each : upstreams_) {
        if (random_.oneIn(8)) each.listed = !each.listed;
      }
      feed(list(MembershipUpdate::Kind::Full));
    } else if (what < 16) {
      feed(MembershipUpdate{MembershipUpdate::Kind::Failed, {}});
      if (random_.oneIn(2)) feed(list(MembershipUpdate::Kind::Full));
    } else if (what < 18) {
      HealthReport healthReport;
      healthReport.upstream = random_.oneIn(10) ? 999 : id;
      healthReport.launchedAt = random_.oneIn(6) ? 77 : upstream.launchedAt;
      healthReport.reachableSidecars = static_cast<std::uint32_t>(1 + random_.below(12));
      healthReport.unhealthyReports = static_cast<std::uint32_t>(random_.below(6));
      healthReport.hasHealthyReport = random_.oneIn(3);
      healthReport.ownsNextTrial = random_.oneIn(2);
      healthReport.validFor = static_cast<Micros>(random_.below(3000)) * kMillisecond;
      feed(healthReport);
    } else if (what < 19) {
      feed(ReducedService{random_.oneIn(2), 1.5 * random_.unit()});
    } else if (random_.oneIn(3)) {
      restart();
    }
  }

  /// Restarts the sidecar's process, which keeps only the endpoint list.
  void restart() {
    ++incarnation_;
    balancer_ = Balancer(settings_, seed_ + incarnation_, now_);
    clients_.clear();
    for (Upstream& upstream : upstreams_) upstream.ownInFlight = 0;
    feed(list(MembershipUpdate::Kind::Saved));
    schedule(0, DueKind::Arrival);
    schedule(kSecond, DueKind::Disturbance);
  }

  std::optional<LoadReport> report(const Upstream& upstream, ReportSource by) {
    if (settings_.reportSource != by || random_.oneIn(8)) return std::nullopt;
    LoadReport load;
    const auto busy = static_cast<double>(upstream.ownInFlight + upstream.otherRequests);
    const auto workers = static_cast<double>(upstream.workers);
    if (settings_.reportsBusyRequests) load.busyRequests = busy;
    if (seed_ % 3 == 0) load.queued = std::max(0.0, busy - workers);
    if (seed_ % 2 == 0) load.cpuShare = std::min(1.2, busy / workers);
    if (seed_ % 5 == 0) load.servedPerSecond = 1e6 * workers / static_cast<double>(upstream.service);
    return load;
  }

  void probed(EndpointId id) {
    const Upstream& upstream = upstreams_[id];
    ProbeResult result;
    result.upstream = id;
    result.ok = upstream.condition != Upstream::Condition::Failing &&
                upstream.condition != Upstream::Condition::Unreachable;
    result.latency = static_cast<Micros>(1 + random_.below(4)) * kMillisecond;
    if (result.ok) result.report = report(upstream, ReportSource::Probes);
    feed(result);
  }

  void withdraw(RequestId id) {
    const auto found = clients_.find(id);
    if (found == clients_.end() || found->second.finished) return;
    found->second.finished = true;
    feed(Withdrawn{id});
  }

  void start(const Due& due) {
    const auto found = clients_.find(due.request);
    if (found == clients_.end() || found->second.finished || found->second.streaming ||
        found->second.out.count(due.attempt) == 0)
      return;
    found->second.streaming = true;
    feed(AttemptStarted{due.request, due.attempt});
  }

  Outcome outcomeOf(const Upstream& upstream, const Client& client) {
    if (now_ >= client.deadline && !client.streaming) return Outcome::Timeout;
    if (random_.oneIn(60)) return static_cast<Outcome>(random_.below(8));
    switch (upstream.condition) {
      case Upstream::Condition::Failing:
        return random_.oneIn(4) ? Outcome::Ok : random_.oneIn(3) ? Outcome::Reset : Outcome::Error;
      case Upstream::Condition::Unreachable:
        return Outcome::ConnectFailed;
      case Upstream::Condition::Full:
        return random_.oneIn(3) ? Outcome::Ok : Outcome::Full;
      default:
        return Outcome::Ok;
    }
  }

  void finish(const Due& due) {
    const auto found = clients_.find(due.request);
    if (found == clients_.end() || found->second.out.erase(due.attempt) == 0) return;
    Client& client = found->second;
    Upstream& upstream = upstreams_[due.upstream];
    AttemptOutcome done;
    done.request = due.request;
    done.attempt = due.attempt;
    done.upstream = due.upstream;
    done.outcome = outcomeOf(upstream, client);
    done.endsRequest =
        client.finished || client.streaming || done.outcome == Outcome::Ok || now_ >= client.deadline;
    done.clientLimitedTime = random_.oneIn(10) ? static_cast<Micros>(random_.below(20)) * kMillisecond : 0;
    done.isBodyConsumed = random_.oneIn(20);
    done.report = report(upstream, ReportSource::Answers);
    if (done.endsRequest) client.finished = true;
    --upstream.ownInFlight;
    feed(done);
    if (random_.oneIn(50)) feed(done);  // a repeated outcome has no effect
    if (!client.finished && random_.oneIn(50)) {
      done.attempt = client.attempts;
      checkMisuse(done);
    }
  }

  void feed(const Event& event) {
    ++events_;
    std::vector<Action> actions;
    balancer_.handle(event, now_, actions);
    digest_.fold(now_);
    for (const Action& action : actions) {
      ++actionCounts_[action.index()];
      digest_.fold(static_cast<std::uint64_t>(action.index()));
      std::visit([this](const auto& a) { execute(a); }, action);
    }
    digest_.fold(static_cast<std::uint64_t>(balancer_.remembered().value_or(999)));
    digest_.fold(static_cast<std::uint64_t>(balancer_.openRequests()));
    digest_.fold(static_cast<std::uint64_t>(balancer_.heldRequests()));
    for (EndpointId id = 0; id < upstreams_.size(); ++id) {
      digest_.fold(std::uint64_t{2} * balancer_.inFlight(id) + (balancer_.ready(id, now_) ? 1 : 0));
    }
  }

  void execute(const Send& send) {
    digest_.fold(send.request);
    digest_.fold(static_cast<std::uint64_t>(send.upstream));
    digest_.fold(send.timeout);
    Client& client = clients_.at(send.request);
    const std::uint32_t attempt = client.attempts++;
    client.out.insert(attempt);
    Upstream& upstream = upstreams_.at(send.upstream);
    ++upstream.ownInFlight;
    const double queue = static_cast<double>(upstream.ownInFlight + upstream.otherRequests) /
                         static_cast<double>(upstream.workers);
    double latency = static_cast<double>(upstream.service) * std::max(1.0, queue) * (0.5 + random_.unit());
    if (upstream.condition == Upstream::Condition::Slow) latency *= 5;
    if (upstream.condition == Upstream::Condition::Full ||
        upstream.condition == Upstream::Condition::Unreachable)
      latency /= 10;
    Micros delay = static_cast<Micros>(latency);
    if (client.stream && random_.oneIn(2)) {
      schedule(delay, DueKind::Started, send.request, attempt, send.upstream);
      delay += static_cast<Micros>(random_.below(400)) * kMillisecond;
    } else if (upstream.condition == Upstream::Condition::Silent || now_ + delay > client.deadline) {
      delay = client.deadline - now_;
    }
    schedule(delay, DueKind::Outcome, send.request, attempt, send.upstream);
  }
  void execute(const Cancel& cancel) {
    digest_.fold(cancel.request);
    digest_.fold(static_cast<std::uint64_t>(cancel.attempt));
  }
  void execute(const Reject& rejection) {
    digest_.fold(rejection.request);
    digest_.fold(rejection.retryAfter);
    clients_.at(rejection.request).finished = true;
  }
  void execute(const Fail& fail) {
    digest_.fold(fail.request);
    clients_.at(fail.request).finished = true;
  }
  void execute(const SetTimer& timer) {
    digest_.fold(timer.delay);
    schedule(timer.delay, DueKind::Timer);
  }
  void execute(const Probe& probe) {
    digest_.fold(static_cast<std::uint64_t>(probe.upstream));
    if (random_.oneIn(10)) return;  // no result
    schedule(static_cast<Micros>(1 + random_.below(random_.oneIn(5) ? 100 : 4)) * kMillisecond,
             DueKind::Probed, 0, 0, probe.upstream);
  }
  void execute(const CloseIdle& close) { digest_.fold(static_cast<std::uint64_t>(close.upstream)); }
  void execute(const Subscribe&) { answerDiscovery(); }
  void execute(const Fetch&) { answerDiscovery(); }
  void execute(const Log& log) { digest_.fold(log.text); }

  void answerDiscovery() { digest_.fold(static_cast<std::uint64_t>(1)); }

  PortableRandom random_;
  Settings settings_;
  std::uint64_t seed_;
  Balancer balancer_;
  std::vector<Upstream> upstreams_;
  std::map<RequestId, Client> clients_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0, incarnation_ = 0;
  std::size_t events_ = 0;
  RequestId nextRequest_ = 1;
  Micros now_ = 0, spacing_ = 0;
  double loadFactor_ = 1;
  Digest digest_;
  std::array<std::size_t, std::variant_size_v<Action>> actionCounts_{};
};

constexpr std::uint64_t kRecorded[] = {
#include "golden_trace_digests.inc"
};

TEST(GoldenTrace, ActionsAreThoseRecordedBitForBit) {
  const bool isRecording = std::getenv("IVYPOST_RECORD_GOLDEN_TRACE") != nullptr;
  std::array<std::size_t, std::variant_size_v<Action>> total{};
  for (std::size_t n = 0; n < std::size(kRecorded); ++n) {
    SCOPED_TRACE("stream " + std::to_string(n));
    Stream stream(n);
    const std::uint64_t digest = stream.run();
    for (std::size_t kind = 0; kind < total.size(); ++kind) total[kind] += stream.actions(kind);
    if (isRecording) {
      std::printf("0x%016llxu,\n", static_cast<unsigned long long>(digest));
      continue;
    }
    EXPECT_EQ(digest, kRecorded[n]);
  }
  for (std::size_t kind = 0; kind < total.size(); ++kind) {
    EXPECT_GT(total[kind], 20u) << "the streams must cause every kind of action; too few of index " << kind;
  }
}

}  // namespace
}  // namespace ivypost::balancer
