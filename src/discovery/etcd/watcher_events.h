// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_WATCHER_EVENTS_H_
#define IVYPOST_DISCOVERY_ETCD_WATCHER_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "discovery/endpoint_list.h"
#include "discovery/etcd/messages.h"

namespace ivypost::discovery::etcd {

/// Microseconds: a span, or a moment by the caller's monotonic clock.
using Micros = balancer::Micros;
/// An entry of the endpoint list.
using discovery::Instance;

// ---- Actions: what a PrefixWatcher wants done
// ---------------------------------------------------------------

/// A linearizable Range call. Answered by one RangeResult.
struct RangeCall {
  std::uint64_t call = 0;    ///< its id
  std::size_t endpoint = 0;  ///< index in Options::endpoints
  std::string key;           ///< the first key of the range
  std::string end;           ///< the first key behind it
  std::int64_t limit = 0;    ///< keys in the response at the most
  Revision revision = 0;     ///< of the store; 0: the latest
  bool isAudit = false;      ///< without values, the key that was changed last first
  Micros timeout = 0;        ///< for the response
};
/// Opens a stream with one watch, with fragments and the server's own progress notifications. Streams are
/// opened one at a time. Answered by WatchResults and one WatchEnd.
struct WatchCall {
  std::uint64_t stream = 0;  ///< its id
  std::size_t endpoint = 0;  ///< index in Options::endpoints
  std::string key;           ///< the first key of the range
  std::string end;           ///< the first key behind it
  Revision from = 0;         ///< the first revision whose events are wanted
};
/// Asks for a progress response on a stream.
struct ProgressRequest {
  std::uint64_t stream = 0;  ///< of a WatchCall
};
/// Ends a stream; nothing more is notified of it.
struct WatchClose {
  std::uint64_t stream = 0;  ///< of a WatchCall
};
/// Notifies of the endpoint list, or of what has changed in it. One revision's changes come together.
struct Publish {
  Revision revision = 0;            ///< of the store
  bool isComplete = false;          ///< all there are; else the changed ones
  std::vector<Instance> instances;  ///< those that were removed are Gone
};
/// The list that Fetch asked for did not come.
struct FetchFailure {};
/// One line for the log.
struct LogLine {
  std::string text;  ///< without a line end
};
/// Any of them.
using Action =
    std::variant<RangeCall, WatchCall, ProgressRequest, WatchClose, Publish, FetchFailure, LogLine>;
/// In the order in which they are to be done.
using Actions = std::vector<Action>;

// ---- Inputs: what has happened
// ------------------------------------------------------------------------------

/// The list is wanted from now on.
struct Start {};
/// The complete list is wanted anew.
struct Fetch {};
/// PrefixWatcher::nextTimer() has come.
struct TimerExpired {};
/// What came of a RangeCall.
struct RangeResult {
  std::uint64_t call = 0;              ///< its id
  StatusCode status = StatusCode::Ok;  ///< the members below count if it is Ok
  std::string text{};                  ///< of a failure
  Header header{};                     ///< who answered
  std::vector<KeyValue> kvs{};         ///< the keys, up to the limit
  bool hasMore = false;                ///< there are keys in the range beyond the limit
  std::int64_t count = 0;              ///< of all keys in the range
};
/// A response on a stream.
struct WatchResult {
  std::uint64_t stream = 0;      ///< of the WatchCall
  Header header{};               ///< who answered
  bool isCreated = false;        ///< the watch stands
  bool isCanceled = false;       ///< the server has ended the watch
  Revision compactRevision = 0;  ///< ... since older ones than this are no longer kept; 0: for another reason
  std::string reason{};          ///< of a cancellation
  bool isFragment = false;       ///< the events of this revision go on in the next response
  std::vector<Event> events{};   ///< in the order of their revisions; none: progress
};
/// A stream has ended by itself.
struct WatchEnd {
  std::uint64_t stream = 0;                     ///< of the WatchCall
  StatusCode status = StatusCode::Unavailable;  ///< why
  std::string text;                             ///< in the server's or gRPC's words
};
/// Any of them.
using Input = std::variant<Start, Fetch, TimerExpired, RangeResult, WatchResult, WatchEnd>;

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_WATCHER_EVENTS_H_
