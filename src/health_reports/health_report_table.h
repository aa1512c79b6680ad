// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What sidecars have found of upstreams and tell each other. Free of I/O and clock.
//
// What holds always: a report counts for kTimeToLive after the evidence behind it at the most, by elapsed
// time that is never taken for less than it was; it counts only for the incarnation of the upstream that it
// was made of (its start time), and only while its reporter is heard. The table is bounded, whatever is told.
// By whose clock: the reporter's from the evidence to each telling, each teller's own while it is kept, and
// the receiver's from before it asked. So delays on the way make a report older, never younger. Who hears
// nothing: has no reports but its own after kTimeToLive.
//
// The merge is commutative, associative and idempotent: of one reporter's reports of one incarnation the
// highest version counts, and of one version the oldest age.
#ifndef IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_TABLE_H_
#define IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "peers/message.h"

namespace ivypost::health_reports {

using peers::Micros;
using peers::PeerId;

enum class HealthStatus : std::uint8_t {
  Healthy = 0,       // it serves
  Failing = 1,       // it answers with errors, or breaks connections
  Unresponsive = 2,  // it takes requests and does not answer
};
constexpr std::uint8_t kStatusCount = 3;
const char* nameOf(HealthStatus status);

// An upstream in one of its incarnations.
struct Incarnation {
  std::uint64_t endpoint = 0;    // a hash of its id, the same at every sidecar
  std::int64_t startedAtMs = 0;  // Unix time as the list tells it; 0: long ago
  auto operator<=>(const Incarnation&) const = default;
};

struct HealthReport {
  Incarnation incarnation;
  PeerId reporter = 0;
  std::uint64_t version = 0;  // counts up over all that one reporter says, its restarts included
  HealthStatus status = HealthStatus::Healthy;
  std::uint16_t attempts = 0, failures = 0;  // behind it, of the reporter's own
  Micros age = 0;                            // since the evidence
};

// A report counts for so long after its evidence. Longer than the longest pause between two trials of an
// ejected upstream by whoever has the turn, so that the turn does not lapse between them.
constexpr Micros kTimeToLive = 12'000'000;
constexpr std::size_t kMaxIncarnations = 512,
                      kMaxReportersPerIncarnation = 16;  // upstreams, and reporters of each
constexpr std::size_t kReportBytes = 37;
// Of one reporter, so that one that lies can't fill the table: a quarter of the table.
constexpr std::size_t kMaxReportsPerReporter = kMaxIncarnations / 4;

// What this sidecar's own attempts say of an upstream: the outcomes of the last kEvidence.
class AttemptHistory {
 public:
  static constexpr Micros kWindow = 5'000'000;
  static constexpr std::size_t kCapacity = 16;  // outcomes remembered
  // So many, and more than half of all, have failed: chance and one bad moment do not. One attempt without an
  // answer is enough where nothing was served since it was sent: it took the client's whole time.
  static constexpr std::uint16_t kMinFailures = 2;
  // And the last so many were served: it is well again, whatever was before. Of one that fails four in five,
  // three in a row are served once in 125 times.
  static constexpr std::uint16_t kRecoverySuccesses = 3;

  enum class Outcome : std::uint8_t { Succeeded, Failed, Unanswered };
  // `lag`: since the attempt was sent.
  void record(Outcome outcome, Micros lag, Micros now);
  // As of its last outcome; attempts 0: nothing.
  HealthReport assess(Micros now) const;
  Micros lastAttempt() const { return lastAttempt_; }

 private:
  std::vector<std::pair<Micros, Outcome>> outcomes_;
  Micros lastAttempt_ = 0;
  std::optional<Micros> lastSuccess_;
  bool isUnresponsive_ = false;  // it has served nothing since an attempt was sent that got no answer
};

class HealthReportTable {
 public:
  // `version`: higher than any that this reporter told in an earlier incarnation; Unix time in microseconds
  // does. If it is not, since the wall clock was set back, it is outbid as soon as others tell what they
  // hold.
  HealthReportTable(PeerId self, std::uint64_t version) : self_(self), version_(version) {}

  // The end of an own attempt. What it changes is told; true: this sidecar finds otherwise than before.
  bool recordAttempt(const Incarnation& incarnation, AttemptHistory::Outcome outcome, Micros lag, Micros now);

  // Takes what was told. `late`: the time on the way, at the most. Whether a reporter was new or finds
  // otherwise than before; none for bytes that are no reports, and those ahead of the flaw count.
  std::optional<bool> take(std::span<const std::uint8_t> facts, Micros late, Micros now);
  bool take(const HealthReport& told, Micros late, Micros now);
  // Reports for one message of so many bytes: the news first, then the others in turn.
  std::vector<std::uint8_t> encodeNext(std::size_t room, Micros now);
  // How often news are told, from the number of sidecars: as members' changes are.
  void setFleetSize(std::size_t sidecars);

  // What the others who are heard say of it.
  struct Summary {
    std::uint32_t unhealthy = 0;               // reporters that find it failing or silent
    std::uint32_t healthy = 0;                 // and well, by later evidence than any of these
    std::uint32_t attempts = 0, failures = 0;  // behind the bad ones
    Micros age = 0;                            // of the latest
  };
  Summary summarize(const Incarnation& incarnation, const std::function<bool(PeerId)>& heard,
                    Micros now) const;
  // Drops what counts no more: too old, of an incarnation that has ended, of a reporter not heard.
  void removeStale(const std::function<bool(const Incarnation&)>& incarnations,
                   const std::function<bool(PeerId)>& heard, Micros now);

  // All that counts, this sidecar's own too, with their ages.
  std::vector<HealthReport> reports(Micros now) const;
  // Those that anybody judges.
  std::vector<Incarnation> incarnations() const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t version = 0;
    HealthStatus status = HealthStatus::Healthy;
    std::uint16_t attempts = 0, failures = 0;
    Micros observedAt = 0;  // by this process's clock, never later than it was
    std::uint32_t transmissionsLeft = 0;
  };
  using Key = std::pair<Incarnation, PeerId>;

  void advanceVersion(std::uint64_t version);
  bool hasRoom(const HealthReport& told) const;
  std::size_t reporterCount(const Incarnation& incarnation) const;
  std::size_t reportCountOf(PeerId reporter) const;

  PeerId self_;
  std::uint64_t version_;
  std::uint32_t transmissions_ = 4;
  std::map<Key, Entry> entries_;
  std::map<Incarnation, AttemptHistory> histories_;
  Key lastSent_;
};

}  // namespace ivypost::health_reports

#endif  // IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_TABLE_H_
