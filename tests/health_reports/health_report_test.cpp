// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "health_reports/health_report.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace ivypost::health_reports {
namespace {

using namespace std::chrono_literals;

// tests/compatibility checks the encoding byte by byte.
HealthReport someReport() {
  return {{7, WallTime(1'790'000'000'123ms)}, 11, 99, HealthStatus::Failing, 5, 2, 1500ms};
}

std::vector<std::uint8_t> encoded(const HealthReport& report) {
  std::vector<std::uint8_t> bytes;
  encode(report, bytes);
  return bytes;
}

std::optional<HealthReport> decoded(const std::vector<std::uint8_t>& bytes) {
  gossip::Reader reader(bytes);
  return decode(reader);
}

TEST(HealthReport, DecodesToWhatWasEncoded) {
  const HealthReport report = someReport();
  const auto bytes = encoded(report);
  ASSERT_EQ(bytes.size(), kReportBytes);
  const auto read = decoded(bytes);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->incarnation, report.incarnation);
  EXPECT_EQ(read->reporter, report.reporter);
  EXPECT_EQ(read->version, report.version);
  EXPECT_EQ(read->status, report.status);
  EXPECT_EQ(read->attempts, report.attempts);
  EXPECT_EQ(read->failures, report.failures);
  EXPECT_EQ(read->age, report.age);
}

TEST(HealthReport, IsNeverYoungerAfterDecoding) {
  const struct {
    Duration age, read;
  } rows[] = {{0us, 0ms}, {1us, 1ms}, {999us, 1ms}, {1000us, 1ms}, {1001us, 2ms}, {kTimeToLive, kTimeToLive}};
  HealthReport report = someReport();
  for (const auto& row : rows) {
    report.age = row.age;
    EXPECT_EQ(decoded(encoded(report)).value().age, row.read) << row.age.count();
  }
}

TEST(HealthReport, HasTheLargestAgeWhereItsOwnDoesNotFit) {
  HealthReport report = someReport();
  report.age = 1h;
  EXPECT_EQ(decoded(encoded(report)).value().age, 65'535ms);
}

TEST(HealthReport, IsRejectedWhereBytesAreMissing) {
  auto bytes = encoded(someReport());
  while (!bytes.empty()) {
    bytes.pop_back();
    EXPECT_FALSE(decoded(bytes)) << bytes.size();
  }
}

TEST(HealthReport, IsRejectedWhereItContradictsItself) {
  HealthReport nobody = someReport();
  nobody.reporter = 0;
  EXPECT_FALSE(decoded(encoded(nobody))) << "the reporter is 0";
  HealthReport failures = someReport();
  failures.failures = 6;
  EXPECT_FALSE(decoded(encoded(failures))) << "more failures than attempts";
  HealthReport status = someReport();
  status.status = static_cast<HealthStatus>(kStatusCount);
  EXPECT_FALSE(decoded(encoded(status))) << "an unknown status";
}

}  // namespace
}  // namespace ivypost::health_reports
