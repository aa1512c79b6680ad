// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_CONNECTION_LIMITER_H_
#define IVYPOST_ADMISSION_CONNECTION_LIMITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

#include "admission/time.h"

namespace ivypost::admission {

/// The caller's number of a client connection, never given twice.
using ConnectionId = std::uint64_t;

/// What a ConnectionLimiter goes by. Fractions are of maxConnections. The reasons for the defaults are in
/// docs/design/reduced-service.md.
struct ConnectionLimiterSettings {
  // The fields name their defaults.
  // NOLINTBEGIN(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
  /// Client connections at once, those that are closing among them; at least 1.
  std::size_t maxConnections = 0;
  /// Up to this fraction open, a response leaves any connection open. 1: always. The protocol lets either
  /// side end a connection with its response.
  double keepAnyFraction = 0.5;
  /// Up to this fraction open, a response leaves a connection open that its client has used again within
  /// idleTimeout; no less than keepAnyFraction. 1: always.
  double keepReusedFraction = 0.8;
  /// Beyond this fraction active, new requests are rejected at once: the rest of the slots takes connections
  /// whose requests are rejected. 1: no such limit.
  double activeFraction = 0.9;
  /// A connection that has sent nothing since it was accepted may be evicted after this time.
  Micros silentTimeout = 100'000;
  /// One between requests may be evicted after this time. The platform asks for no less; a client whose
  /// connection closes under its request sends it once more.
  Micros idleTimeout = 2'000'000;
  // NOLINTEND(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
};

/// Decides who may hold one of the sidecar's few slots for client connections: whose connection is left open
/// after a response, who is evicted when all slots are taken, and how many may be active at once. No I/O and
/// no clock: the listener and the client sessions notify it of what connections do.
///
/// Invariant: each connection is in the list of its state alone, and each list is in the order in which its
/// connections came to that state. The caller's monotonic clock counts. Guards against slots that nobody uses
/// (incident r88fa20: 211 clients asked `GET /ready` once each and then held all slots, while 2,000 others
/// stood in the kernel's accept queue).
class ConnectionLimiter {
 public:
  /// What a connection does.
  enum class State : std::uint8_t {
    Silent,   ///< has sent nothing yet
    Idle,     ///< between requests
    Active,   ///< from a request's first byte to its response's last
    Closing,  ///< its last response is written; what it still sends is read and dropped
  };
  /// A client connection as the limiter knows it.
  struct Connection {
    /// The caller's number.
    ConnectionId id = 0;
    /// What it does now.
    State state = State::Silent;
    /// When it came to that state.
    Micros since = 0;
    /// Requests that were begun; stays at its highest value.
    std::uint32_t requests = 0;
    /// The time between its last two requests, or ahead of its first.
    Micros lastIdleTime = 0;
  };
  /// Refers to a connection that holds a slot. Valid from insert() to release().
  using Slot = std::list<Connection>::iterator;

  /// Eviction candidates at once: each costs the caller a system call or two.
  static constexpr std::size_t kMaxCandidates = 16;
  /// nextEvictionAt() is no sooner: a closing connection is a candidate at all times, and asking without
  /// pause would take the core.
  static constexpr Micros kMinWait = 1'000;
  /// nextEvictionAt() is no later: where no time is due, the caller asks again.
  static constexpr Micros kMaxWait = 100'000;

  /// Takes valid settings.
  explicit ConnectionLimiter(const ConnectionLimiterSettings& settings) : settings_(settings) {}
  /// Goes by other settings from now on. Connections stay, also beyond a lower limit.
  void apply(const ConnectionLimiterSettings& settings) { settings_ = settings; }

  /// The limit of the settings.
  [[nodiscard]] std::size_t maxConnections() const { return settings_.maxConnections; }
  /// Whether the limit is reached, or exceeded.
  [[nodiscard]] bool isFull() const { return size_ >= settings_.maxConnections; }
  /// Connections that hold a slot.
  [[nodiscard]] std::size_t size() const { return size_; }
  /// Connections in this state.
  [[nodiscard]] std::size_t count(State state) const { return listOf(state).size(); }

  /// A connection was accepted at `now`; it is silent. Also beyond the limit, since the kernel's queue may
  /// have to be emptied when the process stops.
  [[nodiscard]] Slot insert(ConnectionId id, Micros now);
  /// The first byte of a request has come. Does nothing for an active connection. Allocates nothing, as the
  /// next two.
  void beginRequest(Slot slot, Micros now);
  /// The response is written, and the connection left open.
  void beginIdle(Slot slot, Micros now);
  /// The last response is written.
  void beginClosing(Slot slot, Micros now);
  /// The connection is closed. `slot` is not valid any more.
  void release(Slot slot);

  /// Whether the response that is about to be written leaves the connection open.
  [[nodiscard]] bool keepsAlive(Slot slot) const;
  /// Whether a request that has been read may be forwarded; otherwise too many connections are active. One
  /// active connection always may.
  [[nodiscard]] bool admitsRequests() const;

  /// Connections to evict when the limit is reached, kMaxCandidates at the most: the closing ones (if all
  /// that was sent to them is acknowledged, which the caller has to find out), those that were silent, then
  /// those that were idle for longer than the settings' time; the longest first in each group. The caller
  /// closes the first that may still be closed.
  [[nodiscard]] std::vector<ConnectionId> evictionCandidates(Micros now) const;
  /// When the next connection may be evicted by time alone, if nothing happens: from kMinWait to kMaxWait
  /// after `now`.
  [[nodiscard]] Micros nextEvictionAt(Micros now) const;

 private:
  static constexpr std::size_t kStateCount = 4;

  [[nodiscard]] const std::list<Connection>& listOf(State state) const {
    return lists_.at(static_cast<std::size_t>(state));
  }
  [[nodiscard]] std::list<Connection>& listOf(State state) {
    return lists_.at(static_cast<std::size_t>(state));
  }
  void move(Slot slot, State state, Micros now);

  ConnectionLimiterSettings settings_;
  std::array<std::list<Connection>, kStateCount> lists_;  // by state, the longest in it first
  std::size_t size_ = 0;
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_CONNECTION_LIMITER_H_
