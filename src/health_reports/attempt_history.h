// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_HEALTH_REPORTS_ATTEMPT_HISTORY_H_
#define IVYPOST_HEALTH_REPORTS_ATTEMPT_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "health_reports/health_report.h"

namespace ivypost::health_reports {

/// The outcomes of this sidecar's last attempts at one incarnation of an endpoint, and the status that they
/// show. No I/O and no clock.
class AttemptHistory {
 public:
  /// Older outcomes do not count.
  static constexpr Duration kWindow = std::chrono::seconds(5);
  /// Of outcomes that are kept; the oldest one is forgotten beyond it.
  static constexpr std::size_t kCapacity = 16;
  /// An endpoint is unhealthy when so many attempts, and more than half of all, have failed: chance and one
  /// bad moment do not make it so. One unanswered attempt is enough where none has succeeded since it was
  /// sent, since it took the client's whole time.
  static constexpr std::uint16_t kMinFailures = 2;
  /// It is healthy again after so many successes in a row, whatever was before. An endpoint that fails four
  /// attempts in five succeeds three times in a row once in 125 times.
  static constexpr std::uint16_t kRecoverySuccesses = 3;

  /// How an attempt ended.
  enum class Outcome : std::uint8_t {
    Succeeded,   ///< a complete answer that is no error
    Failed,      ///< an error, or a connection that broke or was not made
    Unanswered,  ///< no answer within its time
  };
  /// What the attempts within the window show.
  struct Assessment {
    HealthStatus status = HealthStatus::Healthy;  ///< Healthy if there are none
    std::uint16_t attempts = 0;                   ///< how many there are
    std::uint16_t failures = 0;                   ///< how many of them failed or were unanswered
    Duration age{};                               ///< elapsed since the last attempt ended
  };

  /// An attempt has ended at `now`, so long after it was sent.
  void record(Outcome outcome, Duration sinceSent, TimePoint now);
  /// The endpoint's status by what was recorded.
  [[nodiscard]] Assessment assess(TimePoint now) const;
  /// When an attempt was recorded last.
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
  // No attempt has succeeded since one was sent that is unanswered.
  bool isUnresponsive_ = false;
};

}  // namespace ivypost::health_reports

#endif  // IVYPOST_HEALTH_REPORTS_ATTEMPT_HISTORY_H_
