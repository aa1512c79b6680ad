// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Random legal event streams, judged by an oracle that shares no code with the module. The oracle itself is
// shown to catch a module that breaks each rule.
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

// A cold upstream may get so many times what it would of warm ones only.
constexpr double kColdShare = 1.5;

bool neverRan(Outcome o) {
  return o == Outcome::Full || o == Outcome::ConnectFailed || o == Outcome::Moot;
}

// Written from the wording of the six rules, over what went in and what came out.
class Oracle {
 public:
  explicit Oracle(const Settings& settings) : s_(settings) {}

  void in(const Event& event, Micros now) {
    now_ = now;
    if (const auto* list = std::get_if<MembershipUpdate>(&event)) {
      if (list->kind == MembershipUpdate::Kind::Failed) return;
      if (list->kind != MembershipUpdate::Kind::Changes) allowed_.clear();
      const std::set<EndpointId> before = allowed_;
      for (const EndpointEntry& e : list->entries) {
        const auto known = entries_.find(e.upstream);
        if (known == entries_.end() || known->second.launchedAt != e.launchedAt) {
          // What went to the process before this one does not count.
          std::erase_if(recent_, [&](const auto& sentTo) { return sentTo.second == e.upstream; });
        }
        entries_[e.upstream] = e;
        if (e.state == EndpointState::Serving) {
          allowed_.insert(e.upstream);
        } else {
          allowed_.erase(e.upstream);
        }
      }
      for (const EndpointId id : before) {
        if (allowed_.count(id) == 0) idleSince_[id] = now;  // the notice
      }
      for (const EndpointId id : allowed_) idleSince_.erase(id);
    } else if (const auto* r = std::get_if<NewRequest>(&event)) {
      double sizes = 0;
      for (const EndpointId id : allowed_) sizes += entries_.at(id).size;
      arrivals_.push_back({now, sizes > 0 ? kColdShare / sizes : 0});
      takenAt_.push_back(now);
      requests_[r->request] = {r->requestClass, now + std::max<Micros>(0, r->expiresIn), {}, false, false};
    } else if (const auto* o = std::get_if<AttemptOutcome>(&event)) {
      Known& k = requests_.at(o->request);
      k.attempts.at(o->attempt).outcome = o->outcome;
      if (allowed_.count(o->upstream) == 0) idleSince_[o->upstream] = now;
      if (o->endsRequest) k.over = true;
    } else if (const auto* w = std::get_if<Withdrawn>(&event)) {
      requests_.at(w->request).over = true;
    } else if (const auto* a = std::get_if<AttemptStarted>(&event)) {
      requests_.at(a->request).streaming = true;
    }
  }

  // The sidecar was killed and comes back with the list it last had: nothing of before is owed any more.
  void restarted() {
    requests_.clear();
    takenAt_.clear();
    furtherAt_.clear();
    idleSince_.clear();
    arrivals_.clear();
    recent_.clear();
  }
  std::vector<EndpointEntry> saved() const {
    std::vector<EndpointEntry> list;
    for (const EndpointId id : allowed_) list.push_back(entries_.at(id));
    return list;
  }

