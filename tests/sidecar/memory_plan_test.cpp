// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "memory_plan.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace ivypost {
namespace {

constexpr double kBytesPerMb = 1e6;
// The fraction of the descriptors that Config::poolSockets() gives to connections.
constexpr double kPoolFraction = 0.9;

// memory_mb and sockets, as a configuration has them, and how many processes share them.
using Limits = std::tuple<int, int, int>;

class MemoryPlanTest : public testing::TestWithParam<Limits> {
 protected:
  MemoryPlanTest() : plan(planMemory({memory(), kPoolFraction * sockets()})) {}
  static double memory() { return std::get<0>(GetParam()) * kBytesPerMb / std::get<2>(GetParam()); }
  static double sockets() { return static_cast<double>(std::get<1>(GetParam())) / std::get<2>(GetParam()); }

  const MemoryPlan plan;
};

// Guards against a process that is killed for its memory (review/7, review/8): what each connection may hold,
// times the connections, plus the byte budget and the fixed part. Written out, so that a part that is left
// out in worstCase() is found.
TEST_P(MemoryPlanTest, KeepsTheSumOfAllBoundsUnderTheMemoryLimit) {
  const double clients = static_cast<double>(plan.clientConnections) * 12.5 * 1024;
  const double upstreams = static_cast<double>(plan.upstreamConnections) * 10.5 * 1024;
  const double sum = 3e6 + clients + upstreams + static_cast<double>(plan.byteBudget);
  EXPECT_DOUBLE_EQ(plan.worstCase(), sum);
  EXPECT_LE(sum, 0.85 * memory());
}

// By the platform's pages clients hold a third of the descriptors at most.
TEST_P(MemoryPlanTest, HasASlotForEachClientThatThePlatformAllows) {
  EXPECT_GE(static_cast<double>(plan.clientConnections), sockets() / 3);
  EXPECT_LE(static_cast<double>(plan.clientConnections + plan.upstreamConnections),
            kPoolFraction * sockets());
}

// Enough for a body of the most that is buffered.
TEST_P(MemoryPlanTest, LeavesABudgetForBodies) {
  EXPECT_GE(plan.byteBudget, 2'097'152U);
}

INSTANTIATE_TEST_SUITE_P(Limits, MemoryPlanTest,
                         testing::Combine(testing::Values(32, 48, 64, 96, 192),
                                          testing::Values(256, 512, 768, 1024), testing::Values(1, 2)));

TEST(MemoryPlan, HasFewerClientsWhereMemoryIsScarce) {
  const MemoryPlan plan = planMemory({12 * kBytesPerMb, kPoolFraction * 1024});
  EXPECT_LT(plan.clientConnections, 300U);
  EXPECT_LE(plan.worstCase(), 0.85 * 12 * kBytesPerMb);
}

TEST(MemoryPlan, AllowsOneClientWhereThereIsNoMemory) {
  const MemoryPlan plan = planMemory({kBytesPerMb, kPoolFraction * 64});
  EXPECT_EQ(plan.clientConnections, 1U);
  EXPECT_EQ(plan.byteBudget, 0U);
}

}  // namespace
}  // namespace ivypost
