// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// Random legal event streams, checked by a test oracle that shares no code with the module. Further tests
// show that the oracle detects a module that breaks a rule.
#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>

#include "rig.h"

namespace ivypost::balancer {
namespace {

// Upper bound of an upstream's load while it warms up, as a multiple of its load if all upstreams were warm.
constexpr double kWarmingUpShare = 1.5;

bool neverRan(Outcome outcome) {
  return outcome == Outcome::Full || outcome == Outcome::ConnectFailed || outcome == Outcome::Moot;
}

// Checks the six rules on attempts and answers over the module's events and actions, by their wording alone.
class Oracle {
 public:
  explicit Oracle(const Settings& settings) : settings_(settings) {}

  void observeEvent(const Event& event, Micros now) {
    now_ = now;
    if (const auto* list = std::get_if<MembershipUpdate>(&event)) {
      if (list->kind == MembershipUpdate::Kind::Failed) return;
      if (list->kind != MembershipUpdate::Kind::Changes) allowed_.clear();
      const std::set<EndpointId> before = allowed_;
      for (const EndpointEntry& entry : list->entries) {
        const auto known = entries_.find(entry.upstream);
        if (known == entries_.end() || known->second.launchedAt != entry.launchedAt) {
          // Attempts at the upstream's previous process don't count.
          std::erase_if(recent_, [&](const auto& sentTo) { return sentTo.second == entry.upstream; });
        }
        entries_[entry.upstream] = entry;
        if (entry.state == EndpointState::Serving) {
          allowed_.insert(entry.upstream);
        } else {
          allowed_.erase(entry.upstream);
        }
      }
      for (const EndpointId id : before) {
        if (allowed_.count(id) == 0) idleSince_[id] = now;  // the drain is announced
      }
      for (const EndpointId id : allowed_) idleSince_.erase(id);
    } else if (const auto* r = std::get_if<NewRequest>(&event)) {
      double sizes = 0;
      for (const EndpointId id : allowed_) sizes += entries_.at(id).size;
      arrivals_.push_back({now, sizes > 0 ? kWarmingUpShare / sizes : 0});
      requestsAt_.push_back(now);
      requests_[r->request] = {r->requestClass, now + std::max<Micros>(0, r->expiresIn), {}, false, false};
    } else if (const auto* o = std::get_if<AttemptOutcome>(&event)) {
      TrackedRequest& tracked = requests_.at(o->request);
      tracked.attempts.at(o->attempt).outcome = o->outcome;
      if (allowed_.count(o->upstream) == 0) idleSince_[o->upstream] = now;
      if (o->endsRequest) tracked.isFinished = true;
    } else if (const auto* w = std::get_if<Withdrawn>(&event)) {
      requests_.at(w->request).isFinished = true;
    } else if (const auto* a = std::get_if<AttemptStarted>(&event)) {
      requests_.at(a->request).streaming = true;
    }
  }

  // The sidecar was killed and restarts with its last list: no earlier request is open any more.
  void restarted() {
    requests_.clear();
    requestsAt_.clear();
    retriesAt_.clear();
    idleSince_.clear();
    arrivals_.clear();
    recent_.clear();
  }
  std::vector<EndpointEntry> saved() const {
    std::vector<EndpointEntry> list;
    for (const EndpointId id : allowed_) list.push_back(entries_.at(id));
    return list;
  }

