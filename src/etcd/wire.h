// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The follower's words in the API's messages, and back. No I/O.
#ifndef IVYPOST_ETCD_WIRE_H_
#define IVYPOST_ETCD_WIRE_H_

#include "etcd.pb.h"
#include "etcd/follower.h"

namespace ivypost::etcd {

etcdserverpb::RangeRequest toRequest(const Follower::Range& range);
etcdserverpb::WatchRequest toRequest(const Follower::Watch& watch);
// The numbers of the call and of the stream are left to the caller.
Follower::Ranged toRanged(const etcdserverpb::RangeResponse& response);
Follower::Watched toWatched(const etcdserverpb::WatchResponse& response);

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_WIRE_H_
