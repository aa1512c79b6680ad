// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_TABLE_H_
#define IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

#include "health_reports/attempt_history.h"
#include "health_reports/health_report.h"

namespace ivypost::health_reports {

/// The maximum number of incarnations with an attempt history. Beyond it the history with the oldest last
/// attempt is dropped.
constexpr std::size_t kMaxIncarnations = 512;
/// The maximum number of reports on one incarnation, one per reporter. Beyond it other sidecars' reports are
/// rejected.
constexpr std::size_t kMaxReportersPerIncarnation = 16;
/// The maximum number of reports by one other sidecar, so that a sidecar with wrong reports can fill only a
/// small part of the table. Its further reports are rejected.
constexpr std::size_t kMaxReportsPerReporter = kMaxIncarnations / 4;
/// The maximum number of reports in a table. Beyond it other sidecars' reports are rejected; this sidecar's
/// are always stored.
constexpr std::size_t kMaxReports = kMaxIncarnations * kMaxReportersPerIncarnation;

/// The result of merging received bytes.
enum class ReceiveResult : std::uint8_t {
  Unchanged,  ///< no report added a reporter or changed a reporter's status
  Changed,    ///< at least one report did
  Malformed,  ///< some bytes could not be decoded; the reports before them were merged
};

/// The health reports that this sidecar has made and received. No I/O; time is a parameter.
///
/// Invariant: a report is valid for kTimeToLive at the most after the last attempt that it is based on, by an
/// elapsed time that is never underestimated; only for its own incarnation; and only while its reporter is
/// reachable. The table is bounded, whatever is received. The merge is commutative, associative and
/// idempotent: of one reporter's reports on one incarnation the one with the highest version is kept, and of
/// equal versions the greatest age. Clocks: the age is measured by the reporter's clock until the report is
/// first sent, by each forwarder's while it is stored there, and by the receiver's from before it requested
/// the report. So delays make a report older, never younger. If a sidecar receives nothing for kTimeToLive,
/// the reports of all others have expired and only its own remain.
class HealthReportTable {
 public:
  /// Returns whether a sidecar is reachable.
  using IsReachable = std::function<bool(PeerId)>;
  /// Returns whether an incarnation is in an endpoint list.
  using IsListed = std::function<bool(const Incarnation&)>;

  /// `self`: this sidecar. `version`: higher than all versions sent before a restart, which Unix time in
  /// microseconds satisfies. If it is lower, because the wall clock was set back, the table raises its
  /// version above the earlier ones as soon as it receives them.
  HealthReportTable(PeerId self, std::uint64_t version) : self_(self), version_(version) {}

  /// Records this sidecar's attempt that ended at `now`, `sinceSent` after it was sent, and updates this
  /// sidecar's report if needed. True if this sidecar's status for the incarnation has changed.
  bool recordAttempt(const Incarnation& incarnation, AttemptHistory::Outcome outcome, Duration sinceSent,
                     TimePoint now);

  /// Merges reports encoded by encodeNext(). `delay`: an upper bound for the time that they were in transit.
  ReceiveResult receive(std::span<const std::uint8_t> bytes, Duration delay, TimePoint now);
  /// Merges one report, with `delay` added to its age. True if the table had no report of this reporter on
  /// this incarnation, or if the report replaces one with another status.
  bool merge(const HealthReport& report, Duration delay, TimePoint now);

  /// Encodes the next reports to send, in `maxBytes` at the most: recently changed ones first, then the
  /// others in round-robin order. Counts them as sent.
  std::vector<std::uint8_t> encodeNext(std::size_t maxBytes, TimePoint now);
  /// Sets the number of transmissions per change, which grows logarithmically with the number of sidecars, as
  /// for membership changes.
  void setFleetSize(std::size_t sidecars);

  /// The reports of other reachable sidecars on one incarnation, aggregated.
  struct Summary {
    std::uint32_t unhealthy = 0;  ///< number of reporters with status Failing or Unresponsive
    std::uint32_t healthy = 0;    ///< reporters with status Healthy by an attempt after all unhealthy reports
    std::uint32_t attempts = 0;   ///< attempts in the unhealthy reports
    std::uint32_t failures = 0;   ///< failures in the unhealthy reports
    Duration age{};               ///< age of the youngest unhealthy report
  };
  /// Aggregates the valid reports of other sidecars.
  [[nodiscard]] Summary summarize(const Incarnation& incarnation, const IsReachable& isReachable,
                                  TimePoint now) const;
  /// Removes reports that are no longer valid, and attempt histories too old for a valid report.
  void removeStale(const IsListed& isListed, const IsReachable& isReachable, TimePoint now);

  /// All reports within their time to live, this sidecar's own included, sorted by incarnation and reporter.
  [[nodiscard]] std::vector<HealthReport> reports(TimePoint now) const;
  /// The incarnations with at least one report, sorted and unique.
  [[nodiscard]] std::vector<Incarnation> incarnations() const;
  /// The number of reports in the table: kMaxReports at the most, plus this sidecar's own.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Key {
    Incarnation incarnation;
    PeerId reporter = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the checker mistakes the comparison with a literal 0.
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    std::uint64_t version = 0;
    HealthStatus status = HealthStatus::Healthy;
    std::uint16_t attempts = 0;
    std::uint16_t failures = 0;
    TimePoint observedAt;  // never later than the last attempt that the report is based on
    std::uint32_t transmissionsLeft = 0;
  };
  using Entries = std::map<Key, Entry>;

  AttemptHistory& historyOf(const Incarnation& incarnation);
  void exceedVersion(std::uint64_t version);
  [[nodiscard]] Entry entryOf(const HealthReport& report, TimePoint observedAt) const;
  [[nodiscard]] bool hasRoom(const Key& key) const;
  [[nodiscard]] std::size_t reporterCount(const Incarnation& incarnation) const;
  [[nodiscard]] std::size_t reportCountOf(PeerId reporter) const;
  std::vector<Entries::iterator> selectForTransmission(std::size_t maxCount);
  std::vector<Entries::iterator> selectChanged(std::size_t maxCount);

  PeerId self_;
  std::uint64_t version_;
  std::uint32_t transmissions_ = 4;  // value until setFleetSize() is called
  Entries entries_;
  std::map<Incarnation, AttemptHistory> histories_;
  Key lastSent_;
};

}  // namespace ivypost::health_reports

#endif  // IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_TABLE_H_
