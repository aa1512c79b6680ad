// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_RESTRICTIONS_H_
#define IVYPOST_DEGRADATION_RESTRICTIONS_H_

#include "degradation/level.h"

namespace ivypost::degradation {

/// The restrictions of a level, as data: the components that implement the restricted functions read them,
/// and this module calls none of those components. The default is full service.
struct Restrictions {
  bool allowsHedging = true;       ///< Hedged requests may be sent.
  double healthCheckFraction = 1;  ///< Fraction of the usual health checks to send; 0 to 1.
  bool admitsByPriority = false;   ///< Admission by priority weight, with tenants over their quota last.
  bool rejectsBeforeBody = false;  ///< Rejects requests that can't be served in time before reading the body.
  double minPriorityWeight = 0;    ///< Least admitted weight, as a fraction of the greatest one; 0 to 1.
};

/// The restrictions of a level. A stricter level relaxes none of the restrictions of a milder one.
[[nodiscard]] Restrictions restrictionsAt(Level level);

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_RESTRICTIONS_H_
