// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_TENANT_QUOTAS_H_
#define IVYPOST_ADMISSION_TENANT_QUOTAS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "admission/time.h"

namespace ivypost::admission {

/// Which requests lie within their tenant's quota, a fraction of all traffic. A tenant that sends more keeps
/// its quota: of its requests just so many are marked as beyond it. No I/O and no clock.
///
/// Invariant: rates are sums that decay with kTimeConstant of the caller's monotonic clock, so that a tenant
/// that was quiet may send a burst before it exceeds its quota, and one that has stopped is forgotten. It
/// holds one entry a tenant of the settings.
class TenantQuotas {
 public:
  /// Time constant of the decay, in microseconds.
  static constexpr double kTimeConstant = 2e6;
  /// With fewer recent requests than this nothing is beyond a quota: they say nothing of anyone's rate.
  static constexpr double kMinRequests = 20;
  /// A tenant exceeds its quota only past this many times it: chance alone makes some send more than others.
  static constexpr double kTolerance = 1.25;

  /// `quotas`: by tenant, in proportion to each other; negative or not finite counts as 0. When all are 0,
  /// nothing is ever beyond a quota.
  explicit TenantQuotas(std::vector<double> quotas);

  /// A request came at `now`: whether it is beyond its tenant's quota. Never one without a tenant, or of a
  /// tenant without a quota entry.
  [[nodiscard]] bool recordArrival(std::optional<std::uint32_t> tenant, Micros now);

  /// The fraction of recent requests that were beyond a quota; 0 to 1.
  [[nodiscard]] double beyondQuotaFraction(Micros now);

 private:
  struct Tenant {
    double quota = 0;     // of all requests; 0 to 1
    double requests = 0;  // decaying sum
    double credit = 0;    // of requests within the quota, carried over from the last one; 0 to 1
  };
  void decay(Micros now);

  std::vector<Tenant> tenants_;
  bool hasQuotas_ = false;
  double requests_ = 0;     // decaying sum
  double beyondQuota_ = 0;  // decaying sum
  Micros decayedAt_ = 0;
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TENANT_QUOTAS_H_