  void observeActions(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        sent(*send);
      } else if (const auto* reject = std::get_if<Reject>(&action)) {
        TrackedRequest& tracked = requests_.at(reject->request);
        finish(tracked);
        const Sent* mayHaveRun = firstThatMayHaveRun(tracked);
        const RequestClass& requestClass = settings_.classes[tracked.requestClass];
        if (mayHaveRun && requestClass.semantics == Semantics::Unsafe)
          reportViolation("an unsafe request that may have run was rejected");
        if (mayHaveRun && requestClass.semantics == Semantics::Keyed &&
            requestClass.group != RetryGroup::All) {
          reportViolation("a keyed request that may have run was rejected");
        }
        if (reject->retryAfter > settings_.maxRetryAfter ||
            (reject->retryAfter > 0 && !settings_.retryAfter)) {
          reportViolation("retry advice that the settings don't permit");
        }
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        finish(requests_.at(fail->request));
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        if (!settings_.mayCancel) reportViolation("cancel that the settings don't permit");
        if (cancel->attempt >= requests_.at(cancel->request).attempts.size())
          reportViolation("cancel of an attempt that was never sent");
      } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
        idleSince_.erase(close->upstream);
      } else if (std::get_if<Probe>(&action) && !settings_.mayProbe) {
        reportViolation("probe that the settings don't permit");
      }
    }
    for (const auto& [id, since] : idleSince_) {
      if (settings_.closeDrainingWithin > 0 && now_ > since + settings_.closeDrainingWithin)
        reportViolation("idle connections to a draining upstream were not closed in time");
    }
    for (auto at = requests_.begin(); at != requests_.end();) {
      const TrackedRequest& tracked = at->second;
      if (!tracked.isFinished && !tracked.streaming && now_ > tracked.deadline + settings_.answerSlack)
        reportViolation("a request got no answer by its deadline");
      const bool isPending = std::any_of(tracked.attempts.begin(), tracked.attempts.end(),
                                         [](const Sent& a) { return !a.outcome; });
      at = tracked.isFinished && !isPending ? requests_.erase(at) : std::next(at);
    }
  }

  std::set<std::string> violations;

 private:
  struct Sent {
    EndpointEntry to;
    Micros at = 0;
    std::optional<Outcome> outcome;
  };
  struct TrackedRequest {
    std::uint32_t requestClass = 0;
    Micros deadline = 0;
    std::vector<Sent> attempts;
    bool isFinished = false, streaming = false;
  };

  void reportViolation(const std::string& what) { violations.insert(what); }

  void finish(TrackedRequest& tracked) {
    if (tracked.isFinished) reportViolation("two final answers");
    if (now_ > tracked.deadline + settings_.answerSlack) reportViolation("an answer after the deadline");
    tracked.isFinished = true;
  }

  static const Sent* firstThatMayHaveRun(const TrackedRequest& tracked) {
    for (const Sent& a : tracked.attempts) {
      if (!a.outcome || !neverRan(*a.outcome)) return &a;
    }
    return nullptr;
  }

  void sent(const Send& send) {
    TrackedRequest& tracked = requests_.at(send.request);
    if (tracked.isFinished) reportViolation("an attempt after the final answer");
    if (tracked.attempts.size() >= settings_.maxAttempts) reportViolation("too many attempts");
    if (!tracked.attempts.empty()) {
      retriesAt_.push_back(now_);
      const auto retries = std::count_if(retriesAt_.begin(), retriesAt_.end(), [this](Micros t) {
        return now_ - t <= settings_.retryBudgetWindow;
      });
      const auto requests = std::count_if(requestsAt_.begin(), requestsAt_.end(), [this](Micros t) {
        return now_ - t < settings_.retryBudgetWindow;
      });
      if (settings_.retryBudgetWindow > 0 &&
          static_cast<double>(retries) >
              settings_.retryBudgetFloor + settings_.retryBudgetRatio * static_cast<double>(requests)) {
        reportViolation("retries beyond the budget");
      }
    }
    if (allowed_.count(send.upstream) == 0)
      reportViolation("an attempt at an upstream that is draining or gone");
    const EndpointEntry& to = entries_.at(send.upstream);
    const bool isPending = std::any_of(tracked.attempts.begin(), tracked.attempts.end(),
                                       [](const Sent& a) { return !a.outcome; });
    if (isPending && !settings_.mayHedge) reportViolation("two attempts in flight without hedging");
    if (const Sent* mayHaveRun = firstThatMayHaveRun(tracked)) {
      const RequestClass& requestClass = settings_.classes[tracked.requestClass];
      if (requestClass.semantics == Semantics::Unsafe) reportViolation("an unsafe request ran twice");
      if (requestClass.semantics == Semantics::Keyed) {
        if (now_ > mayHaveRun->at + requestClass.retryWindow)
          reportViolation("a retry after the retry window");
        if (requestClass.group == RetryGroup::Zone && to.zone != mayHaveRun->to.zone)
          reportViolation("a retry outside the retry group");
        if (requestClass.group == RetryGroup::Cell && to.upstream != mayHaveRun->to.upstream &&
            to.cell != mayHaveRun->to.cell) {
          reportViolation("a retry outside the retry group");
        }
      }
    }
    tracked.attempts.push_back({to, now_, std::nullopt});
    checkSlowStart(to);
  }

  // Within any fallWindow, an upstream that is warming up may get its share by size of all requests, times
  // the fraction of its capacity and kWarmingUpShare, plus the credit that may have been saved.
  void checkSlowStart(const EndpointEntry& to) {
    recent_.push_back({now_, to.upstream});
    while (!recent_.empty() && recent_.front().first + settings_.fallWindow < now_) recent_.pop_front();
    while (!arrivals_.empty() && arrivals_.front().first + settings_.fallWindow < now_) arrivals_.pop_front();
    if (to.launchedAt == 0 || now_ >= to.launchedAt + settings_.slowStartWindow) return;
    const double capacityFraction =
        settings_.startCapacity + (1 - settings_.startCapacity) * static_cast<double>(now_ - to.launchedAt) /
                                      static_cast<double>(settings_.slowStartWindow);
    double share = 0, received = 0;
    for (const auto& arrival : arrivals_) share += to.size * arrival.second;
    for (const auto& sentTo : recent_) {
      received += sentTo.second == to.upstream;
    }
    if (received > 1.05 * capacityFraction * share + 3) {
      reportViolation("too many attempts at an upstream that is warming up");
    }
  }

  Settings settings_;
  Micros now_ = 0;
  std::map<EndpointId, EndpointEntry> entries_;
  std::set<EndpointId> allowed_;
  std::map<EndpointId, Micros>
      idleSince_;  // draining or gone upstreams: time of the announcement or the last outcome
  std::vector<Micros> requestsAt_, retriesAt_;
  std::map<RequestId, TrackedRequest> requests_;
  std::deque<std::pair<Micros, double>>
      arrivals_;  // arrival time, share of an upstream of size 1 at that time
  std::deque<std::pair<Micros, EndpointId>> recent_;
};

