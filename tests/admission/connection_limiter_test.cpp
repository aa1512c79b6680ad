// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/connection_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace ivypost::admission {
namespace {

using State = ConnectionLimiter::State;

ConnectionLimiterSettings withMaxConnections(std::size_t maxConnections) {
  ConnectionLimiterSettings settings;
  settings.maxConnections = maxConnections;
  return settings;
}

// A limiter with `connections` idle connections, which were accepted at time 0 and have had one request.
struct Filled {
  Filled(std::size_t maxConnections, std::size_t connections) : limiter(withMaxConnections(maxConnections)) {
    for (std::size_t n = 0; n < connections; ++n) {
      slots.push_back(limiter.insert(n + 1, 0));
      limiter.beginRequest(slots.back(), 0);
      limiter.beginIdle(slots.back(), 0);
    }
  }
  ConnectionLimiter limiter;
  std::vector<ConnectionLimiter::Slot> slots;
};

TEST(ConnectionLimiter, KeepsConnectionsAliveByReuseAndByFractionOpen) {
  struct Row {
    std::size_t open;
    int requests;
    Micros idleTime;
    bool isKept;
  };
  for (const Row& row : {Row{1, 1, 0, true}, Row{50, 1, 0, true}, Row{51, 1, 0, false},
                         Row{51, 2, 2'000'000, true}, Row{51, 2, 2'000'001, false}, Row{80, 9, 100, true},
                         Row{81, 9, 100, false}, Row{100, 9, 100, false}, Row{120, 1, 0, false}}) {
    Filled filled(100, row.open - 1);
    const auto one = filled.limiter.insert(1000, 0);
    Micros now = 0;
    for (int n = 0; n < row.requests; ++n) {
      filled.limiter.beginRequest(one, now);
      if (n + 1 == row.requests) break;
      filled.limiter.beginIdle(one, now);
      now += row.idleTime;
    }
    EXPECT_EQ(filled.limiter.keepsAlive(one), row.isKept)
        << row.open << " open, " << row.requests << " requests";
  }
}

TEST(ConnectionLimiter, IsFullAtTheLimitUntilASlotIsReleased) {
  Filled filled(3, 3);
  EXPECT_TRUE(filled.limiter.isFull());
  filled.limiter.release(filled.slots[1]);
  EXPECT_FALSE(filled.limiter.isFull());
  EXPECT_EQ(filled.limiter.size(), 2u);
}

TEST(ConnectionLimiter, EvictsClosingThenSilentThenIdleConnectionsAndNoneEarly) {
  ConnectionLimiter limiter(withMaxConnections(10));
  const auto idle = limiter.insert(1, 0);
  const auto silent = limiter.insert(2, 50'000);
  const auto active = limiter.insert(3, 0);
  const auto closing = limiter.insert(4, 0);
  limiter.beginRequest(idle, 0);
  limiter.beginIdle(idle, 0);
  limiter.beginRequest(active, 0);
  limiter.beginRequest(closing, 0);
  EXPECT_EQ(limiter.evictionCandidates(0), std::vector<ConnectionId>{});
  EXPECT_EQ(limiter.nextEvictionAt(0), ConnectionLimiter::kMaxWait);
  EXPECT_EQ(limiter.nextEvictionAt(149'500), 150'500);  // the silent one is due earlier than kMinWait allows
  limiter.beginClosing(closing, 60'000);
  EXPECT_EQ(limiter.evictionCandidates(60'000), std::vector<ConnectionId>{4});
  EXPECT_EQ(limiter.nextEvictionAt(60'000), 60'000 + ConnectionLimiter::kMinWait);
  EXPECT_EQ(limiter.evictionCandidates(149'999), std::vector<ConnectionId>{4});
  EXPECT_EQ(limiter.evictionCandidates(150'000), (std::vector<ConnectionId>{4, 2}));
  EXPECT_EQ(limiter.evictionCandidates(2'000'000), (std::vector<ConnectionId>{4, 2, 1}));
  limiter.release(closing);
  limiter.release(silent);
  EXPECT_EQ(limiter.nextEvictionAt(1'990'000), 2'000'000);
}

TEST(ConnectionLimiter, NamesABoundedNumberOfCandidates) {
  Filled filled(100, 100);
  EXPECT_EQ(filled.limiter.evictionCandidates(10'000'000).size(), ConnectionLimiter::kMaxCandidates);
}

TEST(ConnectionLimiter, AdmitsNoRequestsBeyondTheActiveFraction) {
  ConnectionLimiter limiter(withMaxConnections(10));
  for (ConnectionId id = 1; id <= 10; ++id) {
    limiter.beginRequest(limiter.insert(id, 0), 0);
    EXPECT_EQ(limiter.admitsRequests(), id <= 9) << id;
  }
  ConnectionLimiter smallest(withMaxConnections(1));
  smallest.beginRequest(smallest.insert(1, 0), 0);
  EXPECT_TRUE(smallest.admitsRequests());
}

// For random sequences of calls: the counts of the states agree with the total, and no connection that is
// active or not due is an eviction candidate.
TEST(ConnectionLimiterProperty, CountsAgreeAndCandidatesAreDueWhateverConnectionsDo) {
  EXPECT_TRUE(rc::check("counts agree and candidates are due", [] {
    const ConnectionLimiterSettings settings = withMaxConnections(8);
    ConnectionLimiter limiter(settings);
    std::vector<ConnectionLimiter::Slot> slots;
    ConnectionId last = 0;
    Micros now = 0;
    for (const auto& [what, who, pause] :
         *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
             rc::gen::inRange(0, 5), rc::gen::inRange(0, 8), rc::gen::inRange(0, 1'500'000)))) {
      now += pause;
      if (what == 0 || slots.empty()) {
        if (!limiter.isFull()) slots.push_back(limiter.insert(++last, now));
      } else {
        const auto one = slots.begin() + who % static_cast<int>(slots.size());
        if (what == 1) limiter.beginRequest(*one, now);
        if (what == 2) limiter.beginIdle(*one, now);
        if (what == 3) limiter.beginClosing(*one, now);
        if (what == 4) {
          limiter.release(*one);
          slots.erase(one);
        }
      }
      std::size_t sum = 0;
      for (const State state : {State::Silent, State::Idle, State::Active, State::Closing})
        sum += limiter.count(state);
      RC_ASSERT(sum == limiter.size() && sum == slots.size());
      for (const ConnectionId id : limiter.evictionCandidates(now)) {
        const auto found =
            std::find_if(slots.begin(), slots.end(), [&](auto slot) { return slot->id == id; });
        RC_ASSERT(found != slots.end());
        const auto& connection = **found;
        RC_ASSERT(connection.state != State::Active);
        if (connection.state == State::Silent) RC_ASSERT(now - connection.since >= settings.silentTimeout);
        if (connection.state == State::Idle) RC_ASSERT(now - connection.since >= settings.idleTimeout);
      }
      const Micros next = limiter.nextEvictionAt(now);
      RC_ASSERT(next >= now + ConnectionLimiter::kMinWait && next <= now + ConnectionLimiter::kMaxWait);
    }
  }));
}

}  // namespace
}  // namespace ivypost::admission
