// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_GRPC_STATUS_H_
#define IVYPOST_DISCOVERY_ETCD_GRPC_STATUS_H_

#include <grpcpp/support/status.h>

#include "discovery/etcd/messages.h"

namespace ivypost::discovery::etcd {

/// Maps a gRPC status to the codes that the watcher distinguishes.
[[nodiscard]] StatusCode toStatusCode(const grpc::Status& status);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_GRPC_STATUS_H_
