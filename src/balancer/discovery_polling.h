// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_DISCOVERY_POLLING_H_
#define IVYPOST_BALANCER_DISCOVERY_POLLING_H_

#include "balancer/event_context.h"
#include "ivypost/balancer.h"
#include "util/backoff.h"

namespace ivypost::balancer::internal {

/// When discovery is asked for the endpoint list: at the start, and again after calls that failed,
/// spread so that a fleet which starts or loses discovery together does not ask together.
class DiscoveryPolling {
 public:
  /// `settings` must outlive it.
  explicit DiscoveryPolling(const Settings& settings) : settings_(settings) {}

  /// The sidecar has its saved list, which may be stale.
  void start(const EventContext& context);
  /// A call failed: the next one comes after a backoff with decorrelated jitter.
  void callFailed(const EventContext& context);
  /// A list has come.
  void listReceived(const EventContext& context);
  /// Asks now: Subscribe where changes come only so (Settings::mustSubscribe), else Fetch.
  void poll(const EventContext& context) const;

 private:
  [[nodiscard]] double spread() const;
  static void pollLater(double delay, const EventContext& context);

  const Settings& settings_;
  util::DecorrelatedJitter wait_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DISCOVERY_POLLING_H_
