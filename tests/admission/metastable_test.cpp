// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A metastable overload, in made-up time: a core that answers 1,000 requests a second, and clients who send
// 700 a second and repeat whatever is refused or not answered in time, at once, up to three times. A short
// cause fills the queue; from then on it is the repeats that keep it full, unless the sidecar takes care what
// it spends its core on (Bronson et al., "Metastable Failures in Distributed Systems", HotOS 2021).
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include "admission/queue.h"

namespace ivypost::admission {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kAnswer = 1'000;      // of the core, for a request that is handed on
constexpr Micros kRefusal = 125;       // for a refusal: an eighth, as the gate counts it
constexpr Micros kPatience = 250'000;  // of a client for one try
constexpr int kTries = 4;
constexpr double kCalm = 700;  // first tries a second

enum class Cause { Burst, Pause, Slow };
enum class Order { AsTheyCame, Queued };

class Play {
 public:
  Play(Order order, Cause cause) : order_(order), cause_(cause), queue_(QueueSettings{}, {5, 2}) {}

  // Runs until `end`; tells how many first tries of each second were served in the end, within patience.
  std::vector<int> run(Micros end) {
    served_.assign(static_cast<std::size_t>(end / kSecond) + 1, 0);
    at(0, [this] { firstTry(); });
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

  static constexpr Micros kFrom = 3 * kSecond, kTo = 5 * kSecond;  // of the cause

 private:
  struct Try {
    Micros firstAt = 0;
    int number = 1;
    Micros deadline = 0;
  };

  bool troubled() const { return now_ >= kFrom && now_ < kTo; }

  void at(Micros when, std::function<void()> action) {
    events_.emplace(when, lastEvent_);
    actions_.emplace(lastEvent_++, std::move(action));
  }

  void firstTry() {
    const double rate = kCalm * (cause_ == Cause::Burst && troubled() ? 5 : 1);
    std::exponential_distribution<double> gap(rate / static_cast<double>(kSecond));
    at(now_ + 1 + static_cast<Micros>(gap(random_)), [this] { firstTry(); });
    come({now_, 1, 0});
  }

  void come(Try one) {
    one.deadline = now_ + kPatience;
    const RequestId id = ++lastId_;
    open_.emplace(id, one);
    at(one.deadline, [this, id] { again(id); });
    if (order_ == Order::AsTheyCame) {
      line_.push_back(id);
    } else {
      const auto requestClass = static_cast<std::uint32_t>(id % 3 == 0 ? 1 : 0);
      if (const auto tooMany = queue_.push({id, requestClass, {}, false, now_, one.deadline}, now_))
        spend(kRefusal, [this, refused = tooMany->id] { again(refused); });
    }
    work();
  }

  // Refused, or out of patience: the client repeats itself at once.
  void again(RequestId id) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    Try one = found->second;
    open_.erase(found);
    if (++one.number <= kTries) come(one);
  }

  void spend(Micros span, std::function<void()> then) {
    Micros from = std::max(now_, busyUntil_);
    if (cause_ == Cause::Pause && from >= kFrom && from < kTo) from = kTo;
    if (cause_ == Cause::Slow && from >= kFrom && from < kTo) span *= 3;
    busyUntil_ = from + span;
    at(busyUntil_, [this, then = std::move(then)] {
      then();
      work();
    });
  }

  // Whenever the core is free, the next one.
  void work() {
    if (busyUntil_ > now_) return;
    if (order_ == Order::AsTheyCame) {
      if (line_.empty()) return;
      const RequestId id = line_.front();
      line_.pop_front();
      spend(kAnswer, [this, id] { answered(id); });
      return;
    }
    const auto next = queue_.next(now_);
    if (!next) return;
    const RequestId id = next->id;
    if (next->verdict == Verdict::HandOn) {
      spend(kAnswer, [this, id] { answered(id); });
    } else {
      spend(kRefusal, [this, id] { again(id); });
    }
  }

  void answered(RequestId id) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;  // its client has given up
    ++served_.at(static_cast<std::size_t>(found->second.firstAt / kSecond));
    open_.erase(found);
  }

  const Order order_;
  const Cause cause_;
  std::mt19937_64 random_{20261201};
  Micros now_ = 0, busyUntil_ = 0;
  RequestId lastId_ = 0;
  Queue queue_;
  std::deque<RequestId> line_;
  std::map<RequestId, Try> open_;
  std::vector<int> served_;
  using Event = std::pair<Micros, std::uint64_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::uint64_t, std::function<void()>> actions_;
  std::uint64_t lastEvent_ = 0;
};

class MetastableTest : public testing::TestWithParam<Cause> {};

TEST_P(MetastableTest, IsOverWithin5SecondsOfItsCause) {
  const auto served = Play(Order::Queued, GetParam()).run(20 * kSecond);
  for (std::size_t second = 1; second < 3; ++second) EXPECT_GE(served[second], 0.9 * kCalm) << second;
  for (std::size_t second = 10; second < 19; ++second) EXPECT_GE(served[second], 0.9 * kCalm) << second;
}

// Shows that it is one: in the order in which they came, the core works for clients who have given up.
TEST_P(MetastableTest, WithoutTheQueueItStays) {
  const auto served = Play(Order::AsTheyCame, GetParam()).run(20 * kSecond);
  for (std::size_t second = 1; second < 3; ++second) EXPECT_GE(served[second], 0.9 * kCalm) << second;
  for (std::size_t second = 10; second < 19; ++second) EXPECT_LE(served[second], 0.1 * kCalm) << second;
}

INSTANTIATE_TEST_SUITE_P(Causes, MetastableTest, testing::Values(Cause::Burst, Cause::Pause, Cause::Slow));

}  // namespace
}  // namespace ivypost::admission
