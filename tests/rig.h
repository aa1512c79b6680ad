// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Test fixture: one balancer on a simulated clock, with shorthands for the events that tests feed to it.
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

/// Settings with a class for each of the Semantics (see kSafe, kKeyed, kUnsafe), two equal tenants and two
/// zones.
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

/// Indices of the classes in plainSettings(): idempotent, keyed and unsafe.
constexpr std::uint32_t kSafe = 0, kKeyed = 1, kUnsafe = 2;

/// A serving endpoint: zones alternate by `id`, a cell holds two endpoints; launchedAt 0 is long ago.
inline EndpointEntry serving(EndpointId id, double size = 1, Micros launchedAt = 0) {
  EndpointEntry e;
  e.upstream = id;
  e.zone = id % 2;
  e.cell = id / 2;
  e.size = size;
  e.launchedAt = launchedAt;
  return e;
}

/// The entry of serving(id) in another state.
inline EndpointEntry leaving(EndpointId id, EndpointState state) {
  EndpointEntry e = serving(id);
  e.state = state;
  return e;
}

/// Owns a Balancer and its clock. Each call that feeds an event replaces `actions` with the actions that the
/// balancer returned for it.
class BalancerFixture {
 public:
  explicit BalancerFixture(const Settings& settings = plainSettings(), std::uint64_t seed = 1,
                           Micros start = 1000 * kSecond)
      : now(start), balancer(settings, seed, start) {}

  /// Handles the event at `now`.
  std::vector<Action>& feed(const Event& event) {
    actions.clear();
    balancer.handle(event, now, actions);
    return actions;
  }
  /// Feeds a membership update.
  std::vector<Action>& updateList(MembershipUpdate::Kind kind, std::vector<EndpointEntry> entries = {}) {
    return feed(MembershipUpdate{kind, std::move(entries)});
  }
  /// Feeds the first (saved) list, with this many serving endpoints, numbered from 0.
  std::vector<Action>& start(EndpointId upstreams) {
    std::vector<EndpointEntry> entries;
    for (EndpointId id = 0; id < upstreams; ++id) entries.push_back(serving(id));
    return updateList(MembershipUpdate::Kind::Saved, std::move(entries));
  }
  /// Feeds a request of tenant 0.
  std::vector<Action>& request(RequestId id, std::uint32_t cls = kSafe, Micros expiresIn = kSecond) {
    NewRequest r;
    r.request = id;
    r.requestClass = cls;
    r.tenant = 0;
    r.expiresIn = expiresIn;
    return feed(r);
  }
  /// Feeds a request, which must be sent at once, and returns the upstream that it was sent to.
  EndpointId sendRequest(RequestId id, std::uint32_t cls = kSafe) {
    request(id, cls);
    EXPECT_EQ(count<Send>(), 1u);
    return count<Send>() == 1 ? first<Send>().upstream : 0;
  }
  /// Feeds the outcome of an attempt; with Ok the request is complete.
  std::vector<Action>& outcome(RequestId id, EndpointId upstream, Outcome result, std::uint32_t attempt = 0,
                               Micros lag = 0) {
    return feed(AttemptOutcome{id, attempt, upstream, result, lag, result == Outcome::Ok, std::nullopt});
  }
  /// Advances the clock by `span` and feeds TimerDue.
  std::vector<Action>& advance(Micros span) {
    now += span;
    return feed(TimerDue{});
  }
  /// The actions of type T since the last event.
  template <class T>
  std::vector<T> all() const {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const T* matching = std::get_if<T>(&action)) found.push_back(*matching);
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
  /// Sends requests until upstream 0 is not ready or `most` are sent, and returns how many were sent. `id` is
  /// the first request's id and is advanced past the last one.
  std::size_t fillUpstream0(RequestId& id, std::size_t most = 100) {
    std::size_t sentCount = 0;
    for (; balancer.ready(0, now) && sentCount < most; ++sentCount) {
      request(id++);
      if (count<Send>() > 0) continue;
      feed(Withdrawn{id - 1});  // the sidecar-wide limit holds the request back
      break;
    }
    return sentCount;
  }

  Micros now;  ///< the simulated clock
  Balancer balancer;
  std::vector<Action> actions;  ///< returned for the last event
};

}  // namespace ivypost::balancer

#endif  // IVYPOST_TESTS_RIG_H_
