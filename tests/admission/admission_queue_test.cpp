// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace ivypost::admission {
namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kFarDeadline = 1'000'000'000;

// Class 1 has the highest priority: the priority of a class does not follow from its position in the
// settings; an example is reserva-sala.
const std::vector<double> kPriorityWeights = {2, 5, 1};

QueuedRequest request(RequestId id, std::uint32_t requestClass, Micros arrived, bool beyond = false,
                      std::optional<std::uint32_t> tenant = std::nullopt, Micros deadline = kFarDeadline) {
  return {id, requestClass, tenant, beyond, arrived, deadline};
}

std::vector<RequestId> forwarded(AdmissionQueue& queue, Micros now) {
  std::vector<RequestId> ids;
  while (const auto decision = queue.next(now)) {
    if (decision->outcome == Outcome::Forward) ids.push_back(decision->id);
  }
  return ids;
}

TEST(AdmissionQueue, ForwardsInTheOrderOfArrivalWhileTheCoreKeepsUp) {
  AdmissionQueue queue({}, kPriorityWeights);
  // The requests are pushed in an order that differs from their order of arrival.
  queue.push(request(1, 0, 30), 100);
  queue.push(request(2, 1, 20, true), 100);
  queue.push(request(3, 2, 10), 100);
  EXPECT_FALSE(queue.isOverloaded(100));
  EXPECT_EQ(forwarded(queue, 100), (std::vector<RequestId>{3, 2, 1}));
  EXPECT_EQ(queue.next(100), std::nullopt);
}

TEST(AdmissionQueue, ForwardsByPriorityWhenThatIsSet) {
  AdmissionQueue queue({}, kPriorityWeights);
  queue.setPriorityOrder(true);
  queue.push(request(1, 2, 0), 0);
  queue.push(request(2, 1, 1, true), 0);
  queue.push(request(3, 0, 2), 0);
  queue.push(request(4, 1, 3), 0);
  queue.push(request(5, 1, 4), 0);
  // Requests within their tenant's quota come first, by priority and then in the order of arrival; requests
  // beyond it follow.
  EXPECT_EQ(forwarded(queue, 5), (std::vector<RequestId>{4, 5, 3, 1, 2}));
}

// A queue that has not been empty for the interval is overloaded: the latest request is served first, and
// requests that have waited longer than targetDelay are rejected. In the lane of the highest priority,
// requests are rejected only if they have waited longer than the interval.
TEST(AdmissionQueue, IsOverloadedWhenItWasNotEmptyForTheInterval) {
  const AdmissionQueueSettings settings;
  AdmissionQueue queue(settings, kPriorityWeights);
  queue.push(request(1, 1, 0), 0);
  EXPECT_FALSE(queue.isOverloaded(settings.interval - 1));
  EXPECT_TRUE(queue.isOverloaded(settings.interval));
  queue.push(request(2, 1, settings.interval - 1), settings.interval);
  queue.push(request(3, 0, settings.interval - settings.targetDelay - 1), settings.interval);
  queue.push(request(4, 0, settings.interval - settings.targetDelay), settings.interval);
  EXPECT_EQ(queue.next(settings.interval)->id, 3u);  // rejected
  EXPECT_EQ(forwarded(queue, settings.interval), (std::vector<RequestId>{2, 1, 4}));
  // The queue was empty in between, which ends the overload.
  queue.push(request(5, 0, settings.interval), settings.interval + 1);
  EXPECT_FALSE(queue.isOverloaded(settings.interval + 1));
}

TEST(AdmissionQueue, RejectsTheHighestPriorityOnlyAfterTheInterval) {
  const AdmissionQueueSettings settings;
  AdmissionQueue queue(settings, kPriorityWeights);
  queue.push(request(1, 1, 0), 0);
  queue.push(request(2, 1, 1), 1);
  const auto rejected = queue.next(settings.interval + 1);
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->id, 1u);
  EXPECT_EQ(rejected->outcome, Outcome::Overload);
  EXPECT_EQ(queue.next(settings.interval + 1)->outcome, Outcome::Forward);
}

TEST(AdmissionQueue, RejectsAtOnceWhatHasTooLittleTimeLeft) {
  const AdmissionQueueSettings settings;
  AdmissionQueue queue(settings, kPriorityWeights);
  queue.push(request(1, 1, 0, false, std::nullopt, 100 * kMillisecond), 0);
  queue.push(request(2, 1, 1, false, std::nullopt, 100 * kMillisecond), 0);
  EXPECT_EQ(queue.next(100 * kMillisecond - settings.minRemainingTime)->outcome, Outcome::Forward);
  EXPECT_EQ(queue.next(100 * kMillisecond - settings.minRemainingTime + 1)->outcome, Outcome::TooLate);
}

TEST(AdmissionQueue, IsBoundedAndRejectsTheLowestPriority) {
  AdmissionQueueSettings settings;
  settings.maxRequests = 4;
  settings.maxTenantFraction = 1;
  AdmissionQueue queue(settings, kPriorityWeights);
  EXPECT_FALSE(queue.push(request(1, 0, 0), 0));
  EXPECT_FALSE(queue.push(request(2, 1, 0, true), 0));
  EXPECT_FALSE(queue.push(request(3, 2, 0), 0));
  EXPECT_FALSE(queue.push(request(4, 1, 0), 0));
  const auto expect = [&](RequestId pushed, std::uint32_t requestClass, RequestId rejected) {
    const auto decision = queue.push(request(pushed, requestClass, pushed), 0);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->id, rejected);
    EXPECT_EQ(decision->outcome, Outcome::QueueFull);
    EXPECT_EQ(queue.size(), 4u);
  };
  expect(5, 1, 2);  // request 2 is beyond its tenant's quota, which outweighs its class
  expect(6, 1, 3);
  expect(7, 1, 1);
  expect(8, 2, 8);  // the pushed request itself is rejected
  EXPECT_EQ(queue.evict()->id, 4u);
  EXPECT_EQ(queue.size(), 3u);
}

