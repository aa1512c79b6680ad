// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_H_
#define IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gossip/message.h"

namespace ivypost::health_reports {

/// The id of a sidecar, a hash of its name; 0 is nobody.
using PeerId = gossip::PeerId;
/// A span of elapsed time.
using Duration = std::chrono::microseconds;
/// A moment by this process's monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Unix time in whole milliseconds, as endpoint lists have it; 0: long ago.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// What a sidecar's own attempts show of an endpoint. The values are those on the wire.
enum class HealthStatus : std::uint8_t {
  Healthy = 0,       ///< it answers
  Failing = 1,       ///< it answers with errors, or breaks connections
  Unresponsive = 2,  ///< it takes requests and does not answer
};
/// The number of values of HealthStatus.
constexpr std::uint8_t kStatusCount = 3;
/// The status as GET /status/peers names it: "well", "failing" or "silent".
[[nodiscard]] const char* nameOf(HealthStatus status);

/// An endpoint from one start of its process to the next.
struct Incarnation {
  std::uint64_t endpoint = 0;  ///< a hash of the endpoint's id, the same at every sidecar
  WallTime startedAt{};        ///< as the endpoint list has it
  /// By endpoint, then by start.
  // NOLINTNEXTLINE(modernize-use-nullptr): the checker mistakes the comparison with a literal 0.
  auto operator<=>(const Incarnation&) const = default;
};

/// What one sidecar reports of one incarnation of an endpoint.
struct HealthReport {
  Incarnation incarnation;    ///< of whom
  PeerId reporter = 0;        ///< by whose attempts
  std::uint64_t version = 0;  ///< counts up over all reports of a reporter, its restarts included
  HealthStatus status = HealthStatus::Healthy;  ///< what the attempts show
  std::uint16_t attempts = 0;                   ///< the reporter's own that the status rests on
  std::uint16_t failures = 0;                   ///< how many of them failed; `attempts` at the most
  Duration age{};                               ///< elapsed since the last of them
};

/// A report is valid for so long after the last attempt behind it. Longer than the longest pause between two
/// trials of an ejected endpoint by the sidecar whose turn it is, so that the turn does not lapse between
/// them.
constexpr Duration kTimeToLive = std::chrono::seconds(12);
/// The size of an encoded report.
constexpr std::size_t kReportBytes = 37;

/// Appends the report's kReportBytes to `bytes`. Its age is rounded up to milliseconds, 65,535 at the most,
/// so that it never gets younger on its way.
void encode(const HealthReport& report, std::vector<std::uint8_t>& bytes);
/// Reads one report. None where bytes are missing, the status is unknown, nobody is the reporter, or more
/// attempts failed than were made.
[[nodiscard]] std::optional<HealthReport> decode(gossip::Reader& reader);

}  // namespace ivypost::health_reports

#endif  // IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_H_
