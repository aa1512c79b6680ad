// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ETCD_API_CONVERSION_H_
#define IVYPOST_ETCD_API_CONVERSION_H_

#include "etcd.pb.h"
#include "etcd/watcher_events.h"

namespace ivypost::etcd {

// Between the watcher's actions and inputs and the messages of etcd's v3 API. No I/O.

/// The request of a Range call.
[[nodiscard]] etcdserverpb::RangeRequest toRequest(const RangeCall& range);
/// The first request on a stream, which creates its watch.
[[nodiscard]] etcdserverpb::WatchRequest toRequest(const WatchCall& watch);
/// The id of the call is left to the caller.
[[nodiscard]] RangeResult toRangeResult(const etcdserverpb::RangeResponse& response);
/// The id of the stream is left to the caller.
[[nodiscard]] WatchResult toWatchResult(const etcdserverpb::WatchResponse& response);

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_API_CONVERSION_H_
