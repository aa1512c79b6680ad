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

/// The caller's id of a client connection, which is never reused.
using ConnectionId = std::uint64_t;

/// The settings of a ConnectionLimiter. Fractions are of maxConnections. The reasons for the defaults are in
/// docs/design/reduced-service.md.
struct ConnectionLimiterSettings {
  // The fields name their defaults.
  // NOLINTBEGIN(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
  /// The most concurrent client connections, including those that are closing; at least 1.
  std::size_t maxConnections = 0;
  /// While no more than this fraction of maxConnections is open, every connection is kept alive after a
  /// response. 1: always. The protocol lets either side close a connection after a response.
  double keepAnyFraction = 0.5;
  /// While no more than this fraction of maxConnections is open, a connection is kept alive if its client has
  /// reused it within idleTimeout; no less than keepAnyFraction. 1: always.
  double keepReusedFraction = 0.8;
  /// While more than this fraction of maxConnections is active, new requests are rejected at once: the
  /// remaining slots are for connections whose requests are rejected. 1: no such limit.
  double activeFraction = 0.9;
  /// A connection that has sent nothing since it was accepted may be evicted after this time.
  Micros silentTimeout = 100'000;
  /// A connection that is idle between requests may be evicted after this time. The platform requires that
  /// idle connections be kept for at least this time; a client whose request crosses the close sends the
  /// request again.
  Micros idleTimeout = 2'000'000;
  // NOLINTEND(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
};

/// Limits client connections: decides which are kept alive after a response, which are evicted when all slots
/// are taken, and how many may be active at once. No I/O and no clock: the listener and the client sessions
/// report the state changes of connections.
///
/// Invariant: each connection is only in the list of its state, and each list is in the order in which its
/// connections entered that state. All times are of the caller's monotonic clock. Prevents unused connections
/// from holding all slots (incident r88fa20: 211 clients each sent one `GET /ready` and then held all slots,
/// while 2,000 others waited in the kernel's accept queue).
class ConnectionLimiter {
 public:
  /// The state of a connection.
  enum class State : std::uint8_t {
    Silent,   ///< has sent nothing yet
    Idle,     ///< between requests
    Active,   ///< from a request's first byte to its response's last
    Closing,  ///< its last response is written; further input is read and discarded
  };
  /// A client connection as the limiter records it.
  struct Connection {
    /// The caller's id.
    ConnectionId id = 0;
    /// Its current state.
    State state = State::Silent;
    /// When it entered that state.
    Micros since = 0;
    /// Requests that were begun; saturates at the highest value.
    std::uint32_t requests = 0;
    /// The idle time before its latest request, in microseconds: since the response before, or since the
    /// accept.
    Micros lastIdleTime = 0;
  };
  /// Refers to a connection that holds a slot. Valid from insert() to release().
  using Slot = std::list<Connection>::iterator;

  /// The most eviction candidates per call: each costs the caller one or two system calls.
  static constexpr std::size_t kMaxCandidates = 16;
  /// The earliest nextEvictionAt() after `now`: a closing connection is always a candidate, and polling
  /// without a pause would use up the core.
  static constexpr Micros kMinWait = 1'000;
  /// The latest nextEvictionAt() after `now`: the caller polls at this interval if no connection is due
  /// earlier.
  static constexpr Micros kMaxWait = 100'000;

  /// The settings must be valid; they are not checked.
  explicit ConnectionLimiter(const ConnectionLimiterSettings& settings) : settings_(settings) {}
  /// Applies other settings. Connections stay open, even beyond a lower limit.
  void apply(const ConnectionLimiterSettings& settings) { settings_ = settings; }

  /// The connection limit.
  [[nodiscard]] std::size_t maxConnections() const { return settings_.maxConnections; }
  /// Whether the limit is reached or exceeded.
  [[nodiscard]] bool isFull() const { return size_ >= settings_.maxConnections; }
  /// Connections that hold a slot.
  [[nodiscard]] std::size_t size() const { return size_; }
  /// Connections in this state.
  [[nodiscard]] std::size_t count(State state) const { return listOf(state).size(); }

  /// Adds a silent connection that was accepted at `now`. Allowed beyond the limit, since the accept queue
  /// has to be emptied when the process stops.
  [[nodiscard]] Slot insert(ConnectionId id, Micros now);
  /// The first byte of a request was received. Does nothing for an active connection. Like beginIdle() and
  /// beginClosing(), allocates nothing.
  void beginRequest(Slot slot, Micros now);
  /// The response was written, and the connection is kept alive.
  void beginIdle(Slot slot, Micros now);
  /// The last response was written.
  void beginClosing(Slot slot, Micros now);
  /// The connection is closed. Invalidates `slot`.
  void release(Slot slot);

  /// Whether the connection is kept alive after the response that is about to be written.
  [[nodiscard]] bool keepsAlive(Slot slot) const;
  /// Whether a request that has been read may be forwarded; false if too many connections are active. A
  /// single active connection is always allowed.
  [[nodiscard]] bool admitsRequests() const;

  /// Connections to evict when the limit is reached, at most kMaxCandidates: closing ones (if all that was
  /// sent is acknowledged, which the caller must check), then silent ones, then idle ones past their
  /// timeouts; those longest in their state first within each group. The caller closes the first one that may
  /// still be closed.
  [[nodiscard]] std::vector<ConnectionId> evictionCandidates(Micros now) const;
  /// When the next connection may be evicted if no connection changes its state: from kMinWait to kMaxWait
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
  std::array<std::list<Connection>, kStateCount> lists_;  // by state, those longest in the state first
  std::size_t size_ = 0;
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_CONNECTION_LIMITER_H_
