// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The watcher's words in the API's messages, and back. No I/O.
#ifndef IVYPOST_ETCD_API_CONVERSION_H_
#define IVYPOST_ETCD_API_CONVERSION_H_

#include "etcd.pb.h"
#include "etcd/prefix_watcher.h"

namespace ivypost::etcd {

etcdserverpb::RangeRequest toRequest(const PrefixWatcher::RangeCall& range);
etcdserverpb::WatchRequest toRequest(const PrefixWatcher::WatchCall& watch);
// The numbers of the call and of the stream are left to the caller.
PrefixWatcher::RangeResult toRangeResult(const etcdserverpb::RangeResponse& response);
PrefixWatcher::WatchResult toWatchResult(const etcdserverpb::WatchResponse& response);

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_API_CONVERSION_H_
