// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Who may hold one of the sidecar's few places for client connections: whose connection is kept after an
// answer, who gives way when all places are taken, and how much of them may be at work at once. No I/O and no
// clock: the server tells it what its connections do, and asks.
//
// Guards against a door that is blocked by connections nobody uses (incident r88fa20: 211 clients asked
// `GET /ready` once each and then held all places, while 2,000 others stood in the kernel's queue).
#ifndef IVYPOST_ADMISSION_CONNECTION_LIMITER_H_
#define IVYPOST_ADMISSION_CONNECTION_LIMITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

namespace ivypost::admission {

using Micros = std::int64_t;
using ConnectionId = std::uint64_t;

struct ConnectionLimiterSettings {
  std::size_t maxConnections =
      0;  // connections held at once, those that are being ended among them; at least 1
  // An answer ends its connection when more than this part of the places is taken; no matter how the client
  // has used it, and if it has used it again within idleTimeout. The protocol lets either side end a
  // connection with its answer. 1: never.
  double keepAnyFraction = 0.5, keepReusedFraction = 0.8;
  // Beyond this part at work, new requests are refused at once: what is left of the places keeps the door
  // open for refusals. 1: no such limit.
  double activeFraction = 0.9;
  // One that has sent nothing since it came gives way after so long, one between requests after so long.
  // The platform asks for no less; a client that is closed on sends its request once more.
  Micros silentTimeout = 100'000, idleTimeout = 2'000'000;
};

class ConnectionLimiter {
 public:
  enum class State : std::uint8_t {
    Silent,   // has sent nothing yet
    Idle,     // between requests
    Active,   // from a request's first byte to its answer's last
    Closing,  // answered for the last time; what it still sends is read and dropped
  };
  struct Connection {
    ConnectionId id = 0;
    State state = State::Silent;
    Micros since = 0;            // in this state
    std::uint32_t requests = 0;  // begun; stays at its highest value
    Micros lastIdleTime = 0;     // between the last two requests, idle
  };
  // Valid until leave().
  using Slot = std::list<Connection>::iterator;

  explicit ConnectionLimiter(const ConnectionLimiterSettings& settings) : settings_(settings) {}
  // Whoever is inside stays.
  void apply(const ConnectionLimiterSettings& settings) { settings_ = settings; }

  std::size_t maxConnections() const { return settings_.maxConnections; }

  bool isFull() const { return size_ >= settings_.maxConnections; }
  std::size_t size() const { return size_; }
  std::size_t count(State state) const { return listOf(state).size(); }

  // A connection was accepted; also when full, since the kernel may have to be emptied at a stop.
  Slot insert(ConnectionId id, Micros now);
  void beginRequest(Slot slot, Micros now);
  // Its answer is about to be written: whether the connection is to be kept after it.
  bool keepsAlive(Slot slot) const;
  void beginIdle(Slot slot, Micros now);
  void beginClosing(Slot slot, Micros now);
  void release(Slot slot);

  // Whether a request that has been read may go on to be served, and not be refused for want of places.
  bool admitsRequests() const;

  // Who gives way when all places are taken, in this order, kMaxCandidates at the most: those that are
  // leaving (if all that was sent to them has arrived, which the caller has to look up), the silent, the
  // idle; each the longest first. The caller closes the first that is still so.
  std::vector<ConnectionId> evictionCandidates(Micros now) const;
  // When the next one may give way by time alone, if nothing happens; at least kMinWait from now.
  Micros nextEvictionAt(Micros now) const;

  static constexpr std::size_t kMaxCandidates = 16;
  static constexpr Micros kMinWait = 1'000;
  static constexpr Micros kMaxWait = 100'000;

 private:
  const std::list<Connection>& listOf(State state) const { return lists_[static_cast<std::size_t>(state)]; }
  std::list<Connection>& listOf(State state) { return lists_[static_cast<std::size_t>(state)]; }
  void move(Slot slot, State state, Micros now);

  ConnectionLimiterSettings settings_;
  std::array<std::list<Connection>, 4> lists_;  // by state, the longest in it first
  std::size_t size_ = 0;
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_CONNECTION_LIMITER_H_
