// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "health_reports/attempt_history.h"

namespace ivypost::health_reports {

void AttemptHistory::record(Outcome outcome, Duration sinceSent, TimePoint now) {
  if (attempts_.size() == kCapacity) attempts_.erase(attempts_.begin());
  attempts_.push_back({now, outcome});
  lastAttempt_ = now;
  if (outcome == Outcome::Succeeded) lastSuccess_ = now;
  isUnresponsive_ = outcome == Outcome::Unanswered && (!lastSuccess_ || *lastSuccess_ < now - sinceSent);
}

AttemptHistory::Assessment AttemptHistory::assess(TimePoint now) const {
  const Counts counts = countSince(now - kWindow);
  Assessment assessment;
  assessment.status = statusOf(counts);
  assessment.attempts = counts.attempts;
  assessment.failures = counts.failures;
  assessment.age = now - lastAttempt_;
  return assessment;
}

AttemptHistory::Counts AttemptHistory::countSince(TimePoint start) const {
  Counts counts;
  for (const Ended& attempt : attempts_) {
    if (attempt.endedAt < start) continue;
    ++counts.attempts;
    if (attempt.outcome == Outcome::Succeeded) {
      ++counts.successesInRow;
      continue;
    }
    ++counts.failures;
    counts.successesInRow = 0;
    if (attempt.outcome == Outcome::Unanswered) ++counts.unanswered;
  }
  return counts;
}

HealthStatus AttemptHistory::statusOf(const Counts& counts) const {
  if (isUnresponsive_ && counts.attempts > 0) return HealthStatus::Unresponsive;
  const bool mostFailed = counts.failures >= kMinFailures && 2 * counts.failures > counts.attempts;
  if (!mostFailed || counts.successesInRow >= kRecoverySuccesses) return HealthStatus::Healthy;
  const bool mostUnanswered = 2 * counts.unanswered > counts.failures;
  return mostUnanswered ? HealthStatus::Unresponsive : HealthStatus::Failing;
}

}  // namespace ivypost::health_reports
