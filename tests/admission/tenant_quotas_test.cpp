// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/tenant_quotas.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>

namespace ivypost::admission {
namespace {

constexpr Micros kSecond = 1'000'000;

struct Count {
  double requests = 0;
  double beyondQuota = 0;
};

// Two tenants send `first` and `second` requests per second, evenly, from `from` to `to`.
std::array<Count, 2> simulate(TenantQuotas& quotas, Micros from, Micros to, double first, double second) {
  std::array<Count, 2> counts;
  std::array<double, 2> due{};
  const std::array<double, 2> rates = {first, second};
  for (Micros now = from; now < to; now += 1000) {
    for (std::uint32_t n = 0; n < 2; ++n) {
      for (due[n] += rates[n] / 1000; due[n] >= 1; due[n] -= 1) {
        ++counts[n].requests;
        if (quotas.recordArrival(n, now)) ++counts[n].beyondQuota;
      }
    }
  }
  return counts;
}

TEST(TenantQuotas, NoRequestIsBeyondAQuotaThatIsNotExceeded) {
  TenantQuotas quotas({0.79, 0.21});
  const auto counts = simulate(quotas, 0, 10 * kSecond, 79, 21);
  EXPECT_EQ(counts[0].beyondQuota + counts[1].beyondQuota, 0);
  EXPECT_EQ(quotas.beyondQuotaFraction(10 * kSecond), 0);
}

// A tenant that sends five times its usual traffic still gets its quota, and the other tenant loses no
// request.
TEST(TenantQuotas, AFloodingTenantKeepsItsQuota) {
  TenantQuotas quotas({0.79, 0.21});
  simulate(quotas, 0, 10 * kSecond, 79, 21);
  const auto flood = simulate(quotas, 10 * kSecond, 30 * kSecond, 79, 105);
  EXPECT_EQ(flood[0].beyondQuota, 0);
  const double within = flood[1].requests - flood[1].beyondQuota;
  EXPECT_NEAR(within / (flood[0].requests + flood[1].requests), 0.21 * TenantQuotas::kTolerance, 0.02);
  EXPECT_NEAR(quotas.beyondQuotaFraction(30 * kSecond),
              flood[1].beyondQuota / (flood[0].requests + flood[1].requests), 0.03);
  // After the flood has ended, the earlier excess no longer reduces what the tenant may send.
  const auto after = simulate(quotas, 40 * kSecond, 50 * kSecond, 79, 21);
  EXPECT_EQ(after[0].beyondQuota + after[1].beyondQuota, 0);
}

TEST(TenantQuotas, NoRequestIsBeyondAQuotaWithFewRequestsUnknownTenantsOrNoQuotas) {
  TenantQuotas few({0.5, 0.5});
  for (int n = 0; n < 19; ++n) EXPECT_FALSE(few.recordArrival(0, n));
  EXPECT_EQ(few.beyondQuotaFraction(20), 0);
  TenantQuotas none({0, std::nan("")});
  TenantQuotas unknown({1, 1});
  for (int n = 0; n < 1000; ++n) {
    EXPECT_FALSE(none.recordArrival(0, n));
    EXPECT_FALSE(unknown.recordArrival(std::nullopt, n));
    EXPECT_FALSE(unknown.recordArrival(2, n));
  }
}

}  // namespace
}  // namespace ivypost::admission
