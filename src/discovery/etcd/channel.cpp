// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/channel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace ivypost::discovery::etcd {
namespace {

// The largest size of a received message, in bytes. A response may hold a page of the list, or the largest
// transaction that etcd accepts by default (1.5 MiB) once for each watch.
constexpr int kMaxMessage = 16 * 1024 * 1024;
// Keepalive pings on a connection with an open stream; etcd's servers accept pings that are at least 5 s
// apart.
constexpr int kPingIntervalMs = 10'000;
constexpr int kPingTimeoutMs = 2'000;
// gRPC's own backoff between two connection attempts of a channel. The watcher decides when a call is
// retried, so these only bound the attempts that the watcher can't see.
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 1'000;

// The target in gRPC's URI form, whose scheme selects the resolver.
std::string toGrpcUri(const Target& target) {
  const bool isV6 = !target.isName && target.host.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + target.host + "]" : target.host;
  const std::string authority = host + ":" + std::to_string(target.port);
  if (target.isName) return "dns:///" + authority;
  return (isV6 ? "ipv6:" : "ipv4:") + authority;
}

grpc::ChannelArguments arguments() {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessage);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kPingIntervalMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kPingTimeoutMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return arguments;
}

}  // namespace

std::shared_ptr<grpc::Channel> makeChannel(const Options& options, const std::string& endpoint,
                                           const Credentials& credentials) {
  const auto target = parseTarget(endpoint);
  grpc::ChannelArguments settings = arguments();
  if (!target->tls)
    return grpc::CreateCustomChannel(toGrpcUri(*target), grpc::InsecureChannelCredentials(), settings);
  if (!options.serverName.empty()) settings.SetSslTargetNameOverride(options.serverName);
  const auto tls = grpc::SslCredentials({credentials.ca, credentials.key, credentials.certificate});
  return grpc::CreateCustomChannel(toGrpcUri(*target), tls, settings);
}

}  // namespace ivypost::discovery::etcd
