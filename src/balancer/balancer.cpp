// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// Dispatches events to the components that decide. The interface (settings, events, actions) is
// include/ivypost/balancer.h.
#include "ivypost/balancer.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "balancer/deadline.h"
#include "balancer/decisions.h"
#include "balancer/discovery_polling.h"
#include "balancer/event_context.h"
#include "balancer/load_information.h"
#include "balancer/random_source.h"
#include "balancer/request_lifecycle.h"
#include "util/bounded_math.h"

namespace ivypost::balancer {

using internal::Decisions;
using internal::EventContext;
using internal::Wake;

/// Validates each event, passes it to the components that it concerns, retries held requests, and arms the
/// timer.
class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now)
      : decisions_(settings, now), random_(seed), now_(now) {}

  void handle(const Event& event, Micros now, std::vector<Action>& actions) {
    validate(event);
    now_ = std::max(now_, now);
    const bool lacksLoadInformation =
        internal::lacksLoadInformation(decisions_.settings, decisions_.latency, decisions_.sendRate,
                                       decisions_.endpoints.listed().size(), now_);
    const EventContext context{now_, lacksLoadInformation, actions, random_, deadlines_};
    std::visit([&](const auto& e) { on(e, context); }, event);
    lifecycle_.serveHeld(context);
    if (const auto timer = deadlines_.arm(now_)) context.act(*timer);
  }

  [[nodiscard]] std::uint32_t inFlight(EndpointId id) const {
    return decisions_.endpoints.contains(id) ? decisions_.endpoints[id].inFlight : 0;
  }
  [[nodiscard]] bool ready(EndpointId id, Micros now) const {
    return decisions_.endpoints.contains(id) && decisions_.readiness.isReady(decisions_.endpoints[id], now);
  }
  [[nodiscard]] std::optional<EndpointId> remembered() const { return decisions_.selection.remembered(); }
  [[nodiscard]] std::size_t openRequests() const { return lifecycle_.open(); }
  [[nodiscard]] std::size_t heldRequests() const { return decisions_.loadShedding.size(); }

 private:
  void validate(const Event& event) const {
    if (const auto* update = std::get_if<MembershipUpdate>(&event)) return validate(*update);
    if (!hasReceivedList_) throw std::invalid_argument("event before the first list");
    if (const auto* request = std::get_if<NewRequest>(&event)) lifecycle_.validate(*request);
    if (const auto* outcome = std::get_if<AttemptOutcome>(&event)) lifecycle_.validate(*outcome);
  }

  void validate(const MembershipUpdate& update) const {
    for (const EndpointEntry& entry : update.entries) {
      if (entry.zone >= decisions_.settings.zones || entry.kind >= decisions_.settings.kinds ||
          entry.size < 0 || !std::isfinite(entry.size))
        throw std::invalid_argument("list entry outside the settings");
    }
  }

  void on(const MembershipUpdate& update, const EventContext& context) {
    const bool first = !hasReceivedList_;
    hasReceivedList_ = true;
    if (update.kind == MembershipUpdate::Kind::Failed) return discovery_.callFailed(context);
    discovery_.listReceived(context);
    for (const EndpointId id :
         decisions_.endpoints.apply(update, decisions_.concurrencyLimit.startLimit(), random_))
      decisions_.subset.closeDraining(id, context);
    decisions_.selection.forgetUnlisted();
    if (first || update.kind == MembershipUpdate::Kind::Saved) discovery_.start(context);
  }

  void on(const ReducedService& event, const EventContext&) {
    decisions_.reducedService = event;
    decisions_.reducedService.probeFraction = util::within(event.probeFraction, 0, 1);
  }

  void on(const HealthReport& event, const EventContext& context) {
    decisions_.outlierDetection.apply(event, context);
  }

  void on(const TimerDue&, const EventContext& context) {
    deadlines_.timerFired(now_);
    while (const auto wake = deadlines_.popDue(now_)) {
      switch (wake->kind) {
        case Wake::Kind::Discovery:
          discovery_.poll(context);
          break;
        case Wake::Kind::CloseDraining:
          decisions_.subset.closeDrainingAgain(static_cast<EndpointId>(wake->request), context);
          break;
        case Wake::Kind::Ready:
          break;  // held requests are retried after every event
        case Wake::Kind::ProbeTimeout:
        case Wake::Kind::Hold:
        case Wake::Kind::Deadline:
          lifecycle_.onDeadline(*wake, context);
          break;
      }
    }
  }

  /// Events of a request, or of a probe that a request waits for.
  template <class RequestEvent>
  void on(const RequestEvent& event, const EventContext& context) {
    lifecycle_.on(event, context);
  }

  Decisions decisions_;
  internal::RandomSource random_;
  internal::Deadlines deadlines_;
  internal::DiscoveryPolling discovery_{decisions_.settings};
  internal::RequestLifecycle lifecycle_{decisions_};
  Micros now_;
  bool hasReceivedList_ = false;  // the first endpoint list has been received
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(const Event& event, Micros now, std::vector<Action>& actions) {
  impl_->handle(event, now, actions);
}
std::uint32_t Balancer::inFlight(EndpointId upstream) const {
  return impl_->inFlight(upstream);
}
bool Balancer::ready(EndpointId upstream, Micros now) const {
  return impl_->ready(upstream, now);
}
std::optional<EndpointId> Balancer::remembered() const {
  return impl_->remembered();
}
std::size_t Balancer::openRequests() const {
  return impl_->openRequests();
}
std::size_t Balancer::heldRequests() const {
  return impl_->heldRequests();
}

}  // namespace ivypost::balancer
