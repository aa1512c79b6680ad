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
  Listed,    // a list of upstreams has come from discovery
  Evacuate,  // the operators' calls
  Rejoin,
  Terminate,  // SIGTERM
  Tick,       // nextChange() has passed
};

// What holds from now on.
struct Effects {
  bool ready = false;       // GET /ready and the console say yes
  bool accepts = false;     // connections are taken from the listening socket
  bool keeps = false;       // an answer leaves its connection open
  bool closesIdle = false;  // connections on which nothing has come are closed, again and again
  bool takes = true;        // requests are taken; else refused at once, and heads cut short
  bool mayEnd = false;      // the process ends when nothing is open any more
  bool mustEnd = false;     // it ends whatever is open
  bool operator==(const Effects&) const = default;
};

struct Settings {
  // The listening socket is the platform's: another process may accept from it too, before this one is ready
  // and after it stops.
  bool inherited = false;
  // Upstreams are known from the platform's last list.
  bool known = false;
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
  static constexpr Micros kWaitKnown = 1'000'000;
  static constexpr Micros kWaitUnknown = 4'000'000;
  // The front goes on sending new connections for 0.3 s after a drain begins, and clients use theirs: for so
  // long answers alone end connections, so that hardly a request crosses a close.
  static constexpr Micros kDrainIdle = 1'000'000;
  // At 4 s nothing of the last 2 s may be held, so what comes from here on is refused.
  static constexpr Micros kDrainTakes = 1'900'000;
  // Where nobody else listens, new connections go on coming for up to 0.4 s after SIGTERM.
  static constexpr Micros kAcceptAfterStop = 500'000;
  // What a client has on its way when the last connection is accepted.
  static constexpr Micros kLinger = 200'000;
  // SIGKILL comes no sooner than the longest deadline (3 s) and 0.7 s after SIGTERM.
  static constexpr Micros kStopWithin = 3'600'000;

 private:
  void enter(State state, Micros now);
  void update(Micros now);

  const Settings settings_;
  const Micros startedAt_;
  State state_ = State::Starting;
  Micros since_ = 0;  // in this state
  bool listed_ = false;
  Effects effects_;
  std::optional<Micros> nextChange_;
};

}  // namespace ivypost::lifecycle

#endif  // IVYPOST_LIFECYCLE_LIFECYCLE_H_
