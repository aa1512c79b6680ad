// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Simulates a metastable overload: a core that answers 1,000 requests per second, and clients that send 700
// per second and immediately retry rejected or timed-out requests up to three times. A short fault fills the
// queue; after it, retries keep the queue full unless the sidecar limits the requests that its core works on
// (Bronson et al., "Metastable Failures in Distributed Systems", HotOS 2021).
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include "admission/admission_queue.h"

namespace ivypost::admission {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kResponseCost = 1'000;  // processor time of a forwarded request
constexpr Micros kRejectionCost = 125;  // processor time of a rejection: an eighth, as in AdmissionController
constexpr Micros kClientTimeout = 250'000;  // the time that a client waits for one attempt
constexpr int kMaxAttempts = 4;
constexpr double kUsualRate = 700;  // first attempts per second

enum class Cause { Burst, Pause, Slow };
enum class Order { InOrderOfArrival, Queued };

class Simulation {
 public:
  Simulation(Order order, Cause cause)
      : order_(order), cause_(cause), queue_(AdmissionQueueSettings{}, {5, 2}) {}

  // Runs until `end`. Returns, for each second, how many of the requests first sent in it were finally served
  // by the deadline of an attempt.
  std::vector<int> run(Micros end) {
    served_.assign(static_cast<std::size_t>(end / kSecond) + 1, 0);
    at(0, [this] { firstAttempt(); });
    while (!events_.empty() && std::get<0>(events_.top()) < end) {
      const auto [when, number] = events_.top();
      events_.pop();
      now_ = when;
      const auto action = std::move(actions_.at(number));
      actions_.erase(number);
      action();
    }
    return served_;
  }

  static constexpr Micros kFrom = 3 * kSecond, kTo = 5 * kSecond;  // the period of the fault

 private:
  struct Attempt {
    Micros firstAt = 0;
    int number = 1;
    Micros deadline = 0;
  };

  bool isFaulty() const { return now_ >= kFrom && now_ < kTo; }

  void at(Micros when, std::function<void()> action) {
    events_.emplace(when, lastEvent_);
    actions_.emplace(lastEvent_++, std::move(action));
  }

  void firstAttempt() {
    const double rate = kUsualRate * (cause_ == Cause::Burst && isFaulty() ? 5 : 1);
    std::exponential_distribution<double> gap(rate / static_cast<double>(kSecond));
    at(now_ + 1 + static_cast<Micros>(gap(random_)), [this] { firstAttempt(); });
    arrive({now_, 1, 0});
  }

  void arrive(Attempt one) {
    one.deadline = now_ + kClientTimeout;
    const RequestId id = ++lastId_;
    open_.emplace(id, one);
    at(one.deadline, [this, id] { retry(id); });
    if (order_ == Order::InOrderOfArrival) {
      arrivals_.push_back(id);
    } else {
      const auto requestClass = static_cast<std::uint32_t>(id % 3 == 0 ? 1 : 0);
      if (const auto tooMany = queue_.push({id, requestClass, {}, false, now_, one.deadline}, now_))
        spend(kRejectionCost, [this, rejected = tooMany->id] { retry(rejected); });
    }
    serveNext();
  }

  // The attempt was rejected or has timed out: the client retries at once.
  void retry(RequestId id) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    Attempt one = found->second;
    open_.erase(found);
    if (++one.number <= kMaxAttempts) arrive(one);
  }

  void spend(Micros span, std::function<void()> then) {
    Micros from = std::max(now_, busyUntil_);
    if (cause_ == Cause::Pause && from >= kFrom && from < kTo) from = kTo;
    if (cause_ == Cause::Slow && from >= kFrom && from < kTo) span *= 3;
    busyUntil_ = from + span;
    at(busyUntil_, [this, then = std::move(then)] {
      then();
      serveNext();
    });
  }

  // Serves the next request if the core is free.
  void serveNext() {
    if (busyUntil_ > now_) return;
    if (order_ == Order::InOrderOfArrival) {
      if (arrivals_.empty()) return;
      const RequestId id = arrivals_.front();
      arrivals_.pop_front();
      spend(kResponseCost, [this, id] { onResponse(id); });
      return;
    }
    const auto next = queue_.next(now_);
    if (!next) return;
    const RequestId id = next->id;
    if (next->outcome == Outcome::Forward) {
      spend(kResponseCost, [this, id] { onResponse(id); });
    } else {
      spend(kRejectionCost, [this, id] { retry(id); });
    }
  }

  void onResponse(RequestId id) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;  // its client has timed out
    ++served_.at(static_cast<std::size_t>(found->second.firstAt / kSecond));
    open_.erase(found);
  }

  const Order order_;
  const Cause cause_;
  std::mt19937_64 random_{20261201};
  Micros now_ = 0, busyUntil_ = 0;
  RequestId lastId_ = 0;
  AdmissionQueue queue_;
  std::deque<RequestId> arrivals_;
  std::map<RequestId, Attempt> open_;
  std::vector<int> served_;
  using Event = std::pair<Micros, std::uint64_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::uint64_t, std::function<void()>> actions_;
  std::uint64_t lastEvent_ = 0;
};

class MetastableOverloadTest : public testing::TestWithParam<Cause> {};

TEST_P(MetastableOverloadTest, EndsWithin5SecondsOfItsCause) {
  const auto served = Simulation(Order::Queued, GetParam()).run(20 * kSecond);
  for (std::size_t second = 1; second < 3; ++second) EXPECT_GE(served[second], 0.9 * kUsualRate) << second;
  for (std::size_t second = 10; second < 19; ++second) EXPECT_GE(served[second], 0.9 * kUsualRate) << second;
}

// Shows that the simulated overload is metastable: if it serves requests in the order of arrival, the core
// keeps working on requests whose clients have timed out.
TEST_P(MetastableOverloadTest, PersistsWithoutTheQueue) {
  const auto served = Simulation(Order::InOrderOfArrival, GetParam()).run(20 * kSecond);
  for (std::size_t second = 1; second < 3; ++second) EXPECT_GE(served[second], 0.9 * kUsualRate) << second;
  for (std::size_t second = 10; second < 19; ++second) EXPECT_LE(served[second], 0.1 * kUsualRate) << second;
}

INSTANTIATE_TEST_SUITE_P(Causes, MetastableOverloadTest,
                         testing::Values(Cause::Burst, Cause::Pause, Cause::Slow));

}  // namespace
}  // namespace ivypost::admission
