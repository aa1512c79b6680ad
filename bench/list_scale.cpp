// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What a request and a change of the list cost the decision module as the list grows, against ten upstreams.
#include <chrono>
#include <cstdio>
#include <vector>

#include "ivypost/balancer.h"

namespace {

using namespace ivypost::balancer;
using Seconds = std::chrono::duration<double>;

constexpr Micros kMs = 1000;

EndpointEntry entry(EndpointId id, Micros launchedAt) {
  EndpointEntry e;
  e.upstream = id;
  e.size = 1 + id % 3;
  e.launchedAt = launchedAt;
  e.identity = id + 1;
  return e;
}

struct Costs {
  double request = 0, oneChange = 0, hundredChanges = 0, whole = 0;  // in microseconds
};

Costs measure(EndpointId upstreams) {
  Settings s;
  RequestClass cls;
  cls.latencyObjective = 400 * kMs;
  cls.deadline = 1000 * kMs;
  cls.semantics = Semantics::Idempotent;
  s.classes = {cls};
  s.sidecars = 100;
  s.idleTimeout = 30'000 * kMs;
  s.maxStreamsPerConnection = 1;
  s.startCapacity = 0.3;
  s.slowStartWindow = 8'000 * kMs;
  s.fallMultiple = 2.5;
  Micros now = 1'000'000 * kMs;
  Balancer balancer(s, 1, now);
  std::vector<Action> actions;
  const auto feed = [&](const Event& event) {
    actions.clear();
    balancer.handle(event, now, actions);
  };
  MembershipUpdate list;
  list.kind = MembershipUpdate::Kind::Saved;
  for (EndpointId id = 0; id < upstreams; ++id) list.entries.push_back(entry(id, 0));
  feed(list);
  const auto time = [](int rounds, const auto& what) {
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < rounds; ++n) what(n);
    return Seconds(std::chrono::steady_clock::now() - start).count() * 1e6 / rounds;
  };
  Costs costs;
  RequestId id = 0;
  costs.request = time(20'000, [&](int) {
    feed(NewRequest{++id, 0, {}, {}, 1000 * kMs, {}, false});
    const auto* send = actions.empty() ? nullptr : std::get_if<Send>(&actions.front());
    now += 30 * kMs;
    if (send == nullptr) return feed(TimerDue{});
    feed(AttemptOutcome{id, 0, send->upstream, Outcome::Ok, 30 * kMs, true, {}});
    now += 30 * kMs;
  });
  const auto restarts = [&](EndpointId count) {
    return time(2'000, [&, count](int n) {
      MembershipUpdate changes;
      changes.kind = MembershipUpdate::Kind::Changes;
      now += kMs;
      for (EndpointId k = 0; k < count; ++k)
        changes.entries.push_back(entry((static_cast<EndpointId>(n) * count + k) % upstreams, now));
      feed(changes);
    });
  };
  costs.oneChange = restarts(1);
  costs.hundredChanges = restarts(100);
  list.kind = MembershipUpdate::Kind::Full;
  costs.whole = time(500, [&](int) { feed(list); });
  return costs;
}

}  // namespace

int main() {
  measure(10);  // warms up
  const Costs ten = measure(10);
  std::printf("upstreams  us a request (x ten's)  a push of 1  of 100  of the whole list\n");
  for (const EndpointId upstreams : {10U, 60U, 330U, 660U, 1000U, 1320U}) {
    const Costs c = measure(upstreams);
    std::printf("%9u  %8.2f (%6.1f)  %8.2f (%6.1f)  %8.2f (%6.1f)  %8.2f (%6.1f)\n", upstreams, c.request,
                c.request / ten.request, c.oneChange, c.oneChange / ten.oneChange, c.hundredChanges,
                c.hundredChanges / ten.hundredChanges, c.whole, c.whole / ten.whole);
  }
  return 0;
}
