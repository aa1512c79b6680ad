// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "health_reports/health_report.h"

#include <algorithm>
#include <array>
#include <limits>

namespace ivypost::health_reports {
namespace {

using std::chrono::milliseconds;

// A start time is encoded in 48 bits: the high 16, then the low 32.
constexpr unsigned kLowStartBits = 32;

std::uint16_t encodedAge(Duration age) {
  constexpr std::int64_t kMaxAge = std::numeric_limits<std::uint16_t>::max();
  const std::int64_t rounded = std::chrono::ceil<milliseconds>(age).count();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(rounded, 0, kMaxAge));
}

bool isConsistent(const HealthReport& report) {
  return report.reporter != 0 && report.failures <= report.attempts;
}

}  // namespace

const char* nameOf(HealthStatus status) {
  constexpr std::array<const char*, kStatusCount> kNames = {"well", "failing", "silent"};
  return kNames.at(static_cast<std::size_t>(status));
}

void encode(const HealthReport& report, std::vector<std::uint8_t>& bytes) {
  const std::int64_t startedAt = report.incarnation.startedAt.time_since_epoch().count();
  gossip::Writer writer(bytes);
  writer.put(static_cast<std::uint8_t>(report.status));
  writer.put(report.incarnation.endpoint);
  writer.put(static_cast<std::uint16_t>(startedAt >> kLowStartBits));
  writer.put(static_cast<std::uint32_t>(startedAt));
  writer.put(report.reporter);
  writer.put(report.version);
  writer.put(report.attempts);
  writer.put(report.failures);
  writer.put(encodedAge(report.age));
}

std::optional<HealthReport> decode(gossip::Reader& reader) {
  HealthReport report;
  const auto status = reader.get<std::uint8_t>();
  report.incarnation.endpoint = reader.get<std::uint64_t>();
  const std::int64_t highStart = reader.get<std::uint16_t>();
  const std::int64_t lowStart = reader.get<std::uint32_t>();
  report.incarnation.startedAt = WallTime(milliseconds((highStart << kLowStartBits) | lowStart));
  report.reporter = reader.get<PeerId>();
  report.version = reader.get<std::uint64_t>();
  report.attempts = reader.get<std::uint16_t>();
  report.failures = reader.get<std::uint16_t>();
  report.age = milliseconds(reader.get<std::uint16_t>());
  if (!reader.good() || status >= kStatusCount || !isConsistent(report)) return std::nullopt;
  report.status = static_cast<HealthStatus>(status);
  return report;
}

}  // namespace ivypost::health_reports
