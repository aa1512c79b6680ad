// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Golden trace of the decision module. Each stream runs one sidecar under settings of its own against a
// small simulated fleet (simulated clock, fixed seed) and folds every action with all its fields, doubles by
// their bits, and what the module shows of its state after each event into a digest. The digests were
// recorded from 7c357c1; a change that is meant to leave the decisions as they are must leave them as they
// are, bit for bit. A change of a decision records them anew, by IVYPOST_RECORD_GOLDEN_TRACE=1, and says so
// in its commit.
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

/// Random numbers that are the same with every standard library.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }
  bool oneIn(std::uint64_t n) { return below(n) == 0; }

 private:
  std::mt19937_64 engine_;
};

RequestClass randomClass(Dice& dice, std::uint64_t semantics) {
  RequestClass cls;
  cls.latencyObjective = static_cast<Micros>(50 + dice.below(500)) * kMillisecond;
  cls.objectiveStretch = dice.oneIn(3) ? 2.0 * dice.unit() : 0;
  cls.deadline = cls.latencyObjective * static_cast<Micros>(2 + dice.below(6));
  cls.semantics = static_cast<Semantics>(semantics);
  cls.group = static_cast<RetryGroup>(dice.below(3));
  cls.retryWindow = static_cast<Micros>(1 + dice.below(3000)) * kMillisecond;
  cls.lateWeight = dice.unit() / 2;
  cls.weight = 0.2 + 5 * dice.unit();
  cls.stream = dice.oneIn(4);
  return cls;
}

/// Settings of a stream: every field that a decision reads takes several values over the streams.
Settings randomSettings(Dice& dice) {
  Settings s;
  for (std::uint64_t n = 0; n < 4; ++n) s.classes.push_back(randomClass(dice, n % 3));
  s.tenants = {{0, 0.5}, {0, 0.3}, {0, 0.2}};
  s.zones = static_cast<std::uint32_t>(1 + dice.below(3));
  s.zone = static_cast<std::uint32_t>(dice.below(s.zones));
  s.kinds = 2;
  static constexpr std::uint32_t kSidecars[] = {1, 3, 5, 40, 300};
  s.sidecars = kSidecars[dice.below(5)];
  s.sidecar = static_cast<std::uint32_t>(dice.below(s.sidecars + 2));
  s.mustSubscribe = dice.oneIn(2);
  s.resolution = static_cast<Micros>(dice.oneIn(2) ? 1 : 1000);
  s.connectTimeout = static_cast<Micros>(dice.below(200)) * kMillisecond;
  s.idleTimeout = dice.oneIn(3) ? 0 : static_cast<Micros>(1 + dice.below(20)) * kSecond;
  s.maxStreamsPerConnection = static_cast<std::uint32_t>(dice.below(4));
  s.maxAttempts = static_cast<std::uint32_t>(1 + dice.below(5));
  s.maxRetryAfter = static_cast<Micros>(dice.below(10)) * kSecond;
  s.retryAfter = !dice.oneIn(3);
  s.mayCancel = !dice.oneIn(3);
  s.mayProbe = !dice.oneIn(3);
  s.mayHedge = dice.oneIn(2);
  s.weightByWork = dice.oneIn(2);
  s.overShareWeight = dice.unit();
  s.crossZoneCost = dice.oneIn(2) ? 0 : 0.1;
  s.probeCost = dice.oneIn(3) ? 0 : 0.02 * dice.unit();
  s.reportSource = static_cast<ReportSource>(dice.below(3));
  s.reportsBusyRequests = !dice.oneIn(3);
  s.pollWithin = static_cast<Micros>(1 + dice.below(20)) * kSecond;
  s.startCapacity = 0.1 + 0.5 * dice.unit();
  s.slowStartWindow = dice.oneIn(5) ? 0 : static_cast<Micros>(2 + dice.below(20)) * kSecond;
  s.fallMultiple = dice.oneIn(4) ? 0 : 2;
  s.retryBudgetWindow = dice.oneIn(2) ? 0 : static_cast<Micros>(1 + dice.below(10)) * kSecond;
  s.retryBudgetFloor = static_cast<double>(dice.below(10));
  s.retryBudgetRatio = 0.3 * dice.unit();
  if (dice.oneIn(3)) {  // one of many sidecars, with little traffic, that probes before it sends
    s.sidecars = dice.oneIn(2) ? 40 : 300;
    s.mayProbe = s.reportsBusyRequests = true;
    s.reportSource = ReportSource::Probes;
    s.probeCost = dice.oneIn(2) ? 0 : 0.016 * dice.unit();
  }
  s.closeDrainingWithin = dice.oneIn(3) ? 0 : static_cast<Micros>(dice.below(3000)) * kMillisecond;
  return s;
}