using Mutation = std::function<void(std::vector<Action>&, BalancerFixture&)>;

// Runs a balancer with a few upstreams through a random stream of all kinds of events; the oracle records the
// violations. `mutate` alters the actions, to simulate a broken module.
void runRandomTrace(Oracle& oracle, const Settings& settings, std::uint32_t seed, const Mutation& mutate,
                    std::size_t* sends) {
  std::mt19937 engine(seed);
  const auto roll = [&](unsigned sides) { return static_cast<unsigned>(engine() % sides); };
  BalancerFixture fixture(settings, seed);
  struct InFlight {
    RequestId request;
    std::uint32_t attempt;
    EndpointId upstream;
    Micros until;
  };
  std::vector<InFlight> inFlight;
  std::map<RequestId, Micros> open;  // deadline of each open request
  std::map<RequestId, std::uint32_t> attempts;
  std::set<RequestId> streaming;
  std::vector<Micros> timers;
  std::vector<EndpointId> probed;  // some of these probes get a result late or never
  RequestId next = 1;

  const auto feed = [&](const Event& event) {
    oracle.observeEvent(event, fixture.now);
    fixture.feed(event);
    if (mutate) mutate(fixture.actions, fixture);
    for (const Action& action : fixture.actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        if (sends) ++*sends;
        const Micros limit = send->timeout > 0 ? fixture.now + send->timeout : open[send->request];
        inFlight.push_back(
            {send->request, attempts[send->request]++, send->upstream, std::min(limit, open[send->request])});
      } else if (const auto* reject = std::get_if<Reject>(&action)) {
        open.erase(reject->request);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        open.erase(fail->request);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        probed.push_back(probe->upstream);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers.push_back(fixture.now + timer->delay);
      }
    }
    oracle.observeActions(fixture.actions);
  };
  const auto settle = [&](std::size_t n, Outcome outcome) {
    const InFlight done = inFlight[n];
    inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(n));
    const bool isOpen = open.count(done.request) != 0;
    const bool ends = isOpen && (outcome == Outcome::Ok || streaming.count(done.request) != 0);
    if (ends) open.erase(done.request);
    std::optional<LoadReport> report;
    if (settings.reportSource == ReportSource::Answers && roll(2) == 0)
      report.emplace().cpuShare = roll(110) / 100.0;
    feed(
        AttemptOutcome{done.request, done.attempt, done.upstream, outcome, 5 * kMs, !isOpen || ends, report});
  };
  const auto entry = [&](EndpointId id, Micros launched) {
    EndpointEntry e = serving(id, 1 + 0.5 * (id % 3), launched);
    return e;
  };
  std::vector<EndpointEntry> first;
  for (EndpointId id = 0; id < 8; ++id) first.push_back(entry(id, 0));
  feed(MembershipUpdate{MembershipUpdate::Kind::Saved, first});
  std::map<EndpointId, Micros> launched;

  for (int step = 0; step < 3000; ++step) {
    fixture.now += roll(3) == 0 ? settings.resolution * (1 + roll(3)) : 0;
    if (step % 1000 == 999) {
      fixture.balancer = Balancer(settings, seed + 1, fixture.now);
      oracle.restarted();
      inFlight.clear();
      probed.clear();
      open.clear();
      streaming.clear();
      timers.clear();
      feed(MembershipUpdate{MembershipUpdate::Kind::Saved, oracle.saved()});
    }
    std::sort(timers.begin(), timers.end());
    while (!timers.empty() && timers.front() <= fixture.now) {
      timers.erase(timers.begin());
      feed(TimerDue{});
    }
    for (std::size_t n = 0; n < inFlight.size();) {
      if (inFlight[n].until <= fixture.now && streaming.count(inFlight[n].request) == 0) {
        settle(n, Outcome::Timeout);
        n = 0;
      } else {
        ++n;
      }
    }
    const unsigned what = roll(100);
    if (what < 45) {
      NewRequest r;
      r.request = next++;
      r.requestClass = roll(3);
      if (roll(4) != 0) r.tenant = roll(2);
      if (roll(2) == 0) r.key = roll(50);
      if (roll(2) == 0) r.work = static_cast<Micros>(roll(200)) * kMs;
      r.expiresIn = roll(50) == 0 ? 0 : static_cast<Micros>(20 + roll(900)) * kMs;
      r.isRetry = roll(5) == 0;
      open[r.request] = fixture.now + r.expiresIn;
      feed(r);
    } else if (what < 85) {
      if (inFlight.empty()) continue;
      static constexpr Outcome kOutcomes[] = {Outcome::Ok,
                                              Outcome::Ok,
                                              Outcome::Ok,
                                              Outcome::Ok,
                                              Outcome::Ok,
                                              Outcome::Error,
                                              Outcome::Full,
                                              Outcome::Reset,
                                              Outcome::Timeout,
                                              Outcome::Moot,
                                              Outcome::ConnectFailed,
                                              Outcome::Cancelled};
      settle(roll(static_cast<unsigned>(inFlight.size())), kOutcomes[roll(12)]);
    } else if (what < 88) {
      if (open.empty()) continue;
      auto at = open.begin();
      std::advance(at, roll(static_cast<unsigned>(open.size())));
      const RequestId id = at->first;
      open.erase(at);
      feed(Withdrawn{id});
    } else if (what < 90) {
      if (inFlight.empty() || !settings.classes[0].stream) continue;
      const InFlight& attempt = inFlight[roll(static_cast<unsigned>(inFlight.size()))];
      if (open.count(attempt.request) == 0 || streaming.count(attempt.request) != 0) continue;
      streaming.insert(attempt.request);
      feed(AttemptStarted{attempt.request, attempt.attempt});
    } else if (what < 95) {
      const EndpointId id = roll(10);
      EndpointEntry e = entry(id, launched[id]);
      const unsigned to = roll(4);
      if (to == 0) e.state = EndpointState::Draining;
      if (to == 1) e.state = EndpointState::Gone;
      if (to == 2) e.launchedAt = launched[id] = fixture.now - static_cast<Micros>(roll(2000)) * kMs;
      feed(MembershipUpdate{MembershipUpdate::Kind::Changes, {e}});
    } else if (what < 97) {
      std::vector<EndpointEntry> all;
      for (EndpointId id = 0; id < 10; ++id) {
        if (roll(4) != 0) all.push_back(entry(id, launched[id]));
      }
      feed(MembershipUpdate{MembershipUpdate::Kind::Full, all});
    } else if (what < 98) {
      feed(MembershipUpdate{MembershipUpdate::Kind::Failed, {}});
    } else {
      ProbeResult p;
      p.upstream = probed.empty() ? roll(8) : probed[roll(static_cast<unsigned>(probed.size()))];
      if (!probed.empty()) probed.erase(std::find(probed.begin(), probed.end(), p.upstream));
      p.ok = roll(2) == 0;
      if (roll(2) == 0) p.report.emplace().busyRequests = roll(20);
      feed(p);
    }
  }
  // Lets all requests and attempts end.
  for (int n = 0; n < 400; ++n) {
    fixture.now += settings.resolution;
    for (std::size_t k = 0; k < inFlight.size();) {
      if (inFlight[k].until <= fixture.now) {
        settle(k, Outcome::Timeout);
        k = 0;
      } else {
        ++k;
      }
    }
    feed(TimerDue{});
  }
  if (!mutate) {
    EXPECT_EQ(fixture.balancer.openRequests(), 0u);
    for (EndpointId id = 0; id < 10; ++id) EXPECT_EQ(fixture.balancer.inFlight(id), 0u);
  }
}

