// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_CHANNEL_H_
#define IVYPOST_DISCOVERY_ETCD_CHANNEL_H_

#include <grpcpp/channel.h>

#include <memory>
#include <string>

#include "discovery/etcd/credentials.h"
#include "discovery/etcd/options.h"

namespace ivypost::discovery::etcd {

/// Creates a gRPC channel, plain or TLS, to one of the options' endpoints. The channel shares no connection
/// with others and does not connect yet. `endpoint` must be valid for parseTarget().
[[nodiscard]] std::shared_ptr<grpc::Channel> makeChannel(const Options& options, const std::string& endpoint,
                                                         const Credentials& credentials);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_CHANNEL_H_
