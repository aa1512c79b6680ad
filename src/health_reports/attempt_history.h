// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_HEALTH_REPORTS_ATTEMPT_HISTORY_H_
#define IVYPOST_HEALTH_REPORTS_ATTEMPT_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "health_reports/health_report.h"

namespace ivypost::health_reports {

/// The outcomes of this sidecar's latest attempts at one incarnation of an endpoint, and the health status
/// derived from them. No I/O; time is a parameter.
class AttemptHistory {
 public:
  /// Outcomes older than this are ignored.
  static constexpr Duration kWindow = std::chrono::seconds(5);
  /// The maximum number of outcomes kept; beyond it the oldest is dropped.
  static constexpr std::size_t kCapacity = 16;
  /// An endpoint is unhealthy when at least this many attempts, and more than half of all, have failed, so
  /// that a single chance failure is not enough. One unanswered attempt is enough if no attempt has succeeded
  /// since it was sent, since such an attempt uses up the client's whole time limit.
  static constexpr std::uint16_t kMinFailures = 2;
  /// An endpoint is healthy again after this many successes in a row, whatever came before. An endpoint that
  /// fails four of five attempts succeeds three times in a row with a probability of 1 in 125.
  static constexpr std::uint16_t kRecoverySuccesses = 3;

  /// How an attempt ended.
  enum class Outcome : std::uint8_t {
    Succeeded,   ///< a complete answer that is not an error
    Failed,      ///< an error, or a connection that failed or was refused
    Unanswered,  ///< no answer before the time-out
  };
  /// The endpoint's health by the attempts within the window.
  struct Assessment {
    HealthStatus status = HealthStatus::Healthy;  ///< Healthy if there are no attempts
    std::uint16_t attempts = 0;                   ///< number of attempts
    std::uint16_t failures = 0;                   ///< number of them that failed or were unanswered
    Duration age{};                               ///< time since the last attempt ended
  };

  /// Records an attempt that ended at `now`, `sinceSent` after it was sent.
  void record(Outcome outcome, Duration sinceSent, TimePoint now);
  /// The endpoint's health at `now`.
  [[nodiscard]] Assessment assess(TimePoint now) const;
  /// When the last attempt was recorded.
  [[nodiscard]] TimePoint lastAttempt() const { return lastAttempt_; }

 private:
  struct Ended {
    TimePoint endedAt;
    Outcome outcome = Outcome::Succeeded;
  };
  struct Counts {
    std::uint16_t attempts = 0;
    std::uint16_t failures = 0;
    std::uint16_t unanswered = 0;
    std::uint16_t successesInRow = 0;
  };
  [[nodiscard]] Counts countSince(TimePoint start) const;
  [[nodiscard]] HealthStatus statusOf(const Counts& counts) const;

  std::vector<Ended> attempts_;
  TimePoint lastAttempt_;
  std::optional<TimePoint> lastSuccess_;
  // Whether the last attempt was unanswered and none has succeeded since it was sent.
  bool isUnresponsive_ = false;
};

}  // namespace ivypost::health_reports

#endif  // IVYPOST_HEALTH_REPORTS_ATTEMPT_HISTORY_H_
