// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_LIFECYCLE_LIFECYCLE_H_
#define IVYPOST_LIFECYCLE_LIFECYCLE_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace ivypost::lifecycle {

/// A duration in whole microseconds.
using Duration = std::chrono::microseconds;

/// A point in time of the caller's monotonic clock. The module reads no clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The state of the sidecar as a whole.
enum class State : std::uint8_t {
  Starting,  ///< Not ready to serve yet; used only if another process may serve meanwhile.
  Ready,     ///< Serves.
  Draining,  ///< Operators have requested a drain; the process keeps running.
  Stopping,  ///< SIGTERM was received; final.
};

/// The state in lower case, as in the admin API and the log.
[[nodiscard]] const char* nameOf(State state);

/// An event that the sidecar reports to the state machine.
enum class Event : std::uint8_t {
  EndpointListReceived,  ///< Discovery has sent an endpoint list.
  DrainRequested,        ///< The operators' call `evacuate`.
  DrainCancelled,        ///< The operators' call `rejoin`.
  TerminationRequested,  ///< SIGTERM.
  TimerExpired,          ///< Lifecycle::nextChange() has passed.
};

/// What the sidecar does, and may do, in the current state.
struct Effects {
  /// GET /ready and the admin API answer that the sidecar is ready.
  bool isReady = false;
  /// Connections are accepted from the listening socket. May change to false and back to true.
  bool acceptsConnections = false;
  /// The listening socket is closed. Holds until the process exits, as does `!acceptsConnections` with it.
  bool closesListeningSocket = false;
  /// Connections are kept alive after a response.
  bool keepsConnections = false;
  /// Idle connections are closed, in repeated sweeps.
  bool closesIdleConnections = false;
  /// Requests are accepted; otherwise they are rejected at once, and a request head must arrive within a
  /// short time.
  bool acceptsRequests = true;
  /// The process exits once every open connection is idle.
  bool mayExit = false;
  /// The process exits whether or not connections are in use.
  bool mustExit = false;
  /// Every pending request gets its final response now, and no further request is accepted.
  bool sendsFinalResponses = false;

  bool operator==(const Effects&) const = default;
};

/// The settings of a Lifecycle, fixed when the process starts.
struct Settings {
  /// The listening socket is inherited from the platform: another process may accept from it too, before this
  /// process is ready and after it stops.
  bool sharesListeningSocket = false;
  /// Endpoints are already known from the platform's last list.
  bool hasEndpoints = false;
  /// The longest deadline of all request classes: SIGKILL follows SIGTERM after this time plus
  /// Lifecycle::kKillDelay. None or not above 0: no deadline is known, and Lifecycle::kMaxCountedDeadline
  /// applies, as it does to longer deadlines.
  std::optional<Duration> longestDeadline = std::nullopt;
};

/// The state machine of a sidecar's lifecycle: its start, the operators' drain, SIGTERM, and its replacement
/// by another process on the same listening socket. No I/O and no clock: the caller reports events, applies
/// effects(), and reports Event::TimerExpired at nextChange().
///
/// The only implementation of these rules: GET /ready, the admin API, the server's connections and the
/// signals all use the same effects. Stopping is final. The state is local to this process.
class Lifecycle {
 public:
  /// How long a new process that already has endpoints waits for discovery. The platform gives a process 6 s
  /// in all to become ready.
  static constexpr Duration kDiscoveryTimeoutWithEndpoints{1'000'000};
  /// How long a new process without endpoints waits for discovery.
  static constexpr Duration kDiscoveryTimeoutWithoutEndpoints{4'000'000};
  /// From the beginning of a drain until idle connections are closed. The platform continues to open
  /// connections for 0.3 s, and clients continue to use the open ones: before this delay has passed, a
  /// connection is closed only after a response, so that hardly any request crosses a close.
  static constexpr Duration kDrainIdleCloseDelay{1'000'000};
  /// From the beginning of a drain until requests are rejected. The platform requires that, 4 s after the
  /// beginning, no request that arrived within the last 2 s is in flight, whatever its deadline. So requests
  /// are rejected before 2 s have passed; the margin covers kMaxSchedulingDelay.
  static constexpr Duration kDrainRequestPeriod{1'800'000};
  /// How long connections are accepted after SIGTERM if no other process listens: clients continue to connect
  /// for up to 0.4 s.
  static constexpr Duration kStopAcceptPeriod{500'000};
  /// The time after the last accept in which requests that clients have already sent can still arrive.
  static constexpr Duration kStopLinger{200'000};
  /// The upper limit of the longest deadline in the computation of the time of SIGKILL.
  static constexpr Duration kMaxCountedDeadline{3'000'000};
  /// SIGKILL follows SIGTERM no sooner than after the counted deadline plus this time.
  static constexpr Duration kKillDelay{700'000};
  /// The longest time that the process may be suspended between reading its clock and acting on it.
  static constexpr Duration kMaxSchedulingDelay{150'000};
  /// The time that the exit itself takes: the last writes, and the end of the event loop.
  static constexpr Duration kExitMargin{50'000};
  /// Final responses are written this long before the exit, so that the kernel can send them and remaining
  /// client input is read: a close over unread bytes would reset the connection and lose the response.
  static constexpr Duration kFinalResponseLead{100'000};
  /// The shortest time between final responses and exit, if the process was suspended when the responses were
  /// due.
  static constexpr Duration kMinFinalResponsePeriod{20'000};

  /// Starts at `now`: in Starting if the listening socket is shared, otherwise in Ready.
  Lifecycle(const Settings& settings, TimePoint now);

  /// Handles an event at `now`, which must not be earlier than that of the previous event. Returns false if
  /// the event is rejected in this state, in which case nothing has changed. A repeated event is accepted and
  /// changes nothing.
  bool handle(Event event, TimePoint now);

  /// The current state.
  [[nodiscard]] State state() const { return state_; }
  /// The effects of the current state.
  [[nodiscard]] const Effects& effects() const { return effects_; }
  /// When effects() next change without an event; none: they don't.
  [[nodiscard]] std::optional<TimePoint> nextChange() const { return nextChange_; }

  /// The time from SIGTERM until every open request gets its final response.
  [[nodiscard]] Duration finalResponseDelay() const { return exitDelay() - kFinalResponseLead; }
  /// The time from SIGTERM until the process must exit.
  [[nodiscard]] Duration exitDelay() const;

 private:
  void enter(State state, TimePoint now);
  void update(TimePoint now);
  bool hasElapsed(TimePoint start, Duration duration, TimePoint now);
  [[nodiscard]] bool waitsForEndpoints(TimePoint now);
  Effects effectsOfDraining(TimePoint now);
  Effects effectsOfStopping(TimePoint now);

  Settings settings_;
  TimePoint startedAt_;
  State state_ = State::Starting;
  TimePoint stateEnteredAt_;
  std::optional<TimePoint> finalResponsesAt_;  // when sendsFinalResponses began to hold
  bool hasEndpointList_ = false;
  Effects effects_;
  std::optional<TimePoint> nextChange_;
};

}  // namespace ivypost::lifecycle

#endif  // IVYPOST_LIFECYCLE_LIFECYCLE_H_
