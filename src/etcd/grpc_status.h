// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ETCD_GRPC_STATUS_H_
#define IVYPOST_ETCD_GRPC_STATUS_H_

#include <grpcpp/support/status.h>

#include "etcd/messages.h"

namespace ivypost::etcd {

/// The status as the watcher tells them apart.
[[nodiscard]] StatusCode toStatusCode(const grpc::Status& status);

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_GRPC_STATUS_H_
