// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "health_reports/health_report_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace ivypost::health_reports {
namespace {

// Ages travel in milliseconds, rounded up.
constexpr Micros kAgeUnit = 1000;
// A report that says the same as the last one is told anew so often: it grows younger by that.
constexpr Micros kRefreshInterval = 500'000;
// Versions above this are no times: one that tells them must not bring this sidecar's own to overflow.
constexpr std::uint64_t kMaxAdvancedVersion = std::uint64_t{1} << 62;

std::uint16_t shortened(std::size_t count) {
  return static_cast<std::uint16_t>(std::min<std::size_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

void put(peers::Writer& to, const HealthReport& one) {
  to.put(static_cast<std::uint8_t>(one.status));
  to.put(one.incarnation.endpoint);
  to.put(static_cast<std::uint16_t>(one.incarnation.startedAtMs >> 32));
  to.put(static_cast<std::uint32_t>(one.incarnation.startedAtMs));
  to.put(one.reporter);
  to.put(one.version);
  to.put(one.attempts);
  to.put(one.failures);
  to.put(shortened(static_cast<std::size_t>((one.age + kAgeUnit - 1) / kAgeUnit)));
}

std::optional<HealthReport> get(peers::Reader& from) {
  HealthReport one;
  const auto status = from.get<std::uint8_t>();
  one.incarnation.endpoint = from.get<std::uint64_t>();
  const std::int64_t high = from.get<std::uint16_t>();
  one.incarnation.startedAtMs = high << 32 | from.get<std::uint32_t>();
  one.reporter = from.get<PeerId>();
  one.version = from.get<std::uint64_t>();
  one.attempts = from.get<std::uint16_t>();
  one.failures = from.get<std::uint16_t>();
  one.age = from.get<std::uint16_t>() * kAgeUnit;
  if (!from.good() || status >= kStatusCount || one.reporter == 0 || one.failures > one.attempts)
    return std::nullopt;
  one.status = static_cast<HealthStatus>(status);
  return one;
}

}  // namespace

const char* nameOf(HealthStatus status) {
  constexpr std::array<const char*, kStatusCount> kNames = {"well", "failing", "silent"};
  return kNames.at(static_cast<std::size_t>(status));
}

// ---- Own evidence -----------------------------------------------------------------------------------------

void AttemptHistory::record(Outcome outcome, Micros lag, Micros now) {
  if (outcomes_.size() == kCapacity) outcomes_.erase(outcomes_.begin());
  outcomes_.emplace_back(now, outcome);
  lastAttempt_ = now;
  if (outcome == Outcome::Succeeded) lastSuccess_ = now;
  if (outcome != Outcome::Unanswered) isUnresponsive_ = false;
  if (outcome == Outcome::Unanswered) isUnresponsive_ = !lastSuccess_ || *lastSuccess_ < now - lag;
}

HealthReport AttemptHistory::assess(Micros now) const {
  HealthReport report;
  std::uint16_t silent = 0, successesInRow = 0;
  for (const auto& [at, outcome] : outcomes_) {
    if (now - at > kWindow) continue;
    const bool served = outcome == Outcome::Succeeded;
    ++report.attempts;
    successesInRow = served ? static_cast<std::uint16_t>(successesInRow + 1) : std::uint16_t{0};
    report.failures = static_cast<std::uint16_t>(report.failures + (served ? 0 : 1));
    silent = static_cast<std::uint16_t>(silent + (outcome == Outcome::Unanswered ? 1 : 0));
  }
  report.age = now - lastAttempt_;
  const bool most = report.failures >= kMinFailures && 2 * report.failures > report.attempts;
  if (isUnresponsive_ && report.attempts > 0) {
    report.status = HealthStatus::Unresponsive;
  } else if (most && successesInRow < kRecoverySuccesses) {
    report.status = 2 * silent > report.failures ? HealthStatus::Unresponsive : HealthStatus::Failing;
  }
  return report;
}

bool HealthReportTable::recordAttempt(const Incarnation& incarnation, AttemptHistory::Outcome outcome,
                                      Micros lag, Micros now) {
  if (histories_.size() >= kMaxIncarnations && histories_.count(incarnation) == 0) {
    // Room for what is used: the one that was attempted longest ago gives way.
    histories_.erase(std::min_element(histories_.begin(), histories_.end(), [](const auto& a, const auto& b) {
      return a.second.lastAttempt() < b.second.lastAttempt();
    }));
  }
  AttemptHistory& evidence = histories_[incarnation];
  evidence.record(outcome, lag, now);
  HealthReport report = evidence.assess(now);
  const auto held = entries_.find({incarnation, self_});
  const bool same = held != entries_.end() && held->second.status == report.status;
  // That it is well is news only where somebody has found otherwise.
  if (report.status == HealthStatus::Healthy && held == entries_.end() && reporterCount(incarnation) == 0)
    return false;
  if (same && now - held->second.observedAt < kRefreshInterval) return false;
  report.incarnation = incarnation;
  report.reporter = self_;
  report.version = ++version_;
  return take(report, 0, now) && !same;
}

// ---- Merge ------------------------------------------------------------------------------------------------

std::size_t HealthReportTable::reporterCount(const Incarnation& incarnation) const {
  std::size_t count = 0;
  for (auto at = entries_.lower_bound({incarnation, 0});
       at != entries_.end() && at->first.first == incarnation; ++at)
    ++count;
  return count;
}

std::size_t HealthReportTable::reportCountOf(PeerId reporter) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [&](const auto& one) { return one.first.second == reporter; }));
}

