// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Selects the idle connection of an upstream that carries the next request. Performs no I/O and reads no
/// clock.
#ifndef IVYPOST_UPSTREAM_IDLE_CONNECTION_CHOICE_H_
#define IVYPOST_UPSTREAM_IDLE_CONNECTION_CHOICE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "clock.h"

namespace ivypost {

/// The period after an answer in which the connection carries no other request. Whatever the upstream sends
/// within this period behind the answer, such as a second copy of it, has then arrived before the next
/// request is written, and the connection is closed instead. Otherwise a second answer that is still in
/// transit would be read as the answer to the next request: an HTTP/1.1 answer does not name its request
/// (docs/design/fault-injection.md). Covers some milliseconds until the second answer is sent, and the
/// variation of the network's delay.
constexpr std::chrono::milliseconds kSettlingTime{15};

/// A connection that has been idle for this period is unlikely to be closed as a consequence of its last
/// answer: on corrib-quotes 651 of 794 such closes came within 25 ms of the answer
/// (docs/design/deployments.md).
constexpr std::chrono::milliseconds kPreferredIdleTime{25};

/// An attempt waits for a connection to settle only if this takes at most this fraction of the attempt's
/// remaining time.
constexpr double kMaxSettlingFraction = 0.1;

/// Selects the connection for the next request.
///
/// The most recently used connection is the least likely to be closed by the upstream's idle timeout, and its
/// use lets the others time out. But some upstreams close a connection soon after an answer without
/// announcing it. A request that is sent at that moment fails, and can't be retried if it must not run twice.
/// So the function selects the most recently used connection that has been idle for kPreferredIdleTime, and
/// if there is none, the one that was idle longest, provided that it has been idle for kSettlingTime.
/// \param idle the idle connections, the longest idle first.
/// \param now the time of the call.
/// \param since returns the time at which a connection became idle.
/// \return an index into `idle`; none: no connection has settled.
template <class Connection, class Since>
[[nodiscard]] std::optional<std::size_t> chooseSettledConnection(const std::vector<Connection>& idle,
                                                                 Clock::time_point now, Since since) {
  for (std::size_t n = idle.size(); n-- > 0;) {
    if (now - since(idle[n]) >= kPreferredIdleTime) return n;
  }
  if (!idle.empty() && now - since(idle.front()) >= kSettlingTime) return 0;
  return std::nullopt;
}

/// Whether an attempt waits until an idle connection has settled, instead of opening a new one, which costs
/// the upstream work and one of its connections.
/// \param idleSince the time at which the connection became idle.
/// \param now the time of the call.
/// \param writeBy the time by which the request must have been written.
[[nodiscard]] inline bool shouldAwaitSettling(Clock::time_point idleSince, Clock::time_point now,
                                              Clock::time_point writeBy) {
  const std::chrono::duration<double> wait = idleSince + kSettlingTime - now;
  const std::chrono::duration<double> remaining = writeBy - now;
  return wait <= kMaxSettlingFraction * remaining;
}

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_IDLE_CONNECTION_CHOICE_H_
