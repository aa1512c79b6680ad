// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd_source.h"

#include <cstdio>

#include "discovery/etcd/etcd_source.h"

namespace ivypost {

Sidecar::MakeEtcd etcdSource() {
  return [](boost::asio::io_context& io, const discovery::etcd::Options& options, std::uint64_t seed,
            discovery::Source::Callbacks callbacks) -> std::unique_ptr<discovery::Source> {
    return std::make_unique<discovery::etcd::EtcdSource>(
        io, options, seed, std::move(callbacks),
        [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); });
  };
}

}  // namespace ivypost
