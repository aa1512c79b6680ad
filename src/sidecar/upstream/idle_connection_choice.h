// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Selects the idle connection of an upstream that carries the next request. Performs no I/O and reads no
/// clock.
#ifndef IVYPOST_UPSTREAM_IDLE_CONNECTION_CHOICE_H_
#define IVYPOST_UPSTREAM_IDLE_CONNECTION_CHOICE_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "clock.h"

namespace ivypost {

/// A connection that has been idle for this period is unlikely to be closed as a consequence of its last
/// answer: on corrib-quotes 651 of 794 such closes came within 25 ms of the answer
/// (docs/design/deployments.md).
constexpr std::chrono::milliseconds kSettlingTime{25};

/// Selects the connection for the next request.
///
/// The most recently used connection is the least likely to be closed by the upstream's idle timeout, and its
/// use lets the others time out. But some upstreams close a connection right after an answer without
/// announcing it. A request that is sent at that moment fails, and can't be retried if it must not run twice.
/// So the function selects the most recently used connection that has been idle for kSettlingTime, and if
/// there is none, the most recently used one.
/// \param idle the idle connections, the longest idle first; must not be empty.
/// \param now the time of the call.
/// \param since returns the time at which a connection became idle.
/// \return an index into `idle`.
template <class Connection, class Since>
[[nodiscard]] std::size_t chooseIdleConnection(const std::vector<Connection>& idle, Clock::time_point now,
                                               Since since) {
  for (std::size_t n = idle.size(); n-- > 0;) {
    if (now - since(idle[n]) >= kSettlingTime) return n;
  }
  return idle.size() - 1;
}

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_IDLE_CONNECTION_CHOICE_H_
