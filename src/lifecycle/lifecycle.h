// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_LIFECYCLE_LIFECYCLE_H_
#define IVYPOST_LIFECYCLE_LIFECYCLE_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace ivypost::lifecycle {

/// A span of time as the decisions take it: whole microseconds.
using Duration = std::chrono::microseconds;

/// A moment on the caller's monotonic clock. The module reads no clock of its own.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// What the sidecar is doing as a whole.
enum class State : std::uint8_t {
  Starting,  ///< Not ready until it can serve; only where another process may serve meanwhile.
  Ready,     ///< Serves.
  Draining,  ///< Operators have sent the clients away; the process goes on running.
  Stopping,  ///< SIGTERM has come; final.
};

/// The state in small letters, as operators and logs see it.
[[nodiscard]] const char* nameOf(State state);

/// What the sidecar tells the state machine.
enum class Event : std::uint8_t {
  EndpointListReceived,  ///< Discovery has sent an endpoint list.
  DrainRequested,        ///< The operators' call `evacuate`.
  DrainCancelled,        ///< The operators' call `rejoin`.
  TerminationRequested,  ///< SIGTERM.
  TimerExpired,          ///< Lifecycle::nextChange() has passed.
};

/// What holds from now on.
struct Effects {
  /// GET /ready and the admin API answer that the sidecar is ready.
  bool isReady = false;
  /// Connections are accepted from the listening socket.
  bool acceptsConnections = false;
  /// A response leaves its connection open.
  bool keepsConnections = false;
  /// Connections on which no request has begun are closed, again and again.
  bool closesIdleConnections = false;
  /// Requests are accepted; else they are rejected at once, and request heads that are not complete are cut
  /// short.
  bool acceptsRequests = true;
  /// The process exits once no connection is open.
  bool mayExit = false;
  /// The process exits whatever is open.
  bool mustExit = false;
  /// Every request that is owed a response gets its final one now, and no further request is accepted.
  bool sendsFinalResponses = false;

  bool operator==(const Effects&) const = default;
};

/// What is known when the process starts.
struct Settings {
  /// The listening socket is inherited from the platform: another process may accept from it too, before this
  /// one is ready and after it stops.
  bool sharesListeningSocket = false;
  /// Endpoints are known already, from the platform's last list.
  bool hasEndpoints = false;
  /// The longest deadline of all classes of requests: SIGKILL follows SIGTERM after this and
  /// Lifecycle::kKillDelay. None, or not above 0: no deadline is known, and Lifecycle::kMaxCountedDeadline
  /// holds, as it does for a longer one.
  std::optional<Duration> longestDeadline = std::nullopt;
};

/// The one state machine for all that begins and ends a sidecar's service: its start, the operators' drain,
/// SIGTERM, and its replacement by another process on the same listening socket. No I/O and no clock: the
/// caller reports events, does what effects() says, and reports Event::TimerExpired at nextChange().
///
/// These rules are kept nowhere else: GET /ready, the admin API, the server's connections and the signals all
/// go by the same effects. Stopping is final. Its state belongs to this process alone.
class Lifecycle {
 public:
  /// How long a new process waits for discovery where it has endpoints already. The platform gives a process
  /// 6 s in all to become ready.
  static constexpr Duration kDiscoveryTimeoutWithEndpoints{1'000'000};
  /// The same where it has none.
  static constexpr Duration kDiscoveryTimeoutWithoutEndpoints{4'000'000};
  /// From the beginning of a drain until idle connections are closed. The platform goes on sending new
  /// connections for 0.3 s, and clients use theirs: until then only responses end connections, so that hardly
  /// a request crosses a close.
  static constexpr Duration kDrainIdleCloseDelay{1'000'000};
  /// From the beginning of a drain until requests are rejected. The platform wants no request of the last
  /// 2 s in flight at 4 s, whatever its deadline; the margin below 2 s covers kMaxSchedulingDelay.
  static constexpr Duration kDrainRequestPeriod{1'800'000};
  /// Where no other process listens, new connections go on coming for up to 0.4 s after SIGTERM.
  static constexpr Duration kStopAcceptPeriod{500'000};
  /// What a client has on its way when the last connection is accepted.
  static constexpr Duration kStopLinger{200'000};
  /// The most of the longest deadline that counts towards the time of SIGKILL.
  static constexpr Duration kMaxCountedDeadline{3'000'000};
  /// SIGKILL comes no sooner after SIGTERM than the counted deadline and this.
  static constexpr Duration kKillDelay{700'000};
  /// The longest that the process may be suspended between reading its clock and acting on it.
  static constexpr Duration kMaxSchedulingDelay{150'000};
  /// What exiting itself takes: the last writes, and the end of the event loop.
  static constexpr Duration kExitMargin{50'000};
  /// Final responses are written this long before the exit: the kernel has them by then, and what clients
  /// still send is read, since a close over unread bytes would reset the connection and lose the response.
  static constexpr Duration kFinalResponseLead{100'000};
  /// Where the process was suspended as they were due, the exit comes at least this long behind them.
  static constexpr Duration kMinFinalResponsePeriod{20'000};

  /// Starts at `now`: in Starting where the listening socket is shared, else in Ready.
  Lifecycle(const Settings& settings, TimePoint now);

  /// Handles an event at `now`, no earlier than the previous one. False: the event is rejected in this state,
  /// and nothing has changed. A repeated event is accepted and changes nothing.
  bool handle(Event event, TimePoint now);

  /// The current state.
  [[nodiscard]] State state() const { return state_; }
  /// What holds in it.
  [[nodiscard]] const Effects& effects() const { return effects_; }
  /// When effects() change by time alone. None: they don't.
  [[nodiscard]] std::optional<TimePoint> nextChange() const { return nextChange_; }

  /// From SIGTERM until every open request gets its final response.
  [[nodiscard]] Duration finalResponseDelay() const { return exitDelay() - kFinalResponseLead; }
  /// From SIGTERM until the process has to exit.
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
