// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_API_CONVERSION_H_
#define IVYPOST_DISCOVERY_ETCD_API_CONVERSION_H_

#include "discovery/etcd/watcher_events.h"
#include "etcd.pb.h"

namespace ivypost::discovery::etcd {

// Between the watcher's actions and inputs and the messages of etcd's v3 API. No I/O.

/// The request of a Range call.
[[nodiscard]] etcdserverpb::RangeRequest toRequest(const RangeCall& range);
/// The first request on a stream, which creates its watch.
[[nodiscard]] etcdserverpb::WatchRequest toRequest(const WatchCall& watch);
/// The id of the call is left to the caller.
[[nodiscard]] RangeResult toRangeResult(const etcdserverpb::RangeResponse& response);
/// The id of the stream is left to the caller.
[[nodiscard]] WatchResult toWatchResult(const etcdserverpb::WatchResponse& response);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_API_CONVERSION_H_
