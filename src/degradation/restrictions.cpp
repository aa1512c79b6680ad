// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/restrictions.h"

namespace ivypost::degradation {
namespace {

// Fraction of the usual health checks at Thrifty and Protect. A quarter of them still detects that an
// upstream has recovered, only later.
constexpr double kReducedHealthChecks = 0.25;

}  // namespace

Restrictions restrictionsAt(Level level) {
  Restrictions restrictions;
  if (level >= Level::Thrifty) {
    restrictions.allowsHedging = false;
    restrictions.healthCheckFraction = kReducedHealthChecks;
  }
  if (level >= Level::Protect) restrictions.admitsByPriority = true;
  if (level >= Level::Shed) {
    restrictions.rejectsBeforeBody = true;
    restrictions.healthCheckFraction = 0;
  }
  if (level >= Level::Cutoff) restrictions.minPriorityWeight = 1;
  return restrictions;
}

}  // namespace ivypost::degradation
