// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Fixture for tests of the connection pool alone, over loopback sockets.
#ifndef IVYPOST_TESTS_SIDECAR_UPSTREAM_POOL_FIXTURE_H_
#define IVYPOST_TESTS_SIDECAR_UPSTREAM_POOL_FIXTURE_H_

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "moments.h"

namespace ivypost {

class PoolTest : public SidecarTest {
 protected:
  void open(const json& patch) {
    config.emplace(configure(patch));
    pool.emplace(io, *config, budget,
                 ConnectionPool::Callbacks{[](AttemptId) {},
                                           [this](AttemptEnd end) { ends.push_back(std::move(end)); },
                                           [this](StreamBegin begin) { streams.push_back(std::move(begin)); },
                                           [this](ProbeEnd end) { probeEnds.push_back(end); },
                                           [this](balancer::RequestId id) { return gone.count(id) > 0; }});
  }
  // Sends the first attempt of a request. `padding` is the value of a header; empty: no such header.
  void send(balancer::RequestId id, const std::string& body, const std::string& padding = "",
            Clock::duration timeout = std::chrono::seconds(60), EndpointId upstream = 0) {
    auto message = std::make_shared<Message>();
    message->method(http::verb::post);
    message->target("/cambio/7");
    message->version(11);
    message->set("X-Trace-Id", traceOf(static_cast<int>(id)));
    if (!padding.empty()) message->set("X-Props", padding);
    message->body() = body;
    AttemptOrder order;
    order.id = {id, 0};
    order.upstream = upstream;
    order.message = std::move(message);
    order.deadline = order.writeBy = Clock::now() + timeout;
    pool->send(std::move(order));
  }

  streaming::ByteBudget budget{1'000'000};
  std::optional<Config> config;
  std::optional<ConnectionPool> pool;
  std::vector<AttemptEnd> ends;
  std::vector<ProbeEnd> probeEnds;
  std::vector<StreamBegin> streams;
  std::set<balancer::RequestId> gone;  // requests whose clients have left
};

}  // namespace ivypost

#endif  // IVYPOST_TESTS_SIDECAR_UPSTREAM_POOL_FIXTURE_H_
