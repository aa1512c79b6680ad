// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_CHANNEL_H_
#define IVYPOST_DISCOVERY_ETCD_CHANNEL_H_

#include <grpcpp/channel.h>

#include <memory>
#include <string>

#include "discovery/etcd/credentials.h"
#include "discovery/etcd/options.h"

namespace ivypost::discovery::etcd {

/// A gRPC channel of its own to one of the options' endpoints, plain or TLS. Does not connect yet. `endpoint`
/// has to be one that parseTarget() reads.
[[nodiscard]] std::shared_ptr<grpc::Channel> makeChannel(const Options& options, const std::string& endpoint,
                                                         const Credentials& credentials);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_CHANNEL_H_
