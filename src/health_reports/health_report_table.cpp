// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "health_reports/health_report_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <optional>

namespace ivypost::health_reports {
namespace {

// The minimum interval between renewals of this sidecar's own report while its status is unchanged. A renewal
// updates the report's age.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(500);
// The highest received version that exceedVersion() accepts. No clock yields a higher one, and accepting one
// could make this sidecar's version overflow.
constexpr std::uint64_t kMaxVersionToExceed = std::uint64_t{1} << 62U;
// Each change is sent this many times the binary logarithm of the number of sidecars (SWIM, 4.1), so that it
// reaches all of them in spite of some loss.
constexpr double kTransmissionFactor = 3;

// A half-open range of iterators.
template <class Iterator>
struct Range {
  [[nodiscard]] Iterator begin() const { return first; }
  [[nodiscard]] Iterator end() const { return last; }

  Iterator first;
  Iterator last;
};

// The entries of one incarnation, sorted by reporter.
template <class Entries>
auto entriesOf(const Entries& entries, const Incarnation& incarnation) {
  constexpr PeerId kLastPeer = std::numeric_limits<PeerId>::max();
  using Iterator = typename Entries::const_iterator;
  return Range<Iterator>{entries.lower_bound({incarnation, 0}),
                         entries.upper_bound({incarnation, kLastPeer})};
}

HealthReport reportOf(const auto& keyAndEntry, TimePoint now) {
  const auto& [key, entry] = keyAndEntry;
  return {key.incarnation, key.reporter,   entry.version,         entry.status,
          entry.attempts,  entry.failures, now - entry.observedAt};
}

}  // namespace

// ---- Own attempts -----------------------------------------------------------------------------------------

bool HealthReportTable::recordAttempt(const Incarnation& incarnation, AttemptHistory::Outcome outcome,
                                      Duration sinceSent, TimePoint now) {
  AttemptHistory& history = historyOf(incarnation);
  history.record(outcome, sinceSent, now);
  const AttemptHistory::Assessment assessment = history.assess(now);
  const auto own = entries_.find({incarnation, self_});
  const bool isReported = own != entries_.end();
  const bool isSameStatus = isReported && own->second.status == assessment.status;
  // A report of a healthy endpoint is needed only if a report on this incarnation exists already.
  if (assessment.status == HealthStatus::Healthy && !isReported && reporterCount(incarnation) == 0)
    return false;
  if (isSameStatus && now - own->second.observedAt < kRefreshInterval) return false;
  const HealthReport report{
      incarnation,         self_,         ++version_, assessment.status, assessment.attempts,
      assessment.failures, assessment.age};
  return merge(report, Duration::zero(), now) && !isSameStatus;
}

AttemptHistory& HealthReportTable::historyOf(const Incarnation& incarnation) {
  if (histories_.size() >= kMaxIncarnations && !histories_.contains(incarnation)) {
    histories_.erase(std::min_element(histories_.begin(), histories_.end(), [](const auto& a, const auto& b) {
      return a.second.lastAttempt() < b.second.lastAttempt();
    }));
  }
  return histories_[incarnation];
}

// ---- Merge ------------------------------------------------------------------------------------------------

std::size_t HealthReportTable::reporterCount(const Incarnation& incarnation) const {
  const auto entries = entriesOf(entries_, incarnation);
  return static_cast<std::size_t>(std::distance(entries.begin(), entries.end()));
}

std::size_t HealthReportTable::reportCountOf(PeerId reporter) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [&](const auto& one) { return one.first.reporter == reporter; }));
}

bool HealthReportTable::hasRoom(const Key& key) const {
  if (key.reporter == self_) return true;
  return entries_.size() < kMaxReports && reporterCount(key.incarnation) < kMaxReportersPerIncarnation &&
         reportCountOf(key.reporter) < kMaxReportsPerReporter;
}

HealthReportTable::Entry HealthReportTable::entryOf(const HealthReport& report, TimePoint observedAt) const {
  return {report.version, report.status, report.attempts, report.failures, observedAt, transmissions_};
}

bool HealthReportTable::merge(const HealthReport& report, Duration delay, TimePoint now) {
  const Duration age = std::max(Duration::zero(), report.age) + std::max(Duration::zero(), delay);
  if (age >= kTimeToLive) return false;
  const TimePoint observedAt = now - age;
  const Key key{report.incarnation, report.reporter};
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (!hasRoom(key)) return false;
    entries_.emplace(key, entryOf(report, observedAt));
    return true;
  }
  Entry& entry = found->second;
  if (report.version == entry.version) entry.observedAt = std::min(entry.observedAt, observedAt);
  if (report.version <= entry.version) return false;
  const bool isChanged = report.status != entry.status;
  entry = entryOf(report, observedAt);
  return isChanged;
}

// If the wall clock was ahead before a restart, this sidecar's earlier reports have higher versions than its
// present ones, and other sidecars would use them until they expire. Therefore the reports made since the
// restart get versions above the received one and are sent again.
void HealthReportTable::exceedVersion(std::uint64_t version) {
  if (version <= version_ || version > kMaxVersionToExceed) return;
  version_ = version;
  for (auto& [key, entry] : entries_) {
    if (key.reporter != self_) continue;
    entry.version = ++version_;
    entry.transmissionsLeft = transmissions_;
  }
}