// Own reports always have room; others as far as neither one upstream nor one reporter fills the table.
bool HealthReportTable::hasRoom(const HealthReport& told) const {
  if (told.reporter == self_) return true;
  return entries_.size() < kMaxIncarnations * kMaxReportersPerIncarnation &&
         reporterCount(told.incarnation) < kMaxReportersPerIncarnation &&
         reportCountOf(told.reporter) < kMaxReportsPerReporter;
}

bool HealthReportTable::take(const HealthReport& told, Micros late, Micros now) {
  const Micros age = std::max<Micros>(0, told.age) + std::max<Micros>(0, late);
  if (age >= kTimeToLive) return false;
  const auto found = entries_.find({told.incarnation, told.reporter});
  if (found == entries_.end()) {
    if (!hasRoom(told)) return false;
    entries_.emplace(Key{told.incarnation, told.reporter}, Entry{told.version, told.status, told.attempts,
                                                                 told.failures, now - age, transmissions_});
    return true;
  }
  Entry& held = found->second;
  if (told.version == held.version) held.observedAt = std::min(held.observedAt, now - age);
  if (told.version <= held.version) return false;
  const bool news = told.status != held.status;
  held = {told.version, told.status, told.attempts, told.failures, now - age, transmissions_};
  return news;
}

// Guards against an earlier incarnation whose clock was ahead: others would go by what it said until that
// lapses. What this incarnation has said is told anew.
void HealthReportTable::advanceVersion(std::uint64_t version) {
  if (version <= version_ || version > kMaxAdvancedVersion) return;
  version_ = version;
  for (auto& [key, held] : entries_) {
    if (key.second != self_) continue;
    held.version = ++version_;
    held.transmissionsLeft = transmissions_;
  }
}

std::optional<bool> HealthReportTable::take(std::span<const std::uint8_t> facts, Micros late, Micros now) {
  peers::Reader from(facts);
  bool news = false;
  while (from.left() > 0) {
    const auto told = get(from);
    if (!told) return std::nullopt;
    // What this sidecar said in an earlier incarnation counts no more than that incarnation.
    if (told->reporter == self_) advanceVersion(told->version);
    if (told->reporter != self_) news = take(*told, late, now) || news;
  }
  return news;
}

