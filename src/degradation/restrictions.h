// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_RESTRICTIONS_H_
#define IVYPOST_DEGRADATION_RESTRICTIONS_H_

#include "degradation/level.h"

namespace ivypost::degradation {

/// What a level restricts, as data: whoever owns a restricted function reads it here, and this module calls
/// none of them. The default is full service.
struct Restrictions {
  bool allowsHedging = true;       ///< Hedged requests may be sent.
  double healthCheckFraction = 1;  ///< Of the usual health checks; 0 to 1.
  bool admitsByPriority =
      false;  ///< Admission in the order of priority weight; tenants over their quota last.
  bool rejectsBeforeBody = false;  ///< What can't be served in time is rejected before its body is read.
  double minPriorityWeight = 0;    ///< Of the greatest weight that a class has, 0 to 1: less is rejected.
};

/// The restrictions of a level. A stricter level restricts no less in any of them.
[[nodiscard]] Restrictions restrictionsAt(Level level);

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_RESTRICTIONS_H_
