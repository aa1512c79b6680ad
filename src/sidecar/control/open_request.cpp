// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/open_request.h"

#include <algorithm>
#include <chrono>

namespace ivypost {
namespace {

using balancer::Outcome;
using std::chrono::microseconds;

// A retry is written at least this long before its window ends, so that it arrives within the window.
constexpr microseconds kWindowMargin{10'000};

}  // namespace

Clock::time_point writeDeadline(const OpenRequest& request, const balancer::RequestClass& requestClass,
                                Clock::time_point deadline) {
  if (requestClass.semantics != balancer::Semantics::Keyed) return deadline;
  for (const AttemptRecord& earlier : request.attempts) {
    if (!earlier.mayHaveRun || earlier.writtenAt == Clock::time_point{}) continue;
    deadline = std::min(deadline, earlier.writtenAt + microseconds(requestClass.retryWindow) - kWindowMargin);
  }
  return deadline;
}

bool provesNeverRan(Outcome outcome) {
  return outcome == Outcome::Full || outcome == Outcome::ConnectFailed || outcome == Outcome::Moot;
}

}  // namespace ivypost
