// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "balancer/discovery_polling.h"

#include <algorithm>

#include "balancer/load_information.h"

namespace ivypost::balancer::internal {
namespace {

// At the start, sidecars poll discovery in the order of their indices, kFleetCallGap microseconds apart, but
// all within kDiscoverySpread x pollWithin. The backoff after failed calls starts at the larger of
// kDiscoveryRetry x pollWithin and kSpreadRetry x the spread of the first polls, and grows to the larger of
// kDiscoveryLongest x pollWithin and kSpreadLongest x that spread.
constexpr double kFleetCallGap = 35'000;
constexpr double kDiscoverySpread = 0.5;
constexpr double kDiscoveryRetry = 1.0 / 32;
constexpr double kSpreadRetry = 0.25;
constexpr double kDiscoveryLongest = 0.25;
constexpr double kSpreadLongest = 1.5;
// For the backoff, pollWithin is raised to at least this multiple of Settings::resolution.
constexpr Micros kMinSteps = 32;

}  // namespace

void DiscoveryPolling::start(const EventContext& context) {
  const double phase = static_cast<double>(settings_.sidecar % settings_.sidecars) / settings_.sidecars;
  if (phase * spread() > 0) {
    pollLater(phase * spread(), context);
  } else {
    poll(context);
  }
}

void DiscoveryPolling::callFailed(const EventContext& context) {
  const auto pollWithin =
      static_cast<double>(std::max(settings_.pollWithin, kMinSteps * settings_.resolution));
  const double base = std::max(pollWithin * kDiscoveryRetry, spread() * kSpreadRetry);
  const double longest = std::max(pollWithin * kDiscoveryLongest, spread() * kSpreadLongest);
  if (!wait_.waits()) context.act(Log{"discovery lost: deciding on the last list"});
  pollLater(wait_.next(base, std::max(base, longest), context.random.uniform()), context);
}

void DiscoveryPolling::listReceived(const EventContext& context) {
  if (wait_.waits()) context.act(Log{"discovery is back"});
  wait_.reset();
}

double DiscoveryPolling::spread() const {
  if (!settings_.mustSubscribe || settings_.sidecars <= kSmallFleetSidecars) return 0;
  return std::min(kDiscoverySpread * static_cast<double>(settings_.pollWithin),
                  kFleetCallGap * settings_.sidecars);
}

void DiscoveryPolling::pollLater(double delay, const EventContext& context) {
  context.deadlines.push({context.now + static_cast<Micros>(delay), 0, Wake::Kind::Discovery});
}

void DiscoveryPolling::poll(const EventContext& context) const {
  if (settings_.mustSubscribe) {
    context.act(Subscribe{});
  } else {
    context.act(Fetch{});
  }
}

}  // namespace ivypost::balancer::internal
