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
  bool answersAll = false;  // whatever is owed an answer gets its final one now; nothing more is taken
  bool operator==(const Effects&) const = default;
};

struct Settings {
  // The listening socket is the platform's: another process may accept from it too, before this one is ready
  // and after it stops.
  bool inherited = false;
  // Upstreams are known from the platform's last list.
  bool known = false;
  // The longest deadline of all classes of requests, in microseconds: SIGKILL follows SIGTERM after this and
  // kKillDelay. None or 0: no deadline is known, and kLongestDeadline holds; so it does for a longer one.
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
  static constexpr Micros kWaitKnown = 1'000'000;
  static constexpr Micros kWaitUnknown = 4'000'000;
  // The front goes on sending new connections for 0.3 s after a drain begins, and clients use theirs: for so
  // long answers alone end connections, so that hardly a request crosses a close.
  static constexpr Micros kDrainIdle = 1'000'000;
  // At 4 s nothing of the last 2 s may be held, whatever the deadlines, so what comes from here on is
  // refused; also where the process is held up right before it.
  static constexpr Micros kDrainTakes = 1'800'000;
  // Where nobody else listens, new connections go on coming for up to 0.4 s after SIGTERM.
  static constexpr Micros kAcceptAfterStop = 500'000;
  // What a client has on its way when the last connection is accepted.
  static constexpr Micros kLinger = 200'000;
  // SIGKILL comes no sooner after SIGTERM than the longest deadline, of which no more than kLongestDeadline
  // counts, and kKillDelay.
  static constexpr Micros kLongestDeadline = 3'000'000;
  static constexpr Micros kKillDelay = 700'000;
  // The process may be held up for so long between reading its clock and acting by it.
  static constexpr Micros kHoldUp = 150'000;
  // What ending itself takes: the last writes, and the end of the loop.
  static constexpr Micros kEndMargin = 50'000;
  // Final answers are written so long before the end: the kernel has them, and what clients still send is
  // read, since a close over unread bytes would reset the connection and the answer with it.
  static constexpr Micros kAnswersAhead = 100'000;
  // Where the process was held up as they were due, the end waits at least this long behind them.
  static constexpr Micros kAnswersAtLeast = 20'000;

  // After SIGTERM: when all that is open gets its final answer, and when the process ends.
  Micros answersAfter() const { return stopWithin() - kAnswersAhead; }
  Micros stopWithin() const;

 private:
  void enter(State state, Micros now);
  void update(Micros now);

  const Settings settings_;
  const Micros startedAt_;
  State state_ = State::Starting;
  Micros since_ = 0;                // in this state
  std::optional<Micros> answered_;  // when all was given its final answer
  bool listed_ = false;
  Effects effects_;
  std::optional<Micros> nextChange_;
};

}  // namespace ivypost::lifecycle

#endif  // IVYPOST_LIFECYCLE_LIFECYCLE_H_
