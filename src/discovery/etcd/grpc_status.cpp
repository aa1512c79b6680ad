// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/grpc_status.h"

namespace ivypost::discovery::etcd {

StatusCode toStatusCode(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::OK:
      return StatusCode::Ok;
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::CANCELLED:
      return StatusCode::Unavailable;
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return StatusCode::Timeout;
    case grpc::StatusCode::OUT_OF_RANGE: {
      const bool isCompacted = status.error_message().find("compacted") != std::string::npos;
      return isCompacted ? StatusCode::Compacted : StatusCode::FutureRevision;
    }
    case grpc::StatusCode::UNAUTHENTICATED:
      return StatusCode::Unauthenticated;
    case grpc::StatusCode::PERMISSION_DENIED:
      return StatusCode::Denied;
    default:
      return StatusCode::Other;
  }
}

}  // namespace ivypost::discovery::etcd
