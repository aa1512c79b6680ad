// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// One state machine for all that begins and ends a sidecar's service: its start, the operators' drain,
// SIGTERM, and its replacement by another process on the same listening socket. No sockets, no clock: the
// sidecar tells it what happens, and does what effects() says until nextChange().
//
// Guards against a second copy of these rules: GET /ready, the operators' console, the server's connections
// and the signals all go by the same effects.
#ifndef IVYPOST_LIFECYCLE_LIFECYCLE_H_
#define IVYPOST_LIFECYCLE_LIFECYCLE_H_

#include <cstdint>
#include <optional>

namespace ivypost::lifecycle {

using Micros = std::int64_t;

enum class State : std::uint8_t {
  Starting,  // says no until it can serve; only where another process may serve meanwhile
  Ready,
  Draining,  // operators have sent the clients away; the process runs on
  Stopping,  // SIGTERM has come; final
};
const char* nameOf(State state);

enum class Event : std::uint8_t {
  EndpointListReceived,  // a list of upstreams has come from discovery
  DrainRequested,        // the operators' calls
  DrainCancelled,
  TerminationRequested,  // SIGTERM
  TimerExpired,          // nextChange() has passed
};

// What holds from now on.
struct Effects {
  bool isReady = false;                // GET /ready and the console say yes
  bool acceptsConnections = false;     // connections are taken from the listening socket
  bool keepsConnections = false;       // an answer leaves its connection open
  bool closesIdleConnections = false;  // connections on which nothing has come are closed, again and again
  bool acceptsRequests = true;         // requests are taken; else refused at once, and heads cut short
  bool mayExit = false;                // the process ends when nothing is open any more
  bool mustExit = false;               // it ends whatever is open
  bool sendsFinalResponses =
      false;  // whatever is owed an answer gets its final one now; nothing more is taken
  bool operator==(const Effects&) const = default;
};

struct Settings {
  // The listening socket is the platform's: another process may accept from it too, before this one is ready
  // and after it stops.
  bool sharesListeningSocket = false;
  // Upstreams are known from the platform's last list.
  bool hasEndpoints = false;
  // The longest deadline of all classes of requests, in microseconds: SIGKILL follows SIGTERM after this and
  // kKillDelay. None or 0: no deadline is known, and kMaxCountedDeadline holds; so it does for a longer one.
  std::optional<Micros> longestDeadline = std::nullopt;
};

class Lifecycle {
 public:
  Lifecycle(const Settings& settings, Micros now);

  // False: a call that can't be followed in this state; nothing has changed. Repeated calls are followed and
  // change nothing.
  bool handle(Event event, Micros now);

  State state() const { return state_; }
  const Effects& effects() const { return effects_; }
  // When effects() change by time alone: the caller gives a Tick then. None: they don't.
  std::optional<Micros> nextChange() const { return nextChange_; }

  // A new process waits so long for discovery where it knows upstreams already, and where it knows none: the
  // platform gives it 6 s in all.
  static constexpr Micros kDiscoveryTimeoutWithEndpoints = 1'000'000;
  static constexpr Micros kDiscoveryTimeoutWithoutEndpoints = 4'000'000;
  // The front goes on sending new connections for 0.3 s after a drain begins, and clients use theirs: for so
  // long answers alone end connections, so that hardly a request crosses a close.
  static constexpr Micros kDrainIdleCloseDelay = 1'000'000;
  // At 4 s nothing of the last 2 s may be held, whatever the deadlines, so what comes from here on is
  // refused; also where the process is held up right before it.
  static constexpr Micros kDrainRequestPeriod = 1'800'000;
  // Where nobody else listens, new connections go on coming for up to 0.4 s after SIGTERM.
  static constexpr Micros kStopAcceptPeriod = 500'000;
  // What a client has on its way when the last connection is accepted.
  static constexpr Micros kStopLinger = 200'000;
  // SIGKILL comes no sooner after SIGTERM than the longest deadline, of which no more than
  // kMaxCountedDeadline counts, and kKillDelay.
  static constexpr Micros kMaxCountedDeadline = 3'000'000;
  static constexpr Micros kKillDelay = 700'000;
  // The process may be held up for so long between reading its clock and acting by it.
  static constexpr Micros kMaxSchedulingDelay = 150'000;
  // What ending itself takes: the last writes, and the end of the loop.
  static constexpr Micros kExitMargin = 50'000;
  // Final answers are written so long before the end: the kernel has them, and what clients still send is
  // read, since a close over unread bytes would reset the connection and the answer with it.
  static constexpr Micros kFinalResponseLead = 100'000;
  // Where the process was held up as they were due, the end waits at least this long behind them.
  static constexpr Micros kMinFinalResponsePeriod = 20'000;

  // After SIGTERM: when all that is open gets its final answer, and when the process ends.
  Micros finalResponseDelay() const { return exitDelay() - kFinalResponseLead; }
  Micros exitDelay() const;

 private:
  void enter(State state, Micros now);
  void update(Micros now);

  const Settings settings_;
  const Micros startedAt_;
  State state_ = State::Starting;
  Micros stateEnteredAt_ = 0;               // in this state
  std::optional<Micros> finalResponsesAt_;  // when all was given its final answer
  bool hasEndpointList_ = false;
  Effects effects_;
  std::optional<Micros> nextChange_;
};

}  // namespace ivypost::lifecycle

#endif  // IVYPOST_LIFECYCLE_LIFECYCLE_H_
