// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_BALANCER_DISCOVERY_POLLING_H_
#define IVYPOST_BALANCER_DISCOVERY_POLLING_H_

#include "balancer/event_context.h"
#include "ivypost/balancer.h"
#include "util/backoff.h"

namespace ivypost::balancer::internal {

/// Decides when discovery is polled for the endpoint list: at the start, and again after failed calls. The
/// polls are spread in time, so that a fleet that starts or loses discovery at once doesn't poll at once.
class DiscoveryPolling {
 public:
  /// `settings` must outlive the object.
  explicit DiscoveryPolling(const Settings& settings) : settings_(settings) {}

  /// To be called when the saved list was received, which may be stale: schedules the first poll.
  void start(const EventContext& context);
  /// To be called when a call failed: schedules the next one after a backoff with decorrelated jitter.
  void callFailed(const EventContext& context);
  /// To be called when a list was received: resets the backoff.
  void listReceived(const EventContext& context);
  /// Polls now: by Subscribe if changes arrive only that way (Settings::mustSubscribe), else by Fetch.
  void poll(const EventContext& context) const;

 private:
  [[nodiscard]] double spread() const;
  static void pollLater(double delay, const EventContext& context);

  const Settings& settings_;
  util::DecorrelatedJitter wait_;
};

}  // namespace ivypost::balancer::internal

#endif  // IVYPOST_BALANCER_DISCOVERY_POLLING_H_