ReceiveResult HealthReportTable::receive(std::span<const std::uint8_t> bytes, Duration delay, TimePoint now) {
  gossip::Reader reader(bytes);
  bool isChanged = false;
  while (reader.left() > 0) {
    const std::optional<HealthReport> report = decode(reader);
    if (!report) return ReceiveResult::Malformed;
    // A report of this sidecar itself, possibly from before a restart, is not merged. This sidecar's reports
    // must have higher versions, or other sidecars would ignore them.
    if (report->reporter == self_) {
      exceedVersion(report->version);
    } else if (merge(*report, delay, now)) {
      isChanged = true;
    }
  }
  return isChanged ? ReceiveResult::Changed : ReceiveResult::Unchanged;
}

// ---- Transmission -----------------------------------------------------------------------------------------

std::vector<std::uint8_t> HealthReportTable::encodeNext(std::size_t maxBytes, TimePoint now) {
  std::vector<std::uint8_t> bytes;
  for (const auto& entry : selectForTransmission(maxBytes / kReportBytes)) {
    const HealthReport report = reportOf(*entry, now);
    if (report.age < kTimeToLive) encode(report, bytes);
  }
  return bytes;
}

std::vector<HealthReportTable::Entries::iterator> HealthReportTable::selectForTransmission(
    std::size_t maxCount) {
  std::vector<Entries::iterator> selected = selectChanged(maxCount);
  // Then the others in round-robin order, so that every report eventually reaches every sidecar in spite of
  // losses.
  auto next = entries_.upper_bound(lastSent_);
  for (std::size_t n = 0; n < entries_.size() && selected.size() < maxCount; ++n, ++next) {
    if (next == entries_.end()) next = entries_.begin();
    lastSent_ = next->first;
    if (std::find(selected.begin(), selected.end(), next) == selected.end()) selected.push_back(next);
  }
  return selected;
}

// Selects the entries with the most transmissions left, and counts one transmission for each.
std::vector<HealthReportTable::Entries::iterator> HealthReportTable::selectChanged(std::size_t maxCount) {
  std::vector<Entries::iterator> selected;
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry)
    if (entry->second.transmissionsLeft > 0) selected.push_back(entry);
  const std::size_t count = std::min(maxCount, selected.size());
  const auto end = selected.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(selected.begin(), end, selected.end(), [](const auto& a, const auto& b) {
    return a->second.transmissionsLeft > b->second.transmissionsLeft;
  });
  selected.resize(count);
  for (const auto& entry : selected) --entry->second.transmissionsLeft;
  return selected;
}

void HealthReportTable::setFleetSize(std::size_t sidecars) {
  const double rounds = std::ceil(kTransmissionFactor * std::log2(static_cast<double>(sidecars) + 1));
  transmissions_ = static_cast<std::uint32_t>(rounds) + 1;
}

// ---- Valid reports ----------------------------------------------------------------------------------------

HealthReportTable::Summary HealthReportTable::summarize(const Incarnation& incarnation,
                                                        const IsReachable& isReachable, TimePoint now) const {
  const auto isCounted = [&](const auto& one) {
    const auto& [key, entry] = one;
    return key.reporter != self_ && now - entry.observedAt < kTimeToLive && isReachable(key.reporter);
  };
  Summary summary;
  TimePoint lastUnhealthy = TimePoint::min();
  for (const auto& one : entriesOf(entries_, incarnation)) {
    const Entry& entry = one.second;
    if (entry.status == HealthStatus::Healthy || !isCounted(one)) continue;
    ++summary.unhealthy;
    summary.attempts += entry.attempts;
    summary.failures += entry.failures;
    lastUnhealthy = std::max(lastUnhealthy, entry.observedAt);
  }
  if (summary.unhealthy > 0) summary.age = now - lastUnhealthy;
  for (const auto& one : entriesOf(entries_, incarnation)) {
    const Entry& entry = one.second;
    const bool isLater = entry.status == HealthStatus::Healthy && entry.observedAt > lastUnhealthy;
    if (isLater && isCounted(one)) ++summary.healthy;
  }
  return summary;
}

void HealthReportTable::removeStale(const IsListed& isListed, const IsReachable& isReachable, TimePoint now) {
  std::erase_if(entries_, [&](const auto& one) {
    const auto& [key, entry] = one;
    return now - entry.observedAt >= kTimeToLive || !isListed(key.incarnation) ||
           (key.reporter != self_ && !isReachable(key.reporter));
  });
  std::erase_if(histories_, [&](const auto& one) {
    const auto& [incarnation, history] = one;
    return now - history.lastAttempt() > kTimeToLive || !isListed(incarnation);
  });
}

std::vector<HealthReport> HealthReportTable::reports(TimePoint now) const {
  std::vector<HealthReport> reports;
  for (const auto& one : entries_)
    if (now - one.second.observedAt < kTimeToLive) reports.push_back(reportOf(one, now));
  return reports;
}

std::vector<Incarnation> HealthReportTable::incarnations() const {
  std::vector<Incarnation> incarnations;
  for (const auto& [key, entry] : entries_)
    if (incarnations.empty() || incarnations.back() != key.incarnation)
      incarnations.push_back(key.incarnation);
  return incarnations;
}

}  // namespace ivypost::health_reports
