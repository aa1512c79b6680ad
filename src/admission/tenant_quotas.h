// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Which requests lie within their school's share of the traffic. A school that sends more keeps its share: of
// its requests just so many are marked as beyond it. No I/O and no clock.
//
// Rates are sums that decay with kTimeConstant, so that a school which was quiet may send a burst before it
// counts as over its share, and one that has stopped is forgotten.
#ifndef IVYPOST_ADMISSION_TENANT_QUOTAS_H_
#define IVYPOST_ADMISSION_TENANT_QUOTAS_H_

#include <cstdint>
#include <optional>
#include <vector>

namespace ivypost::admission {

using Micros = std::int64_t;

class TenantQuotas {
 public:
  // `shares`: by school's number, of all traffic; negative or not finite counts as 0. When all are 0, nobody
  // is ever beyond his share.
  explicit TenantQuotas(std::vector<double> quotas);

  // A request came: whether it lies beyond its school's share. One without a school never does; neither does
  // one while fewer than kMinRequests lately came, which say nothing of anyone's rate.
  bool recordArrival(std::optional<std::uint32_t> tenant, Micros now);

  // The part of the lately come requests that lay beyond a share; 0 to 1.
  double beyondQuotaFraction(Micros now);

  static constexpr double kTimeConstant = 2e6;  // microseconds
  static constexpr double kMinRequests = 20;
  // A school is beyond its share only past this many times it: chance alone makes some send more than others.
  static constexpr double kTolerance = 1.25;

 private:
  struct Tenant {
    double quota = 0, sum = 0;
    double credit = 0;  // of requests within the share, carried over from the last; 0 to 1
  };
  void decay(Micros now);

  std::vector<Tenant> tenants_;
  bool hasQuotas_ = false;
  double total_ = 0, beyondQuota_ = 0;  // decaying sums
  Micros decayedAt_ = 0;
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TENANT_QUOTAS_H_