TEST(AdmissionQueue, BoundsTheFractionOfOneTenant) {
  AdmissionQueueSettings settings;
  settings.maxRequests = 10;
  settings.maxTenantFraction = 0.3;
  AdmissionQueue queue(settings, kPriorityWeights);
  queue.push(request(1, 0, 0, false, 8), 0);
  for (RequestId id = 2; id <= 4; ++id) EXPECT_FALSE(queue.push(request(id, 1, 1, false, 7), 0));
  const auto rejected = queue.push(request(5, 2, 1, false, 7), 0);
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->id, 5u);
  EXPECT_EQ(rejected->outcome, Outcome::TenantFull);
  // Withdrawing one of the tenant's requests frees capacity.
  EXPECT_TRUE(queue.withdraw(2));
  EXPECT_FALSE(queue.withdraw(2));
  EXPECT_FALSE(queue.push(request(6, 2, 1, false, 7), 0));
}

// With strict priority, a steady supply of requests of higher priority would starve the lower ones.
TEST(AdmissionQueue, StarvesNoClass) {
  AdmissionQueue queue({}, kPriorityWeights);
  queue.setPriorityOrder(true);
  std::map<std::uint32_t, int> turns;
  RequestId id = 0;
  std::map<RequestId, std::uint32_t> classOf;
  for (std::uint32_t requestClass : {0u, 2u}) {
    for (int n = 0; n < 50; ++n) {
      classOf[++id] = requestClass;
      queue.push(request(id, requestClass, 0), 0);
    }
  }
  for (int n = 0; n < 160; ++n) {
    classOf[++id] = 1;
    queue.push(request(id, 1, 0), 0);
    const auto decision = queue.next(0);
    ASSERT_EQ(decision->outcome, Outcome::Forward);
    ++turns[classOf[decision->id]];
  }
  EXPECT_EQ(turns[1], 140);
  EXPECT_EQ(turns[0], 10);
  EXPECT_EQ(turns[2], 10);
}

// Overload by a factor of four must hardly affect the class of the highest priority. Simulated clock; one
// request arrives per millisecond, a fifth of the requests belong to that class, and the core can take a
// quarter of them.
TEST(AdmissionQueue, FavoursTheHighestPriorityUnderOverload) {
  AdmissionQueue queue({}, kPriorityWeights);
  std::map<RequestId, std::uint32_t> classOf;
  std::map<std::uint32_t, int> arrivedCount, served;
  RequestId id = 0;
  Micros waited = 0;
  std::map<RequestId, Micros> arrived;
  for (Micros now = 0; now < 10'000 * kMillisecond; now += kMillisecond) {
    const std::uint32_t requestClass =
        id % 5 == 0 ? 1 : 0;  // 200 per second of the highest priority, 800 of another class
    classOf[++id] = requestClass;
    arrived[id] = now;
    ++arrivedCount[requestClass];
    queue.push(request(id, requestClass, now, false, std::nullopt, now + 500 * kMillisecond), now);
    if (now % (4 * kMillisecond) != 0) continue;  // 250 per second are forwarded
    while (const auto decision = queue.next(now)) {
      if (decision->outcome != Outcome::Forward) continue;
      ++served[classOf[decision->id]];
      waited = std::max(waited, now - arrived[decision->id]);
      break;
    }
  }
  EXPECT_GE(served[1], arrivedCount[1] * 95 / 100);
  EXPECT_GE(served[0], 250);  // an eighth of the turns, of which there are 2,500
  EXPECT_LE(waited, AdmissionQueueSettings{}.interval);
}

// For random sequences of calls: each request gets exactly one decision or is withdrawn, the bounds hold, and
// the queue ends empty.
TEST(AdmissionQueueProperty, EachRequestGetsExactlyOneDecision) {
  EXPECT_TRUE(rc::check("one decision each", [] {
    AdmissionQueueSettings settings;
    settings.maxRequests = 6;
    settings.maxTenantFraction = 0.5;
    AdmissionQueue queue(settings, kPriorityWeights);
    std::set<RequestId> waiting;
    RequestId last = 0;
    Micros now = 0;
    const auto decided = [&](const std::optional<Decision>& decision) {
      if (!decision) return;
      RC_ASSERT(waiting.erase(decision->id) == 1u);
    };
    for (const auto& [what, requestClass, tenant, pause] :
         *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
             rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
                            rc::gen::inRange(0, 90'000)))) {
      now += pause;
      if (what <= 2) {
        waiting.insert(++last);
        decided(queue.push(request(last, static_cast<std::uint32_t>(requestClass), now - pause / 2,
                                   tenant == 2, static_cast<std::uint32_t>(tenant), now + 3 * pause),
                           now));
      } else if (what == 3 && !waiting.empty()) {
        const RequestId id = *waiting.begin();
        RC_ASSERT(queue.withdraw(id));
        waiting.erase(id);
      } else if (what == 4) {
        decided(queue.evict());
      } else {
        decided(queue.next(now));
      }
      queue.setPriorityOrder(pause % 2 == 0);
      RC_ASSERT(queue.size() == waiting.size() && queue.size() <= settings.maxRequests);
    }
    while (const auto decision = queue.next(now)) decided(decision);
    RC_ASSERT(waiting.empty());
  }));
}

}  // namespace
}  // namespace ivypost::admission
