// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_API_CONVERSION_H_
#define IVYPOST_DISCOVERY_ETCD_API_CONVERSION_H_

#include "discovery/etcd/watcher_events.h"
#include "etcd.pb.h"

namespace ivypost::discovery::etcd {

// Conversions between the watcher's actions and inputs and the messages of etcd's v3 API. No I/O.

/// Builds the request of a Range call.
[[nodiscard]] etcdserverpb::RangeRequest toRequest(const RangeCall& range);
/// Builds the first request on a stream, which creates its watch.
[[nodiscard]] etcdserverpb::WatchRequest toRequest(const WatchCall& watch);
/// Converts a response; the caller sets the id of the call.
[[nodiscard]] RangeResult toRangeResult(const etcdserverpb::RangeResponse& response);
/// Converts a response; the caller sets the id of the stream.
[[nodiscard]] WatchResult toWatchResult(const etcdserverpb::WatchResponse& response);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_API_CONVERSION_H_
