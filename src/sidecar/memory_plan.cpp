// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "memory_plan.h"

#include <algorithm>

namespace ivypost {
namespace {

// The fractions of the descriptors that connections of clients and connections to upstreams may hold.
constexpr double kClientFraction = 0.6112;
constexpr double kUpstreamFraction = 0.389;

}  // namespace

double MemoryPlan::worstCase() const {
  const auto clients = static_cast<double>(clientConnections * ClientConnectionMemory::kMax);
  const auto upstreams = static_cast<double>(upstreamConnections * UpstreamConnectionMemory::kMax);
  return kFixed + clients + upstreams + static_cast<double>(byteBudget);
}

MemoryPlan planMemory(const ProcessLimits& limits) {
  MemoryPlan plan;
  plan.upstreamConnections = static_cast<std::size_t>(kUpstreamFraction * limits.connections);
  const auto upstreams = static_cast<double>(plan.upstreamConnections * UpstreamConnectionMemory::kMax);
  const double shared = MemoryPlan::kUsableFraction * limits.memory - MemoryPlan::kFixed - upstreams;
  const double forClients = shared - MemoryPlan::kMinBudgetFraction * limits.memory;
  const double byMemory = forClients / static_cast<double>(ClientConnectionMemory::kMax);
  const double clients = std::max(1.0, std::min(kClientFraction * limits.connections, byMemory));
  plan.clientConnections = static_cast<std::size_t>(clients);
  const auto used = static_cast<double>(plan.clientConnections * ClientConnectionMemory::kMax);
  const double budget = std::clamp(shared - used, 0.0, MemoryPlan::kMaxBudgetFraction * limits.memory);
  plan.byteBudget = static_cast<std::size_t>(budget);
  return plan;
}

}  // namespace ivypost
