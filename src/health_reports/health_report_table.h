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

/// Incarnations that a table keeps attempt histories of. Beyond it the one attempted longest ago is
/// forgotten.
constexpr std::size_t kMaxIncarnations = 512;
/// Reports of one incarnation, each by another sidecar. Other sidecars' are rejected beyond it.
constexpr std::size_t kMaxReportersPerIncarnation = 16;
/// Reports by one other sidecar, rejected beyond it: one that lies fills a small part of the table.
constexpr std::size_t kMaxReportsPerReporter = kMaxIncarnations / 4;
/// Reports in a table; other sidecars' are rejected beyond it, own ones are always taken.
constexpr std::size_t kMaxReports = kMaxIncarnations * kMaxReportersPerIncarnation;

/// What came of received bytes.
enum class ReceiveResult : std::uint8_t {
  Unchanged,  ///< no report is of a new reporter or has another status than the reporter's last
  Changed,    ///< at least one is or has
  Malformed,  ///< some bytes are no report; reports ahead of them were merged
};

/// The health reports that this sidecar has made and received. No I/O and no clock.
///
/// Invariant: a report is valid for kTimeToLive after the last attempt behind it at the most, by elapsed time
/// that is never taken for less than it was; for the incarnation that it was made of alone; and only while
/// its reporter is reachable. The table is bounded, whatever is received. The merge is commutative,
/// associative and idempotent: of one reporter's reports of one incarnation the highest version is valid, and
/// of one version the oldest age. Clocks: an age is by the reporter's clock until it is first sent, by each
/// forwarder's while it is kept there, and by the receiver's from before the receiver asked for it. So delays
/// make a report older, never younger. A sidecar that receives nothing has no reports but its own after
/// kTimeToLive.
class HealthReportTable {
 public:
  /// Says of a sidecar whether it is reachable.
  using IsReachable = std::function<bool(PeerId)>;
  /// Says of an incarnation whether an endpoint list has it.
  using IsListed = std::function<bool(const Incarnation&)>;

  /// `self`: this sidecar. `version`: higher than all that it sent before its restart, as Unix time in
  /// microseconds is. If it is not, since the wall clock was set back, the table exceeds the earlier versions
  /// as soon as it receives them.
  HealthReportTable(PeerId self, std::uint64_t version) : self_(self), version_(version) {}

  /// An own attempt has ended at `now`, so long after it was sent. Makes a report of what that changes; true
  /// if this sidecar's status for the incarnation is another one than before.
  bool recordAttempt(const Incarnation& incarnation, AttemptHistory::Outcome outcome, Duration sinceSent,
                     TimePoint now);

  /// Merges reports as encodeNext() writes them. `delay`: the longest that they can have been on their way.
  ReceiveResult receive(std::span<const std::uint8_t> bytes, Duration delay, TimePoint now);
  /// Merges one report, its age made older by `delay`. True if its reporter is new to the incarnation or has
  /// another status than before.
  bool merge(const HealthReport& report, Duration delay, TimePoint now);

  /// The next reports for one message, in `maxBytes` at the most: recently changed ones first, then the
  /// others in turn. Counts them as sent.
  std::vector<std::uint8_t> encodeNext(std::size_t maxBytes, TimePoint now);
  /// Sets how often a change is sent, from the number of sidecars: logarithmically, as membership changes
  /// are.
  void setFleetSize(std::size_t sidecars);

  /// What other reachable sidecars report of one incarnation.
  struct Summary {
    std::uint32_t unhealthy = 0;  ///< reporters that find it failing or unresponsive
    std::uint32_t healthy = 0;    ///< reporters that find it healthy by a later attempt than any of those
    std::uint32_t attempts = 0;   ///< behind the unhealthy reports
    std::uint32_t failures = 0;   ///< behind the unhealthy reports
    Duration age{};               ///< of the youngest unhealthy report
  };
  /// Sums up the valid reports of others.
  [[nodiscard]] Summary summarize(const Incarnation& incarnation, const IsReachable& isReachable,
                                  TimePoint now) const;
  /// Removes reports that are no longer valid, and histories that no report can come of.
  void removeStale(const IsListed& isListed, const IsReachable& isReachable, TimePoint now);

  /// All reports within their time to live, this sidecar's own too, by incarnation and reporter.
  [[nodiscard]] std::vector<HealthReport> reports(TimePoint now) const;
  /// The incarnations that there are reports of, in order, each once.
  [[nodiscard]] std::vector<Incarnation> incarnations() const;
  /// The number of reports in the table, kMaxReports and own ones at the most.
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
    TimePoint observedAt;  // never later than the last attempt behind it
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
  std::uint32_t transmissions_ = 4;  // until the number of sidecars is known
  Entries entries_;
  std::map<Incarnation, AttemptHistory> histories_;
  Key lastSent_;
};

}  // namespace ivypost::health_reports

#endif  // IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_TABLE_H_
