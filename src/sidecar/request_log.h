// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// A record, by request id, of the requests that were not simply served: what was rejected, failed, retried,
/// cut off or closed, and why. No I/O and no clock.
#ifndef IVYPOST_REQUEST_LOG_H_
#define IVYPOST_REQUEST_LOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace ivypost {

/// How much of the process's limits is in use.
struct ResourceUsage {
  std::size_t budgetInUse = 0;             ///< bytes of the byte budget
  std::size_t budgetCapacity = 0;          ///< bytes
  std::size_t clientConnections = 0;       ///< open ones
  std::size_t activeClients = 0;           ///< of these, those with a request
  std::size_t maxClientConnections = 0;    ///< the connection limit
  std::size_t upstreamConnections = 0;     ///< open ones
  std::size_t maxUpstreamConnections = 0;  ///< the pool's limit
  std::size_t openRequests = 0;            ///< requests without a final answer
};

/// What happened to one request.
struct RequestEvent {
  /// The kind of event.
  enum class Kind : std::uint8_t {
    Rejected,       ///< answered 429 or 503: trying again is harmless
    Failed,         ///< answered with another error
    AttemptFailed,  ///< an attempt ended without an answer; the request may be retried
    AnswerCut,      ///< an answer that had begun to be forwarded was not completed
    Closed,         ///< the connection was closed before the request had its complete answer
    Evicted,        ///< an idle or closing connection gave its slot to a new one
  };

  Kind kind = Kind::Failed;   ///< what happened
  std::uint64_t traceId = 0;  ///< the client's X-Trace-Id; 0: not known yet
  std::string reason;         ///< why
  std::string upstream;       ///< the upstream's instance id; empty: none was involved
  std::uint64_t bytes = 0;    ///< received of the answer, its head included
  std::int64_t elapsed = 0;   ///< microseconds since the request was received, or the attempt started
};

/// The kind as the log and the status page name it.
[[nodiscard]] const char* nameOf(RequestEvent::Kind kind);

/// Counts all events, logs them up to a rate, and keeps the latest ones for the status page.
///
/// Bounds: kBurst lines of a kind at once and kLinesPerSecond of it after that, so that a flood of one kind
/// hides no other; kKeptEvents events are kept.
class RequestLog {
 public:
  /// Lines of one kind that are logged without a pause.
  static constexpr double kBurst = 50;
  /// Lines of one kind and second that are logged in the long run.
  static constexpr double kLinesPerSecond = 10;
  /// The events that the status page shows.
  static constexpr std::size_t kKeptEvents = 64;

  /// The callbacks of a log.
  struct Callbacks {
    /// The present use of the process's limits.
    std::function<ResourceUsage()> usage;
    /// Takes one line for the log.
    std::function<void(const std::string&)> log;
  };

  /// Starts with all counts at 0.
  explicit RequestLog(Callbacks callbacks);

  /// Records an event at `now`, in microseconds of a monotonic clock.
  void record(RequestEvent event, std::int64_t now);
  /// The body of GET /status/requests, as JSON: counts, limits and the latest events at `now`.
  [[nodiscard]] std::string status(std::int64_t now) const;
  /// The events of a kind since the start.
  [[nodiscard]] std::uint64_t count(RequestEvent::Kind kind) const { return of(kind).count; }

 private:
  static constexpr std::size_t kKinds = 6;

  struct KindState {
    std::uint64_t count = 0;
    std::uint64_t notLogged = 0;  // since the last line
    double allowance = kBurst;    // lines that may be logged now
    std::int64_t updatedAt = 0;   // when `allowance` was computed
  };
  struct Kept {
    RequestEvent event;
    ResourceUsage usage;
    std::int64_t at = 0;
  };

  [[nodiscard]] const KindState& of(RequestEvent::Kind kind) const {
    return kinds_.at(static_cast<std::size_t>(kind));
  }
  static bool takeAllowance(KindState& state, std::int64_t now);

  const Callbacks callbacks_;
  std::array<KindState, kKinds> kinds_;
  std::deque<Kept> kept_;  // the oldest first
};

}  // namespace ivypost

#endif  // IVYPOST_REQUEST_LOG_H_
