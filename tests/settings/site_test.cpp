// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "settings/site.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "settings/format_error.h"
#include "settings/load_report_column.h"

namespace ivypost::settings {
namespace {

const std::string kLeast =
    "create classes.count=1 classes.0.name=a classes.0.aim=1 classes.0.deadline=2 classes.0.semantics=free";

Site siteOf(const std::string& more) {
  const std::string line = kLeast + more;
  return readSite(Line(line));
}

TEST(SiteTest, HasDefaultsForAllButTheClasses) {
  const Site site = siteOf("");
  EXPECT_EQ(site.classes.at("a"), 0U);
  EXPECT_EQ(site.settings.zones, 1U);
  EXPECT_EQ(site.settings.kinds, 1U);
  EXPECT_EQ(site.settings.sidecars, 1U);
  EXPECT_EQ(site.settings.maxAttempts, 1U);
  EXPECT_EQ(site.settings.reportSource, balancer::ReportSource::None);
  EXPECT_TRUE(site.remarks.empty());
  EXPECT_THROW(static_cast<void>(readSite(Line("create"))), FormatError);
}

TEST(SiteTest, NumbersNamesInTheOrderOfTheSettings) {
  const Site site =
      siteOf(" zones=south,north locality=north skus=fast,slow projects.count=1 projects.0.name=p");
  EXPECT_EQ(lookUp(site.zones, "locality", "south"), 0U);
  EXPECT_EQ(lookUp(site.zones, "locality", "north"), 1U);
  EXPECT_EQ(site.settings.zone, 1U);
  EXPECT_EQ(site.kinds.at("slow"), 1U);
  EXPECT_EQ(site.tenants.at("p"), 0U);
  EXPECT_THROW(static_cast<void>(lookUp(site.zones, "locality", "east")), FormatError);
  EXPECT_THROW(siteOf(" zones=south locality=east"), FormatError);
}

// An invalid index or count of sidecars must not prevent the start: a sidecar that doesn't start is worse
// than work that is divided wrongly.
TEST(SiteTest, InvalidSidecarPositionIsReportedAndNotRejected) {
  const Site none = siteOf(" balancers=0");
  EXPECT_EQ(none.settings.sidecars, 1U);
  EXPECT_EQ(none.remarks, std::vector<std::string>{"balancers is 0; taken for 1"});
  const Site beyond = siteOf(" balancers=4 index=4");
  EXPECT_EQ(beyond.settings.sidecar, 4U);
  EXPECT_EQ(beyond.remarks, std::vector<std::string>{
                                "index 4 is not under balancers, 4; taken for the rest of their division"});
}

TEST(SiteTest, UnknownColumnsOfReportsKeepTheirPosition) {
  const Site site = siteOf(" report.how=answers report.columns=cpu_share,something_new,busy_reqs");
  ASSERT_EQ(site.columns.size(), 3U);
  EXPECT_EQ(site.columns[0], balancer::ReportColumn::CpuShare);
  EXPECT_EQ(site.columns[1], std::nullopt);
  EXPECT_EQ(site.columns[2], balancer::ReportColumn::BusyRequests);
  EXPECT_TRUE(site.settings.reportsBusyRequests);
}

TEST(LoadReportColumnTest, BothNamesOfAColumnSetItsValue) {
  using balancer::LoadReport;
  const struct {
    const char* inSettings;
    const char* onSockets;
    std::optional<double> LoadReport::*value;
  } rows[] = {{"busy_reqs", "inflight", &LoadReport::busyRequests},
              {"pending", "queue", &LoadReport::queued},
              {"cpu_share", "util", &LoadReport::cpuShare},
              {"svc_ms", "latency_ms", &LoadReport::serviceMillis},
              {"served_ps", "qps", &LoadReport::servedPerSecond},
              {"failed_ps", "eps", &LoadReport::failedPerSecond}};
  for (const auto& row : rows) {
    const auto column = toColumn(row.inSettings);
    ASSERT_TRUE(column) << row.inSettings;
    EXPECT_EQ(toColumn(row.onSockets), column) << row.onSockets;
    LoadReport report;
    setColumn(report, *column, 7);
    EXPECT_EQ(report.*row.value, 7) << row.inSettings;
  }
  EXPECT_EQ(toColumn("something_new"), std::nullopt);
}

}  // namespace
}  // namespace ivypost::settings