  void out(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        sent(*send);
      } else if (const auto* refuse = std::get_if<Reject>(&action)) {
        Known& k = requests_.at(refuse->request);
        finish(k);
        const Sent* ran = firstThatMayHaveRun(k);
        const RequestClass& c = s_.classes[k.cls];
        if (ran && c.semantics == Semantics::Unsafe)
          broken("an unsafe request that may have run was refused");
        if (ran && c.semantics == Semantics::Keyed && c.group != RetryGroup::All) {
          broken("a keyed request that may have run was refused");
        }
        if (refuse->retryAfter > s_.maxRetryAfter || (refuse->retryAfter > 0 && !s_.retryAfter)) {
          broken("advice beyond the settings");
        }
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        finish(requests_.at(fail->request));
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        if (!s_.mayCancel) broken("cancel against the settings");
        if (cancel->attempt >= requests_.at(cancel->request).attempts.size()) broken("cancel of nothing");
      } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
        idleSince_.erase(close->upstream);
      } else if (std::get_if<Probe>(&action) && !s_.mayProbe) {
        broken("probe against the settings");
      }
    }
    for (const auto& [id, since] : idleSince_) {
      if (s_.closeDrainingWithin > 0 && now_ > since + s_.closeDrainingWithin)
        broken("a connection left open on a drain");
    }
    for (auto at = requests_.begin(); at != requests_.end();) {
      const Known& k = at->second;
      if (!k.over && !k.streaming && now_ > k.deadline + s_.answerSlack) broken("a request was lost");
      const bool out =
          std::any_of(k.attempts.begin(), k.attempts.end(), [](const Sent& a) { return !a.outcome; });
      at = k.over && !out ? requests_.erase(at) : std::next(at);
    }
  }

  std::set<std::string> complaints;

 private:
  struct Sent {
    EndpointEntry to;
    Micros at = 0;
    std::optional<Outcome> outcome;
  };
  struct Known {
    std::uint32_t cls = 0;
    Micros deadline = 0;
    std::vector<Sent> attempts;
    bool over = false, streaming = false;
  };

  void broken(const std::string& what) { complaints.insert(what); }

  void finish(Known& k) {
    if (k.over) broken("two final answers");
    if (now_ > k.deadline + s_.answerSlack) broken("a late answer");
    k.over = true;
  }

  static const Sent* firstThatMayHaveRun(const Known& k) {
    for (const Sent& a : k.attempts) {
      if (!a.outcome || !neverRan(*a.outcome)) return &a;
    }
    return nullptr;
  }

  void sent(const Send& send) {
    Known& k = requests_.at(send.request);
    if (k.over) broken("sent after the end");
    if (k.attempts.size() >= s_.maxAttempts) broken("too many attempts");
    if (!k.attempts.empty()) {
      furtherAt_.push_back(now_);
      const auto further = std::count_if(furtherAt_.begin(), furtherAt_.end(),
                                         [this](Micros t) { return now_ - t <= s_.retryBudgetWindow; });
      const auto taken = std::count_if(takenAt_.begin(), takenAt_.end(),
                                       [this](Micros t) { return now_ - t < s_.retryBudgetWindow; });
      if (s_.retryBudgetWindow > 0 &&
          static_cast<double>(further) >
              s_.retryBudgetFloor + s_.retryBudgetRatio * static_cast<double>(taken)) {
        broken("further attempts beyond the budget");
      }
    }
    if (allowed_.count(send.upstream) == 0) broken("sent to an upstream that drains or is gone");
    const EndpointEntry& to = entries_.at(send.upstream);
    const bool out =
        std::any_of(k.attempts.begin(), k.attempts.end(), [](const Sent& a) { return !a.outcome; });
    if (out && !s_.mayHedge) broken("two attempts at once");
    if (const Sent* ran = firstThatMayHaveRun(k)) {
      const RequestClass& c = s_.classes[k.cls];
      if (c.semantics == Semantics::Unsafe) broken("an unsafe request ran twice");
      if (c.semantics == Semantics::Keyed) {
        if (now_ > ran->at + c.retryWindow) broken("repeat after the window");
        if (c.group == RetryGroup::Zone && to.zone != ran->to.zone) broken("repeat outside the group");
        if (c.group == RetryGroup::Cell && to.upstream != ran->to.upstream && to.cell != ran->to.cell) {
          broken("repeat outside the group");
        }
      }
    }
    k.attempts.push_back({to, now_, std::nullopt});
    checkCold(to);
  }

  // Within any fall window a cold upstream may get its share of all attempts by size, times its warmth and
  // what the warm ones' lack may add, plus the credit that can have been saved up.
  void checkCold(const EndpointEntry& to) {
    recent_.push_back({now_, to.upstream});
    while (!recent_.empty() && recent_.front().first + s_.fallWindow < now_) recent_.pop_front();
    while (!arrivals_.empty() && arrivals_.front().first + s_.fallWindow < now_) arrivals_.pop_front();
    if (to.launchedAt == 0 || now_ >= to.launchedAt + s_.slowStartWindow) return;
    const double warmth = s_.startCapacity + (1 - s_.startCapacity) *
                                                 static_cast<double>(now_ - to.launchedAt) /
                                                 static_cast<double>(s_.slowStartWindow);
    double share = 0, mine = 0;
    for (const auto& arrival : arrivals_) share += to.size * arrival.second;
    for (const auto& sentTo : recent_) {
      mine += sentTo.second == to.upstream;
    }
    if (mine > 1.05 * warmth * share + 3) {
      broken("a cold upstream was pushed");
    }
  }

  Settings s_;
  Micros now_ = 0;
  std::map<EndpointId, EndpointEntry> entries_;
  std::set<EndpointId> allowed_;
  std::map<EndpointId, Micros> idleSince_;  // draining or gone: the notice or the last outcome there
  std::vector<Micros> takenAt_, furtherAt_;
  std::map<RequestId, Known> requests_;
  std::deque<std::pair<Micros, double>> arrivals_;  // with the share of one unit of size then
  std::deque<std::pair<Micros, EndpointId>> recent_;
};