std::vector<std::uint8_t> HealthReportTable::encodeNext(std::size_t room, Micros now) {
  std::vector<std::uint8_t> facts;
  const std::size_t most = room / kReportBytes;
  if (most == 0 || entries_.empty()) return facts;
  std::vector<std::map<Key, Entry>::iterator> chosen;
  for (auto at = entries_.begin(); at != entries_.end(); ++at)
    if (at->second.transmissionsLeft > 0) chosen.push_back(at);
  const std::size_t news = std::min(most, chosen.size());
  std::partial_sort(
      chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(news), chosen.end(),
      [](const auto& a, const auto& b) { return a->second.transmissionsLeft > b->second.transmissionsLeft; });
  chosen.resize(news);
  for (const auto& at : chosen) --at->second.transmissionsLeft;
  // The others in turn: in time everybody has told everybody of all, whatever was lost.
  auto next = entries_.upper_bound(lastSent_);
  for (std::size_t n = 0; n < entries_.size() && chosen.size() < most; ++n, ++next) {
    if (next == entries_.end()) next = entries_.begin();
    lastSent_ = next->first;
    if (std::find(chosen.begin(), chosen.end(), next) == chosen.end()) chosen.push_back(next);
  }
  peers::Writer to(facts);
  for (const auto& at : chosen) {
    const Entry& held = at->second;
    const Micros age = now - held.observedAt;
    if (age >= kTimeToLive) continue;
    put(to,
        {at->first.first, at->first.second, held.version, held.status, held.attempts, held.failures, age});
  }
  return facts;
}

void HealthReportTable::setFleetSize(std::size_t sidecars) {
  transmissions_ =
      static_cast<std::uint32_t>(std::ceil(3 * std::log2(static_cast<double>(sidecars) + 1))) + 1;
}

// ---- What counts ------------------------------------------------------------------------------------------

HealthReportTable::Summary HealthReportTable::summarize(const Incarnation& incarnation,
                                                        const std::function<bool(PeerId)>& heard,
                                                        Micros now) const {
  Summary said;
  Micros lastBad = std::numeric_limits<Micros>::min();
  const auto counts = [&](const auto& one) {
    return one.first.second != self_ && now - one.second.observedAt < kTimeToLive && heard(one.first.second);
  };
  const auto first = entries_.lower_bound({incarnation, 0});
  for (auto at = first; at != entries_.end() && at->first.first == incarnation; ++at) {
    if (!counts(*at) || at->second.status == HealthStatus::Healthy) continue;
    ++said.unhealthy;
    said.attempts += at->second.attempts;
    said.failures += at->second.failures;
    lastBad = std::max(lastBad, at->second.observedAt);
  }
  if (said.unhealthy > 0) said.age = now - lastBad;
  for (auto at = first; at != entries_.end() && at->first.first == incarnation; ++at)
    if (counts(*at) && at->second.status == HealthStatus::Healthy && at->second.observedAt > lastBad)
      ++said.healthy;
  return said;
}

void HealthReportTable::removeStale(const std::function<bool(const Incarnation&)>& incarnations,
                                    const std::function<bool(PeerId)>& heard, Micros now) {
  std::erase_if(entries_, [&](const auto& one) {
    return now - one.second.observedAt >= kTimeToLive || !incarnations(one.first.first) ||
           (one.first.second != self_ && !heard(one.first.second));
  });
  std::erase_if(histories_, [&](const auto& one) {
    return now - one.second.lastAttempt() > kTimeToLive || !incarnations(one.first);
  });
}

std::vector<HealthReport> HealthReportTable::reports(Micros now) const {
  std::vector<HealthReport> all;
  for (const auto& [key, held] : entries_) {
    if (now - held.observedAt < kTimeToLive)
      all.push_back({key.first, key.second, held.version, held.status, held.attempts, held.failures,
                     now - held.observedAt});
  }
  return all;
}

std::vector<Incarnation> HealthReportTable::incarnations() const {
  std::vector<Incarnation> incarnations;
  for (const auto& [key, held] : entries_)
    if (incarnations.empty() || incarnations.back() != key.first) incarnations.push_back(key.first);
  return incarnations;
}

}  // namespace ivypost::health_reports