std::set<std::string> violationsOf(const Settings& settings, std::uint32_t seed,
                                   const Mutation& mutate = nullptr, std::size_t* sends = nullptr) {
  Oracle oracle(settings);
  try {
    runRandomTrace(oracle, settings, seed, mutate, sends);
  } catch (const std::invalid_argument&) {
    if (!mutate) throw;  // the altered actions have made later events inconsistent
  }
  return oracle.violations;
}

Settings variant(unsigned n) {
  Settings s = plainSettings();
  s.resolution = 5 * kMs;
  s.mayHedge = n & 1;
  s.mayCancel = !(n & 2);
  s.mayProbe = n & 4;
  s.retryAfter = n & 8;
  s.mustSubscribe = n & 16;
  s.hasKeyAffinity = n & 32;
  s.reportSource = n & 64 ? ReportSource::Answers : n & 4 ? ReportSource::Probes : ReportSource::None;
  s.classes[kKeyed].group = static_cast<RetryGroup>(n % 3);
  s.classes[0].stream = n % 5 == 0;
  s.maxAttempts = 1 + n % 6;
  s.reportsBusyRequests = s.mayProbe && n % 7 < 4;
  s.maxStreamsPerConnection = n % 4;
  s.idleTimeout = n % 3 == 0 ? 0 : 10 * kSecond;
  s.sidecars = n % 2 == 0 ? 1 : 1000;
  if (n % 4 < 2) {
    s.retryBudgetWindow = n % 8 < 4 ? 200 * kMs : 2 * kSecond;
    s.retryBudgetFloor = n % 3;
    s.retryBudgetRatio = 0.03 * (n % 5);
  }
  if (n % 8 < 5) s.closeDrainingWithin = (1 + n % 2 * 100) * s.resolution;
  return s;
}