using Mutation = std::function<void(std::vector<Action>&, BalancerFixture&)>;

// One random day: a balancer, a handful of upstreams, and everything the wire can bring. Returns the
// complaints.
void playDay(Oracle& oracle, const Settings& settings, std::uint32_t seed, const Mutation& mutate,
             std::size_t* sends) {
  std::mt19937 dice(seed);
  const auto roll = [&](unsigned sides) { return static_cast<unsigned>(dice() % sides); };
  BalancerFixture fixture(settings, seed);
  struct Out {
    RequestId request;
    std::uint32_t attempt;
    EndpointId upstream;
    Micros until;
  };
  std::vector<Out> out;
  std::map<RequestId, Micros> open;  // deadline of each request without an end
  std::map<RequestId, std::uint32_t> attempts;
  std::set<RequestId> streaming;
  std::vector<Micros> timers;
  std::vector<EndpointId> probed;  // some are answered, late or never
  RequestId next = 1;

  const auto feed = [&](const Event& event) {
    oracle.in(event, fixture.now);
    fixture.feed(event);
    if (mutate) mutate(fixture.actions, fixture);
    for (const Action& action : fixture.actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        if (sends) ++*sends;
        const Micros limit = send->timeout > 0 ? fixture.now + send->timeout : open[send->request];
        out.push_back(
            {send->request, attempts[send->request]++, send->upstream, std::min(limit, open[send->request])});
      } else if (const auto* refuse = std::get_if<Reject>(&action)) {
        open.erase(refuse->request);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        open.erase(fail->request);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        probed.push_back(probe->upstream);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers.push_back(fixture.now + timer->delay);
      }
    }
    oracle.out(fixture.actions);
  };
  const auto settle = [&](std::size_t n, Outcome outcome) {
    const Out done = out[n];
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(n));
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
      out.clear();
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
    for (std::size_t n = 0; n < out.size();) {
      if (out[n].until <= fixture.now && streaming.count(out[n].request) == 0) {
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
      if (out.empty()) continue;
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
      settle(roll(static_cast<unsigned>(out.size())), kOutcomes[roll(12)]);
    } else if (what < 88) {
      if (open.empty()) continue;
      auto at = open.begin();
      std::advance(at, roll(static_cast<unsigned>(open.size())));
      const RequestId id = at->first;
      open.erase(at);
      feed(Withdrawn{id});
    } else if (what < 90) {
      if (out.empty() || !settings.classes[0].stream) continue;
      const Out& o = out[roll(static_cast<unsigned>(out.size()))];
      if (open.count(o.request) == 0 || streaming.count(o.request) != 0) continue;
      streaming.insert(o.request);
      feed(AttemptStarted{o.request, o.attempt});
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
  // Let everything come to its end.
  for (int n = 0; n < 400; ++n) {
    fixture.now += settings.resolution;
    for (std::size_t k = 0; k < out.size();) {
      if (out[k].until <= fixture.now) {
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

std::set<std::string> day(const Settings& settings, std::uint32_t seed, const Mutation& mutate = nullptr,
                          std::size_t* sends = nullptr) {
  Oracle oracle(settings);
  try {
    playDay(oracle, settings, seed, mutate, sends);
  } catch (const std::invalid_argument&) {
    if (!mutate) throw;  // else the balancer noticed that the world no longer matches what it did
  }
  return oracle.complaints;
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

TEST(Property, RandomDaysKeepTheRules) {
  std::size_t sends = 0;
  for (unsigned n = 0; n < 128; ++n) {
    SCOPED_TRACE(n);
    const auto complaints = day(variant(n), 100 + n, nullptr, &sends);
    for (const std::string& complaint : complaints) ADD_FAILURE() << complaint;
  }
  EXPECT_GT(sends, 128u * 300u) << "the days must exercise the module";
}

TEST(Property, BadSettingsKeepTheRules) {
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
    for (const std::string& complaint : day(s, 900 + n)) {
      if (s.maxAttempts == 0 && complaint == "too many attempts")
        continue;  // none allowed: one is still made
      ADD_FAILURE() << complaint;
    }
  }
}

TEST(Property, TheOracleCatchesAModuleThatWasToldNoBudgetOrHangUp) {
  const Settings told = variant(14);  // neither is stated
  ASSERT_EQ(told.retryBudgetWindow + told.closeDrainingWithin, 0);
  Settings judged = told;
  judged.retryBudgetWindow = kSecond;
  judged.retryBudgetFloor = 1;
  judged.closeDrainingWithin = 50 * kMs;
  judged.retryBudgetRatio = 0.02;
  Oracle oracle(judged);
  playDay(oracle, told, 1, nullptr, nullptr);
  EXPECT_EQ(oracle.complaints, (std::set<std::string>{"a connection left open on a drain",
                                                      "further attempts beyond the budget"}));
}

// The oracle is no rubber stamp: each break of a rule is noticed.
TEST(Property, TheOracleCatchesABrokenModule) {
  const auto erase = [](std::vector<Action>& actions, auto is) {
    actions.erase(std::remove_if(actions.begin(), actions.end(), is), actions.end());
  };
  int n = 0;
  const auto everySo = [&n](int often) { return ++n % often == 0; };
  const std::map<std::string, Mutation> mutations = {
      {"a request was lost",
       [&](std::vector<Action>& a, BalancerFixture&) {
         erase(a, [&](const Action& x) { return std::holds_alternative<Fail>(x) && everySo(3); });
       }},
      {"two final answers",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (const Action& x : std::vector<Action>(a)) {
           if (std::holds_alternative<Reject>(x)) a.push_back(x);
         }
       }},
      {"sent to an upstream that drains or is gone",
       [&](std::vector<Action>& a, BalancerFixture& fixture) {
         for (Action& x : a) {
           if (auto* send = std::get_if<Send>(&x); send && everySo(20)) {
             for (EndpointId id = 0; id < 8; ++id) {
               if (!fixture.balancer.ready(id, fixture.now)) send->upstream = id;
             }
           }
         }
       }},
      {"an unsafe request that may have run was refused",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (Action& x : a) {
           if (const auto* fail = std::get_if<Fail>(&x)) x = Reject{fail->request, 0};
         }
       }},
      {"an unsafe request ran twice",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (const Action& x : std::vector<Action>(a)) {
           if (std::holds_alternative<Send>(x) && everySo(10)) a.push_back(x);
         }
       }},
      {"two attempts at once",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (const Action& x : std::vector<Action>(a)) {
           if (std::holds_alternative<Send>(x) && everySo(10)) a.push_back(x);
         }
       }},
      {"repeat outside the group",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (Action& x : a) {
           if (auto* send = std::get_if<Send>(&x))
             send->upstream = static_cast<EndpointId>(everySo(2) ? 0 : 7);
         }
       }},
      {"a cold upstream was pushed",
       [&](std::vector<Action>& a, BalancerFixture&) {
         for (Action& x : a) {
           if (auto* send = std::get_if<Send>(&x)) send->upstream = 3;
         }
       }},
  };
  for (const auto& [complaint, mutation] : mutations) {
    bool caught = false;
    for (unsigned seed = 0; seed < 40 && !caught; ++seed) {
      Settings s = variant(8);
      s.maxAttempts = 6;
      s.classes[kKeyed].group = RetryGroup::Cell;
      caught = day(s, 40 + seed, mutation).count(complaint) != 0;
    }
    EXPECT_TRUE(caught) << complaint;
  }
}

}  // namespace
}  // namespace ivypost::balancer
