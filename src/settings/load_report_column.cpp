// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "settings/load_report_column.h"

namespace ivypost::settings {

// Each column has two names: the first is used in the settings, the second in load reports of upstreams.
std::optional<balancer::ReportColumn> toColumn(std::string_view name) {
  if (name == "busy_reqs" || name == "inflight") return balancer::ReportColumn::BusyRequests;
  if (name == "pending" || name == "queue") return balancer::ReportColumn::Queued;
  if (name == "cpu_share" || name == "util") return balancer::ReportColumn::CpuShare;
  if (name == "svc_ms" || name == "latency_ms") return balancer::ReportColumn::ServiceMillis;
  if (name == "served_ps" || name == "qps") return balancer::ReportColumn::ServedPerSecond;
  if (name == "failed_ps" || name == "eps") return balancer::ReportColumn::FailedPerSecond;
  return std::nullopt;
}

void setColumn(balancer::LoadReport& report, balancer::ReportColumn column, double value) {
  switch (column) {
    case balancer::ReportColumn::BusyRequests:
      report.busyRequests = value;
      break;
    case balancer::ReportColumn::Queued:
      report.queued = value;
      break;
    case balancer::ReportColumn::CpuShare:
      report.cpuShare = value;
      break;
    case balancer::ReportColumn::ServiceMillis:
      report.serviceMillis = value;
      break;
    case balancer::ReportColumn::ServedPerSecond:
      report.servedPerSecond = value;
      break;
    case balancer::ReportColumn::FailedPerSecond:
      report.failedPerSecond = value;
      break;
  }
}

}  // namespace ivypost::settings