/// One sidecar with its clients and upstreams on a simulated clock. What happens next depends on the stream's
/// dice and on the module's actions alone.
class Stream {
 public:
  explicit Stream(std::uint64_t seed)
      : dice_(seed), settings_(randomSettings(dice_)), seed_(seed), balancer_(settings_, seed, 0) {
    upstreams_.resize(1 + dice_.below(dice_.oneIn(3) ? 40 : 12));
    for (Upstream& upstream : upstreams_) {
      upstream.zone = static_cast<std::uint32_t>(dice_.below(settings_.zones));
      if (!dice_.oneIn(3)) upstream.cell = static_cast<std::uint32_t>(dice_.below(3));
      upstream.size = dice_.oneIn(20) ? 0 : 0.25 * static_cast<double>(1 + dice_.below(12));
      upstream.listed = !dice_.oneIn(6);
      upstream.service = static_cast<Micros>(5 + dice_.below(60)) * kMillisecond;
      upstream.workers = 1 + dice_.below(16);
      if (dice_.oneIn(4)) upstream.launchedAt = 1;
    }
    spacing_ = static_cast<Micros>(1) << (10 + dice_.below(10));  // 1 to 524 ms between requests
  }

  std::uint64_t run() {
    checkMisuse(TimerDue{});
    feed(list(MembershipUpdate::Kind::Saved));
    schedule(0, What::Arrival);
    schedule(kSecond, What::Weather);
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
    std::uint64_t atWork = 0;  // of this sidecar's attempts
    std::uint64_t others = 0;  // requests of other sidecars in hand
    enum class Mood { Well, Failing, Silent, Unreachable, Full, Slow } mood = Mood::Well;
  };
  enum class What { Arrival, Weather, Timer, Outcome, Started, Probed, Withdrawal };
  struct Due {
    Micros at = 0;
    std::uint64_t order = 0;
    What what = What::Arrival;
    RequestId request = 0;
    std::uint32_t attempt = 0;
    EndpointId upstream = 0;
    std::uint64_t life = 0;
    bool operator>(const Due& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  struct Client {
    Micros deadline = 0;
    std::uint32_t attempts = 0;
    std::set<std::uint32_t> out;
    bool finished = false, streaming = false, stream = false;
  };

  void schedule(Micros delay, What what, RequestId request = 0, std::uint32_t attempt = 0,
                EndpointId upstream = 0) {
    due_.push({now_ + std::max<Micros>(0, delay), order_++, what, request, attempt, upstream, life_});
  }

  void step() {
    const Due due = due_.top();
    due_.pop();
    if (due.life != life_) return;
    now_ = due.at;
    switch (due.what) {
      case What::Arrival:
        return arrive();
      case What::Weather:
        return changeWeather();
      case What::Timer:
        return feed(TimerDue{});
      case What::Outcome:
        return finish(due);
      case What::Started:
        return start(due);
      case What::Probed:
        return probed(due.upstream);
      case What::Withdrawal:
        return withdraw(due.request);
    }
  }

  void arrive() {
    const Micros gap = static_cast<Micros>(2 * static_cast<double>(spacing_) * dice_.unit() / rush_);
    schedule(gap, What::Arrival);
    NewRequest request;
    request.request = nextRequest_++;
    request.requestClass = static_cast<std::uint32_t>(dice_.below(settings_.classes.size()));
    if (!dice_.oneIn(4)) request.tenant = static_cast<std::uint32_t>(dice_.below(dice_.oneIn(2) ? 1 : 3));
    if (dice_.oneIn(2)) request.key = dice_.below(50);
    if (dice_.oneIn(3)) request.work = static_cast<Micros>(dice_.below(150)) * kMillisecond;
    request.isRetry = dice_.oneIn(8);
    const RequestClass& cls = settings_.classes[request.requestClass];
    request.expiresIn =
        dice_.oneIn(5) ? static_cast<Micros>(dice_.unit() * static_cast<double>(cls.deadline)) : cls.deadline;
    Client& client = clients_[request.request];
    client.deadline = now_ + request.expiresIn;
    client.stream = cls.stream;
    if (dice_.oneIn(40)) {
      schedule(static_cast<Micros>(dice_.unit() * static_cast<double>(request.expiresIn)), What::Withdrawal,
               request.request);
    }
    feed(request);
    if (dice_.oneIn(100)) {
      NewRequest bad;
      bad.request = nextRequest_;
      bad.requestClass = 99;
      checkMisuse(bad);
      bad.requestClass = 0;
      bad.tenant = 99;
      checkMisuse(bad);
      EndpointEntry abroad = entry(0, EndpointState::Serving);
      abroad.zone = settings_.zones;
      checkMisuse(MembershipUpdate{MembershipUpdate::Kind::Changes, {abroad}});
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

  void changeWeather() {
    schedule(static_cast<Micros>(dice_.below(3'000)) * kMillisecond, What::Weather);
    const auto id = static_cast<EndpointId>(dice_.below(upstreams_.size()));
    Upstream& upstream = upstreams_[id];
    const std::uint64_t what = dice_.below(20);
    if (what < 5) {
      upstream.mood = static_cast<Upstream::Mood>(dice_.below(6));
    } else if (what < 7) {
      const auto mood = static_cast<Upstream::Mood>(dice_.oneIn(2) ? 0 : dice_.below(6));
      for (Upstream& each : upstreams_) each.mood = mood;
    } else if (what < 9) {
      rush_ = static_cast<double>(1 + dice_.below(2) * dice_.below(30));
    } else if (what < 10) {
      for (Upstream& each : upstreams_) each.others = dice_.below(30);
    } else {
      changeFleet(id, upstream, what);
    }
  }

  void changeFleet(EndpointId id, Upstream& upstream, std::uint64_t what) {
    if (what < 12) {
      upstream.listed = !upstream.listed;
      if (upstream.listed) upstream.launchedAt = now_ - static_cast<Micros>(dice_.below(2000)) * kMillisecond;
      const EndpointState gone = dice_.oneIn(2) ? EndpointState::Draining : EndpointState::Gone;
      feed(MembershipUpdate{MembershipUpdate::Kind::Changes,
                            {entry(id, upstream.listed ? EndpointState::Serving : gone)}});
    } else if (what < 13) {
      upstream.launchedAt = now_;  // restarted in place
      upstream.listed = true;
      upstream.mood = Upstream::Mood::Well;
      feed(MembershipUpdate{MembershipUpdate::Kind::Changes, {entry(id, EndpointState::Serving)}});
    } else if (what < 14) {
      for (Upstream& each : upstreams_) {
        if (dice_.oneIn(8)) each.listed = !each.listed;
      }
      feed(list(MembershipUpdate::Kind::Full));
    } else if (what < 16) {
      feed(MembershipUpdate{MembershipUpdate::Kind::Failed, {}});
      if (dice_.oneIn(2)) feed(list(MembershipUpdate::Kind::Full));
    } else if (what < 18) {
      HealthReport healthReport;
      healthReport.upstream = dice_.oneIn(10) ? 999 : id;
      healthReport.launchedAt = dice_.oneIn(6) ? 77 : upstream.launchedAt;
      healthReport.reachableSidecars = static_cast<std::uint32_t>(1 + dice_.below(12));
      healthReport.unhealthyReports = static_cast<std::uint32_t>(dice_.below(6));
      healthReport.hasHealthyReport = dice_.oneIn(3);
      healthReport.ownsNextTrial = dice_.oneIn(2);
      healthReport.validFor = static_cast<Micros>(dice_.below(3000)) * kMillisecond;
      feed(healthReport);
    } else if (what < 19) {
      feed(ReducedService{dice_.oneIn(2), 1.5 * dice_.unit()});
    } else if (dice_.oneIn(3)) {
      restart();
    }
  }

  /// The sidecar's process is replaced: it knows the list alone.
  void restart() {
    ++life_;
    balancer_ = Balancer(settings_, seed_ + life_, now_);
    clients_.clear();
    for (Upstream& upstream : upstreams_) upstream.atWork = 0;
    feed(list(MembershipUpdate::Kind::Saved));
    schedule(0, What::Arrival);
    schedule(kSecond, What::Weather);
  }

  std::optional<LoadReport> report(const Upstream& upstream, ReportSource by) {
    if (settings_.reportSource != by || dice_.oneIn(8)) return std::nullopt;
    LoadReport load;
    const auto busy = static_cast<double>(upstream.atWork + upstream.others);
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
    result.ok = upstream.mood != Upstream::Mood::Failing && upstream.mood != Upstream::Mood::Unreachable;
    result.latency = static_cast<Micros>(1 + dice_.below(4)) * kMillisecond;
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
    if (dice_.oneIn(60)) return static_cast<Outcome>(dice_.below(8));
    switch (upstream.mood) {
      case Upstream::Mood::Failing:
        return dice_.oneIn(4) ? Outcome::Ok : dice_.oneIn(3) ? Outcome::Reset : Outcome::Error;
      case Upstream::Mood::Unreachable:
        return Outcome::ConnectFailed;
      case Upstream::Mood::Full:
        return dice_.oneIn(3) ? Outcome::Ok : Outcome::Full;
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
    done.clientLimitedTime = dice_.oneIn(10) ? static_cast<Micros>(dice_.below(20)) * kMillisecond : 0;
    done.isBodyConsumed = dice_.oneIn(20);
    done.report = report(upstream, ReportSource::Answers);
    if (done.endsRequest) client.finished = true;
    --upstream.atWork;
    feed(done);
    if (dice_.oneIn(50)) feed(done);  // reported twice, or late: no effect
    if (!client.finished && dice_.oneIn(50)) {
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
    ++upstream.atWork;
    const double queue =
        static_cast<double>(upstream.atWork + upstream.others) / static_cast<double>(upstream.workers);
    double lag = static_cast<double>(upstream.service) * std::max(1.0, queue) * (0.5 + dice_.unit());
    if (upstream.mood == Upstream::Mood::Slow) lag *= 5;
    if (upstream.mood == Upstream::Mood::Full || upstream.mood == Upstream::Mood::Unreachable) lag /= 10;
    Micros delay = static_cast<Micros>(lag);
    if (client.stream && dice_.oneIn(2)) {
      schedule(delay, What::Started, send.request, attempt, send.upstream);
      delay += static_cast<Micros>(dice_.below(400)) * kMillisecond;
    } else if (upstream.mood == Upstream::Mood::Silent || now_ + delay > client.deadline) {
      delay = client.deadline - now_;
    }
    schedule(delay, What::Outcome, send.request, attempt, send.upstream);
  }
  void execute(const Cancel& cancel) {
    digest_.fold(cancel.request);
    digest_.fold(static_cast<std::uint64_t>(cancel.attempt));
  }
  void execute(const Reject& refuse) {
    digest_.fold(refuse.request);
    digest_.fold(refuse.retryAfter);
    clients_.at(refuse.request).finished = true;
  }
  void execute(const Fail& fail) {
    digest_.fold(fail.request);
    clients_.at(fail.request).finished = true;
  }
  void execute(const SetTimer& timer) {
    digest_.fold(timer.delay);
    schedule(timer.delay, What::Timer);
  }
  void execute(const Probe& probe) {
    digest_.fold(static_cast<std::uint64_t>(probe.upstream));
    if (dice_.oneIn(10)) return;  // never answered
    schedule(static_cast<Micros>(1 + dice_.below(dice_.oneIn(5) ? 100 : 4)) * kMillisecond, What::Probed, 0,
             0, probe.upstream);
  }
  void execute(const CloseIdle& close) { digest_.fold(static_cast<std::uint64_t>(close.upstream)); }
  void execute(const Subscribe&) { answerDiscovery(); }
  void execute(const Fetch&) { answerDiscovery(); }
  void execute(const Log& log) { digest_.fold(log.text); }

  void answerDiscovery() { digest_.fold(static_cast<std::uint64_t>(1)); }

  Dice dice_;
  Settings settings_;
  std::uint64_t seed_;
  Balancer balancer_;
  std::vector<Upstream> upstreams_;
  std::map<RequestId, Client> clients_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0, life_ = 0;
  std::size_t events_ = 0;
  RequestId nextRequest_ = 1;
  Micros now_ = 0, spacing_ = 0;
  double rush_ = 1;
  Digest digest_;
  std::array<std::size_t, std::variant_size_v<Action>> actionCounts_{};
};

constexpr std::uint64_t kRecorded[] = {
#include "golden_trace_digests.inc"
};

TEST(GoldenTrace, ActionsAreThoseRecordedBitForBit) {
  const bool record = std::getenv("IVYPOST_RECORD_GOLDEN_TRACE") != nullptr;
  std::array<std::size_t, std::variant_size_v<Action>> total{};
  for (std::size_t n = 0; n < std::size(kRecorded); ++n) {
    SCOPED_TRACE("stream " + std::to_string(n));
    Stream stream(n);
    const std::uint64_t digest = stream.run();
    for (std::size_t kind = 0; kind < total.size(); ++kind) total[kind] += stream.actions(kind);
    if (record) {
      std::printf("0x%016llxu,\n", static_cast<unsigned long long>(digest));
      continue;
    }
    EXPECT_EQ(digest, kRecorded[n]);
  }
  for (std::size_t kind = 0; kind < total.size(); ++kind) {
    EXPECT_GT(total[kind], 20u) << "the streams must bring about every kind of action, here of index "
                                << kind;
  }
}

}  // namespace
}  // namespace ivypost::balancer