TEST(Property, RandomEventStreamsKeepTheRules) {
  std::size_t sends = 0;
  for (unsigned n = 0; n < 128; ++n) {
    SCOPED_TRACE(n);
    const auto violations = violationsOf(variant(n), 100 + n, nullptr, &sends);
    for (const std::string& violation : violations) ADD_FAILURE() << violation;
  }
  EXPECT_GT(sends, 128u * 300u) << "the streams must exercise the module";
}

TEST(Property, ExtremeSettingsKeepTheRules) {
  constexpr double kNone = std::numeric_limits<double>::quiet_NaN();
  constexpr Micros kEver = std::numeric_limits<Micros>::max();
  for (unsigned n = 0; n < 39; ++n) {
    SCOPED_TRACE(n);
    Settings s = variant(n);
    switch (n % 13) {
      case 0:
        s.maxAttempts = 0;
        break;
      case 1:
        s.pollWithin = 0;
        break;
      case 2:
        s.startCapacity = 0;
        s.answerSlack = 25 * kMs;
        break;
      case 3:
        s.classes[kKeyed].retryWindow = 0;
        break;
      case 4:
        s.classes[0].latencyObjective = 100 * kSecond;
        break;
      case 5:
        s.tenants = {{0, 0}, {1e300, 7}};
        break;
      case 6:
        s.slowStartWindow = 0;
        break;
      case 7:
        s.classes[0].latencyObjective = s.classes[1].deadline = s.classes[2].latencyObjective = kEver;
        s.pollWithin = kEver;
        break;
      case 8:
        s.classes[0].objectiveStretch = kNone;
        s.classes[1].objectiveStretch = std::numeric_limits<double>::infinity();
        s.classes[1].lateWeight = s.classes[2].weight = kNone;
        s.overShareWeight = s.crossZoneCost = kNone;
        break;
      case 9:
        s.classes[0].latencyObjective = s.classes[1].latencyObjective = s.classes[1].deadline = -kEver;
        s.classes[0].weight = -1;
        s.pollWithin = -kEver;
        break;
      case 10:
        s.fallMultiple = kNone;
        s.sidecars = 0;
        s.resolution = 5 * kMs;
        break;
      case 11:
        s.tenants = {{kNone, kNone}, {-1, -1}};
        s.weightByWork = true;
        s.sidecars = 4'000'000'000u;
        s.retryBudgetWindow = n < 13 ? kEver : -1;
        s.retryBudgetFloor = s.retryBudgetRatio = kNone;
        s.closeDrainingWithin = n < 26 ? kEver : -1;
        s.maxStreamsPerConnection = 4'000'000'000u;
        break;
      default:
        s.classes[0].latencyObjective = 0;
        s.maxRetryAfter = 0;
        break;
    }
    Settings judged = s;
    judged.maxAttempts = std::max(1u, judged.maxAttempts);
    for (const std::string& violation : violationsOf(s, 900 + n)) {
      if (s.maxAttempts == 0 && violation == "too many attempts")
        continue;  // the first attempt is always made
      ADD_FAILURE() << violation;
    }
  }
}

