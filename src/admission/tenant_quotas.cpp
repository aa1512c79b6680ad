// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/tenant_quotas.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ivypost::admission {

TenantQuotas::TenantQuotas(std::vector<double> quotas) {
  for (double& quota : quotas) quota = std::isfinite(quota) ? std::max(0.0, quota) : 0;
  const double sum = std::accumulate(quotas.begin(), quotas.end(), 0.0);
  hasQuotas_ = sum > 0;
  for (const double quota : quotas) tenants_.push_back({hasQuotas_ ? quota / sum : 0, 0, 0});
}

void TenantQuotas::decay(Micros now) {
  if (now <= decayedAt_) return;
  const double kept = std::exp(-static_cast<double>(now - decayedAt_) / kTimeConstant);
  decayedAt_ = now;
  requests_ *= kept;
  beyondQuota_ *= kept;
  for (Tenant& tenant : tenants_) tenant.requests *= kept;
}

bool TenantQuotas::recordArrival(std::optional<std::uint32_t> tenant, Micros now) {
  decay(now);
  requests_ += 1;
  if (!hasQuotas_ || !tenant || *tenant >= tenants_.size()) return false;
  Tenant& own = tenants_.at(*tenant);
  own.requests += 1;
  const double allowed = own.quota * requests_ * kTolerance;
  if (requests_ < kMinRequests || own.requests <= allowed) {
    own.credit = 0;
    return false;
  }
  own.credit += allowed / own.requests;
  if (own.credit >= 1) {
    own.credit -= 1;
    return false;
  }
  beyondQuota_ += 1;
  return true;
}

double TenantQuotas::beyondQuotaFraction(Micros now) {
  decay(now);
  return requests_ < kMinRequests ? 0 : std::min(1.0, beyondQuota_ / requests_);
}

}  // namespace ivypost::admission
