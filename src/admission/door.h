// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Who may hold one of the sidecar's few places for client connections: whose connection is kept after an
// answer, who gives way when all places are taken, and how much of them may be at work at once. No I/O and no
// clock: the server tells it what its connections do, and asks.
//
// Guards against a door that is blocked by connections nobody uses (incident r88fa20: 211 clients asked
// `GET /ready` once each and then held all places, while 2,000 others stood in the kernel's queue).
#ifndef IVYPOST_ADMISSION_DOOR_H_
#define IVYPOST_ADMISSION_DOOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

namespace ivypost::admission {

using Micros = std::int64_t;
using VisitorId = std::uint64_t;

struct DoorSettings {
  std::size_t places = 0;  // connections held at once, those that are being ended among them; at least 1
  // An answer ends its connection when more than this part of the places is taken; no matter how the client
  // has used it, and if it has used it again within keepIdle. The protocol lets either side end a connection
  // with its answer. 1: never.
  double keepAny = 0.5, keepUsed = 0.8;
  // Beyond this part at work, new requests are refused at once: what is left of the places keeps the door
  // open for refusals. 1: no such limit.
  double work = 0.9;
  // One that has sent nothing since it came gives way after so long, one between requests after so long.
  // The platform asks for no less; a client that is closed on sends its request once more.
  Micros keepSilent = 100'000, keepIdle = 2'000'000;
};

class Door {
 public:
  enum class State : std::uint8_t {
    Silent,   // has sent nothing yet
    Idle,     // between requests
    Working,  // from a request's first byte to its answer's last
    Leaving,  // answered for the last time; what it still sends is read and dropped
  };
  struct Visitor {
    VisitorId id = 0;
    State state = State::Silent;
    Micros since = 0;            // in this state
    std::uint32_t requests = 0;  // begun; stays at its highest value
    Micros lastGap = 0;          // between the last two requests, idle
  };
  // Valid until leave().
  using Place = std::list<Visitor>::iterator;

  explicit Door(const DoorSettings& settings) : settings_(settings) {}
  // Whoever is inside stays.
  void adopt(const DoorSettings& settings) { settings_ = settings; }

  std::size_t places() const { return settings_.places; }

  bool full() const { return taken_ >= settings_.places; }
  std::size_t taken() const { return taken_; }
  std::size_t count(State state) const { return of(state).size(); }

  // A connection was accepted; also when full, since the kernel may have to be emptied at a stop.
  Place enter(VisitorId id, Micros now);
  void begin(Place place, Micros now);
  // Its answer is about to be written: whether the connection is to be kept after it.
  bool keeps(Place place) const;
  void rest(Place place, Micros now);
  void end(Place place, Micros now);
  void leave(Place place);

  // Whether a request that has been read may go on to be served, and not be refused for want of places.
  bool mayWork() const;

  // Who gives way when all places are taken, in this order, kCandidates at the most: those that are leaving
  // (if all that was sent to them has arrived, which the caller has to look up), the silent, the idle; each
  // the longest first. The caller closes the first that is still so.
  std::vector<VisitorId> candidates(Micros now) const;
  // When the next one may give way by time alone, if nothing happens; at least kLeastWait from now.
  Micros nextCandidateAt(Micros now) const;

  static constexpr std::size_t kCandidates = 16;
  static constexpr Micros kLeastWait = 1'000;
  static constexpr Micros kMostWait = 100'000;

 private:
  const std::list<Visitor>& of(State state) const { return lists_[static_cast<std::size_t>(state)]; }
  std::list<Visitor>& of(State state) { return lists_[static_cast<std::size_t>(state)]; }
  void move(Place place, State state, Micros now);

  DoorSettings settings_;
  std::array<std::list<Visitor>, 4> lists_;  // by state, the longest in it first
  std::size_t taken_ = 0;
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_DOOR_H_
