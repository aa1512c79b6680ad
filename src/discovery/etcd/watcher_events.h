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

/// Microseconds: a time span, or a time of the caller's monotonic clock.
using Micros = balancer::Micros;
/// An entry of the endpoint list.
using discovery::Instance;

// ---- Actions: what a PrefixWatcher requests ---------------------------------------------------------------

/// Sends a linearizable Range call. Its result is one RangeResult.
struct RangeCall {
  std::uint64_t call = 0;    ///< its id
  std::size_t endpoint = 0;  ///< index in Options::endpoints
  std::string key;           ///< the first key of the range
  std::string end;           ///< the end of the range, exclusive
  std::int64_t limit = 0;    ///< maximum number of keys in the response
  Revision revision = 0;     ///< revision of the store to read; 0: the latest
  bool isAudit = false;      ///< request keys without values, ordered by descending modRevision
  Micros timeout = 0;        ///< deadline of the response, from now
};
/// Opens a stream with one watch, with fragmented responses and the server's periodic progress
/// notifications. At most one stream is open at a time. Results are WatchResults and one WatchEnd.
struct WatchCall {
  std::uint64_t stream = 0;  ///< its id
  std::size_t endpoint = 0;  ///< index in Options::endpoints
  std::string key;           ///< the first key of the range
  std::string end;           ///< the end of the range, exclusive
  Revision from = 0;         ///< the first revision whose events are requested
};
/// Requests a watch progress notification on a stream.
struct ProgressRequest {
  std::uint64_t stream = 0;  ///< id of the WatchCall
};
/// Closes a stream; the watcher expects no further results of the stream.
struct WatchClose {
  std::uint64_t stream = 0;  ///< id of the WatchCall
};
/// Publishes the endpoint list, or the changes in it. The changes of one revision are published together.
struct Publish {
  Revision revision = 0;            ///< revision of the store
  bool isComplete = false;          ///< the list holds all instances; otherwise only the changed ones
  std::vector<Instance> instances;  ///< removed instances have the state Gone
};
/// The list that Fetch requested could not be read.
struct FetchFailure {};
/// Writes one line to the log.
struct LogLine {
  std::string text;  ///< without a line end
};
/// An action.
using Action =
    std::variant<RangeCall, WatchCall, ProgressRequest, WatchClose, Publish, FetchFailure, LogLine>;
/// Actions in the order of their execution.
using Actions = std::vector<Action>;

// ---- Inputs: events that a PrefixWatcher handles ----------------------------------------------------------

/// Starts the watcher.
struct Start {};
/// Requests the complete list again.
struct Fetch {};
/// The time returned by PrefixWatcher::nextTimer() has been reached.
struct TimerExpired {};
/// Result of a RangeCall.
struct RangeResult {
  std::uint64_t call = 0;              ///< its id
  StatusCode status = StatusCode::Ok;  ///< the members below are valid only if it is Ok, except `text`
  std::string text{};                  ///< message of a failure
  Header header{};                     ///< header of the response
  std::vector<KeyValue> kvs{};         ///< the keys in the range, up to the call's limit
  bool hasMore = false;                ///< the range has keys beyond the call's limit
  std::int64_t count = 0;              ///< number of all keys in the range
};
/// A response on a stream.
struct WatchResult {
  std::uint64_t stream = 0;  ///< id of the WatchCall
  Header header{};           ///< header of the response
  bool isCreated = false;    ///< the server has created the watch
  bool isCanceled = false;   ///< the server has ended the watch
  Revision compactRevision =
      0;  ///< with isCanceled: revisions before this one have been compacted; 0: canceled for another reason
  std::string reason{};         ///< the server's reason for a cancellation
  bool isFragment = false;      ///< further events of this revision follow in the next response
  std::vector<Event> events{};  ///< ordered by revision; empty in a watch progress notification
};
/// A stream has ended without a WatchClose.
struct WatchEnd {
  std::uint64_t stream = 0;                     ///< id of the WatchCall
  StatusCode status = StatusCode::Unavailable;  ///< cause of the end
  std::string text;                             ///< message of the server or of gRPC
};
/// An input.
using Input = std::variant<Start, Fetch, TimerExpired, RangeResult, WatchResult, WatchEnd>;

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_WATCHER_EVENTS_H_
