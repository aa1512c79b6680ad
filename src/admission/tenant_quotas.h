// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_TENANT_QUOTAS_H_
#define IVYPOST_ADMISSION_TENANT_QUOTAS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "admission/time.h"

namespace ivypost::admission {

/// Decides which requests are within their tenant's quota, a fraction of all traffic. If a tenant sends more,
/// only its excess requests are marked as beyond the quota. No I/O and no clock.
///
/// Invariant: rates are sums that decay exponentially with kTimeConstant of the caller's monotonic clock, so
/// that a tenant that sent little may send a burst before it exceeds its quota, and the requests of a tenant
/// that has stopped no longer count. Holds one entry per tenant of the settings.
class TenantQuotas {
 public:
  /// Time constant of the decay, in microseconds.
  static constexpr double kTimeConstant = 2e6;
  /// With fewer recent requests than this, no request is beyond a quota: the sample is too small to show a
  /// rate.
  static constexpr double kMinRequests = 20;
  /// A tenant exceeds its quota only beyond this multiple of it, which allows for random variation.
  static constexpr double kTolerance = 1.25;

  /// `quotas`: by tenant, relative to each other; a negative or non-finite quota counts as 0. If all are 0,
  /// no request is ever beyond a quota.
  explicit TenantQuotas(std::vector<double> quotas);

  /// Records a request that arrived at `now`; returns whether it is beyond its tenant's quota. Always false
  /// for a request without a tenant, or of a tenant that has no entry in `quotas`.
  [[nodiscard]] bool recordArrival(std::optional<std::uint32_t> tenant, Micros now);

  /// The fraction of recent requests that were beyond a quota; 0 to 1.
  [[nodiscard]] double beyondQuotaFraction(Micros now);

 private:
  struct Tenant {
    double quota = 0;     // of all requests; 0 to 1
    double requests = 0;  // decaying sum
    double credit = 0;    // fraction of a request within the quota, carried over to the next request; 0 to 1
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