TEST(Property, OracleDetectsAMissingRetryBudgetAndOpenConnectionsOnADrain) {
  const Settings given = variant(14);  // neither rule is configured
  ASSERT_EQ(given.retryBudgetWindow + given.closeDrainingWithin, 0);
  Settings judged = given;
  judged.retryBudgetWindow = kSecond;
  judged.retryBudgetFloor = 1;
  judged.closeDrainingWithin = 50 * kMs;
  judged.retryBudgetRatio = 0.02;
  Oracle oracle(judged);
  runRandomTrace(oracle, given, 1, nullptr, nullptr);
  EXPECT_EQ(oracle.violations,
            (std::set<std::string>{"idle connections to a draining upstream were not closed in time",
                                   "retries beyond the budget"}));
}

// Each mutation breaks a rule, and the oracle has to detect it.
TEST(Property, OracleDetectsABrokenModule) {
  const auto erase = [](std::vector<Action>& actions, auto is) {
    actions.erase(std::remove_if(actions.begin(), actions.end(), is), actions.end());
  };
  int n = 0;
  const auto everyNth = [&n](int interval) { return ++n % interval == 0; };
  const std::map<std::string, Mutation> mutations = {
      {"a request got no answer by its deadline",
       [&](std::vector<Action>& a, BalancerFixture&) {
         erase(a, [&](const Action& x) { return std::holds_alternative<Fail>(x) && everyNth(3); });
       }},
      {"two final answers",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (const Action& x : std::vector<Action>(a)) {
           if (std::holds_alternative<Reject>(x)) a.push_back(x);
         }
       }},
      {"an attempt at an upstream that is draining or gone",
       [&](std::vector<Action>& a, BalancerFixture& fixture) {
         for (Action& x : a) {
           if (auto* send = std::get_if<Send>(&x); send && everyNth(20)) {
             for (EndpointId id = 0; id < 8; ++id) {
               if (!fixture.balancer.ready(id, fixture.now)) send->upstream = id;
             }
           }
         }
       }},
      {"an unsafe request that may have run was rejected",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (Action& x : a) {
           if (const auto* fail = std::get_if<Fail>(&x)) x = Reject{fail->request, 0};
         }
       }},
      {"an unsafe request ran twice",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (const Action& x : std::vector<Action>(a)) {
           if (std::holds_alternative<Send>(x) && everyNth(10)) a.push_back(x);
         }
       }},
      {"two attempts in flight without hedging",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (const Action& x : std::vector<Action>(a)) {
           if (std::holds_alternative<Send>(x) && everyNth(10)) a.push_back(x);
         }
       }},
      {"a retry outside the retry group",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (Action& x : a) {
           if (auto* send = std::get_if<Send>(&x))
             send->upstream = static_cast<EndpointId>(everyNth(2) ? 0 : 7);
         }
       }},
      {"too many attempts at an upstream that is warming up",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (Action& x : a) {
           if (auto* send = std::get_if<Send>(&x)) send->upstream = 3;
         }
       }},
  };
  for (const auto& [violation, mutation] : mutations) {
    bool caught = false;
    for (unsigned seed = 0; seed < 40 && !caught; ++seed) {
      Settings s = variant(8);
      s.maxAttempts = 6;
      s.classes[kKeyed].group = RetryGroup::Cell;
      caught = violationsOf(s, 40 + seed, mutation).count(violation) != 0;
    }
    EXPECT_TRUE(caught) << violation;
  }
}

}  // namespace
}  // namespace ivypost::balancer
