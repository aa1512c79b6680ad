// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/load_report_parser.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace ivypost {
namespace {

TEST(LoadReportParser, ReadsEachKnownName) {
  const auto report =
      parseLoadReport("TEXT inflight=7, queue=2, util=0.5, latency_ms=12.5, qps=100, eps=0.25");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->busyRequests, 7);
  EXPECT_EQ(report->queued, 2);
  EXPECT_EQ(report->cpuShare, 0.5);
  EXPECT_EQ(report->serviceMillis, 12.5);
  EXPECT_EQ(report->servedPerSecond, 100);
  EXPECT_EQ(report->failedPerSecond, 0.25);
}

TEST(LoadReportParser, ReadsOrRejectsEachFormOfOneValue) {
  struct Row {
    std::string text;
    std::optional<double> inflight;  // none: the whole report is rejected
  };
  const std::vector<Row> table = {
      {"inflight=7", 7},                       //
      {"TEXT inflight=7", 7},                  //
      {"inflight=7,queue=2", 7},               // without a space
      {"queue=2  ,, inflight=7 ", 7},          // empty entries
      {"inflight=7 colour=blue =3 pears", 7},  // unknown names are skipped, whatever their values
      {"inflight=7 inflight=8", 8},            // the last value of a name is used
      {"inflight=0", 0},                       //
      {"inflight=1e9", 1e9},                   // at the limit
      {"inflight=1000000001", {}},             // above it
      {"inflight=-1", {}},                     //
      {"inflight=nan", {}},                    //
      {"inflight=inf", {}},                    //
      {"inflight=1e999", {}},                  //
      {"inflight=", {}},                       //
      {"inflight=7x", {}},                     //
      {"inflight =7", {}},                     //
      {"queue=2 inflight=x", {}},              // one invalid value rejects the report
      {"inflight=7 queue=-1", {}},             //
      {"colour=blue", {}},                     // no known name
      {"", {}},                                //
  };
  for (const Row& row : table) {
    SCOPED_TRACE(row.text);
    const auto report = parseLoadReport(row.text);
    ASSERT_EQ(report.has_value(), row.inflight.has_value());
    if (report) {
      EXPECT_EQ(report->busyRequests, row.inflight);
    }
  }
}

}  // namespace
}  // namespace ivypost
