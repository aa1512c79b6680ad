// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "health_reports/attempt_history.h"

#include <gtest/gtest.h>

#include <vector>

namespace ivypost::health_reports {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

TEST(AttemptHistory, NeedsSeveralFailuresAndMoreThanHalf) {
  using enum AttemptHistory::Outcome;
  const struct {
    std::vector<AttemptHistory::Outcome> outcomes;
    HealthStatus status;
  } rows[] = {{{Succeeded}, HealthStatus::Healthy},
              {{Failed}, HealthStatus::Healthy},
              {{Failed, Failed}, HealthStatus::Failing},
              {{Unanswered}, HealthStatus::Unresponsive},
              {{Succeeded, Unanswered}, HealthStatus::Unresponsive},
              {{Unanswered, Succeeded}, HealthStatus::Healthy},
              {{Unanswered, Unanswered}, HealthStatus::Unresponsive},
              {{Unanswered, Failed}, HealthStatus::Failing},
              {{Failed, Failed, Succeeded}, HealthStatus::Failing},
              {{Failed, Failed, Failed, Failed, Succeeded, Succeeded, Succeeded}, HealthStatus::Healthy},
              {{Succeeded, Succeeded, Succeeded, Failed, Failed}, HealthStatus::Healthy},
              {{Succeeded, Failed, Failed}, HealthStatus::Failing}};
  for (const auto& row : rows) {
    AttemptHistory history;
    TimePoint now = kStart;
    for (const auto outcome : row.outcomes) history.record(outcome, 500us, now += 1ms);
    EXPECT_EQ(history.assess(now).status, row.status) << &row - rows;
    EXPECT_EQ(history.assess(now).attempts, row.outcomes.size());
    EXPECT_EQ(history.assess(now + AttemptHistory::kWindow + 1ms).attempts, 0) << "outside of the window";
  }
  AttemptHistory history;
  for (std::size_t n = 0; n < 3 * AttemptHistory::kCapacity; ++n) history.record(Failed, 500us, kStart);
  EXPECT_EQ(history.assess(kStart).attempts, AttemptHistory::kCapacity);
}

// An endpoint that served another attempt after this one was sent is not unresponsive: only this attempt was
// slow.
TEST(AttemptHistory, IsNotUnresponsiveAfterASuccessSinceTheAttemptWasSent) {
  for (const Duration lag : {900ms, 1100ms}) {
    AttemptHistory history;
    history.record(AttemptHistory::Outcome::Succeeded, 500us, kStart);
    history.record(AttemptHistory::Outcome::Unanswered, lag, kStart + 1s);
    EXPECT_EQ(history.assess(kStart + 1s).status,
              lag < 1s ? HealthStatus::Unresponsive : HealthStatus::Healthy);
  }
}

}  // namespace
}  // namespace ivypost::health_reports
