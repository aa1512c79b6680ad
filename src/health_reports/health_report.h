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

/// The id of a sidecar, a hash of its name; 0 means none.
using PeerId = gossip::PeerId;
/// A duration in microseconds.
using Duration = std::chrono::microseconds;
/// A time of this process's monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Unix time in whole milliseconds, as in endpoint lists; 0: unknown, long ago.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// An endpoint's health according to a sidecar's own attempts. The values are those on the wire.
enum class HealthStatus : std::uint8_t {
  Healthy = 0,       ///< the endpoint answers
  Failing = 1,       ///< the endpoint answers with errors, or connections fail
  Unresponsive = 2,  ///< the endpoint accepts requests but does not answer
};
/// The number of values of HealthStatus.
constexpr std::uint8_t kStatusCount = 3;
/// The name of the status in GET /status/peers: "well", "failing" or "silent".
[[nodiscard]] const char* nameOf(HealthStatus status);

/// An endpoint between one start of its process and the next.
struct Incarnation {
  std::uint64_t endpoint = 0;  ///< a hash of the endpoint's id, the same at every sidecar
  WallTime startedAt{};        ///< the start time in the endpoint list
  /// Orders by endpoint, then by start time.
  // NOLINTNEXTLINE(modernize-use-nullptr): the checker mistakes the comparison with a literal 0.
  auto operator<=>(const Incarnation&) const = default;
};

/// One sidecar's report on one incarnation of an endpoint.
struct HealthReport {
  Incarnation incarnation;    ///< the endpoint's incarnation
  PeerId reporter = 0;        ///< the sidecar whose attempts the report is based on
  std::uint64_t version = 0;  ///< increases over all reports of a reporter, across its restarts
  HealthStatus status = HealthStatus::Healthy;  ///< the status according to the attempts
  std::uint16_t attempts = 0;                   ///< the reporter's attempts that the status is based on
  std::uint16_t failures = 0;                   ///< number of them that failed; `attempts` at the most
  Duration age{};                               ///< time since the last of them ended
};

/// How long a report is valid after the last attempt that it is based on. Longer than the longest interval
/// between two trials of an ejected endpoint by the sidecar that owns its trials, so that reports don't
/// expire between them.
constexpr Duration kTimeToLive = std::chrono::seconds(12);
/// The size of an encoded report in bytes.
constexpr std::size_t kReportBytes = 37;

/// Appends the encoded report, kReportBytes long, to `bytes`. The age is rounded up to milliseconds, 65,535
/// at the most, so that encoding never makes a report younger.
void encode(const HealthReport& report, std::vector<std::uint8_t>& bytes);
/// Decodes one report. None if bytes are missing, the status is unknown, the reporter is 0, or there are more
/// failures than attempts.
[[nodiscard]] std::optional<HealthReport> decode(gossip::Reader& reader);

}  // namespace ivypost::health_reports

#endif  // IVYPOST_HEALTH_REPORTS_HEALTH_REPORT_H_
