// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A balancer on fake time, for tests.
#ifndef IVYPOST_TESTS_RIG_H_
#define IVYPOST_TESTS_RIG_H_

#include <gtest/gtest.h>

#include <cstddef>
#include <utility>
#include <vector>

#include "ivypost/balancer.h"

namespace ivypost::balancer {

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;

inline Settings plainSettings() {
  Settings s;
  RequestClass safe;
  safe.latencyObjective = 400 * kMs;
  safe.deadline = kSecond;
  safe.semantics = Semantics::Idempotent;
  RequestClass keyed = safe;
  keyed.semantics = Semantics::Keyed;
  keyed.group = RetryGroup::Cell;
  keyed.retryWindow = 600 * kMs;
  RequestClass unsafe = safe;
  unsafe.semantics = Semantics::Unsafe;
  s.classes = {safe, keyed, unsafe};
  s.tenants = {{50, 0.5}, {50, 0.5}};
  s.zones = 2;
  s.mustSubscribe = true;
  s.maxAttempts = 3;
  s.mayCancel = true;
  s.retryAfter = true;
  s.maxRetryAfter = 500 * kMs;
  s.answerSlack = 20 * kMs;
  s.pollWithin = 10 * kSecond;
  s.startCapacity = 0.3;
  s.slowStartWindow = 8 * kSecond;
  s.drainGrace = kSecond;
  s.fallMultiple = 3;
  s.fallWindow = kSecond;
  return s;
}

constexpr std::uint32_t kSafe = 0, kKeyed = 1, kUnsafe = 2;

inline EndpointEntry serving(EndpointId id, double size = 1, Micros launchedAt = 0) {
  EndpointEntry e;
  e.upstream = id;
  e.zone = id % 2;
  e.cell = id / 2;
  e.size = size;
  e.launchedAt = launchedAt;
  return e;
}

inline EndpointEntry leaving(EndpointId id, EndpointState state) {
  EndpointEntry e = serving(id);
  e.state = state;
  return e;
}

class Rig {
 public:
  explicit Rig(const Settings& settings = plainSettings(), std::uint64_t seed = 1,
               Micros start = 1000 * kSecond)
      : now(start), balancer(settings, seed, start) {}

  std::vector<Action>& feed(const Event& event) {
    actions.clear();
    balancer.handle(event, now, actions);
    return actions;
  }
  std::vector<Action>& list(MembershipUpdate::Kind kind, std::vector<EndpointEntry> entries = {}) {
    return feed(MembershipUpdate{kind, std::move(entries)});
  }
  std::vector<Action>& start(EndpointId upstreams) {
    std::vector<EndpointEntry> entries;
    for (EndpointId id = 0; id < upstreams; ++id) entries.push_back(serving(id));
    return list(MembershipUpdate::Kind::Saved, std::move(entries));
  }
  std::vector<Action>& request(RequestId id, std::uint32_t cls = kSafe, Micros expiresIn = kSecond) {
    NewRequest r;
    r.request = id;
    r.requestClass = cls;
    r.tenant = 0;
    r.expiresIn = expiresIn;
    return feed(r);
  }
  // Sends a request and tells where it went.
  EndpointId sent(RequestId id, std::uint32_t cls = kSafe) {
    request(id, cls);
    EXPECT_EQ(count<Send>(), 1u);
    return count<Send>() == 1 ? first<Send>().upstream : 0;
  }
  std::vector<Action>& outcome(RequestId id, EndpointId upstream, Outcome what, std::uint32_t attempt = 0,
                               Micros lag = 0) {
    return feed(AttemptOutcome{id, attempt, upstream, what, lag, what == Outcome::Ok, std::nullopt});
  }
  std::vector<Action>& wait(Micros span) {
    now += span;
    return feed(TimerDue{});
  }
  template <class T>
  std::vector<T> all() const {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const T* is = std::get_if<T>(&action)) found.push_back(*is);
    }
    return found;
  }
  template <class T>
  std::size_t count() const {
    return all<T>().size();
  }
  template <class T>
  T first() const {
    return all<T>().at(0);
  }
  // Sends until upstream 0 takes no more, or `most` were sent; tells how many.
  std::size_t fill(RequestId& id, std::size_t most = 100) {
    std::size_t fit = 0;
    for (; balancer.ready(0, now) && fit < most; ++fit) {
      request(id++);
      if (count<Send>() > 0) continue;
      feed(Withdrawn{id - 1});  // the sidecar as a whole has enough out
      break;
    }
    return fit;
  }

  Micros now;
  Balancer balancer;
  std::vector<Action> actions;
};

}  // namespace ivypost::balancer

#endif  // IVYPOST_TESTS_RIG_H_
