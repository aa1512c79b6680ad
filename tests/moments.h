// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Fixtures for tests of race conditions on real connections: the interleavings of a request, an answer, a
// client's close, a deadline and the end of the process. Each test forces its interleaving deterministically:
// a peer holds bytes back, bytes are written while the event loop is blocked, or a handler is queued ahead of
// the tested one.
#ifndef IVYPOST_MOMENTS_H_
#define IVYPOST_MOMENTS_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sidecar_rig.h"

namespace ivypost {

using balancer::Outcome;
using std::chrono::milliseconds;

inline std::string traceOf(int n) {
  std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

// Runs all handlers that are ready, and those that become ready as a consequence, in up to 50 polls.
inline void pollAll(asio::io_context& io) {
  for (int n = 0; n < 50; ++n) {
    io.restart();
    io.poll();
  }
}

// Blocks the event loop for `span`. It processes the events of that time only afterwards.
inline void blockEventLoop(Clock::duration span) {
  std::this_thread::sleep_until(Clock::now() + span);
}

// A listener whose accept queue is full, so that connections to it are established only after a call of
// acceptConnections() or drainAcceptQueue().
class FullListener {
 public:
  explicit FullListener(asio::io_context& io) : acceptor_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind({asio::ip::address_v4::loopback(), 0});
    acceptor_.listen(0);
    for (int n = 0; n < 4; ++n) {
      fillers_.push_back(std::make_unique<tcp::socket>(io));
      fillers_.back()->async_connect(acceptor_.local_endpoint(), [](error_code) {});
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  // Accepts all connections from now on, and stores the bytes that they receive.
  void acceptConnections() {
    fillers_.clear();
    accept();
  }
  std::string got() const {
    std::string all;
    for (const auto& connection : connections_) all += connection->text;
    return all;
  }
  std::size_t connections() const { return connections_.size(); }
  // Accepts the queued connections without running the event loop, so that the next connection is established
  // while the loop is blocked.
  void drainAcceptQueue() {
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (!error) connections_.push_back(std::make_shared<Connection>(std::move(socket)));
    }
  }
  void readConnections() {
    for (const auto& connection : connections_) read(connection);
    accept();
  }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::array<char, 4096> bytes{};
    std::string text;
  };
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      connections_.push_back(std::make_shared<Connection>(std::move(socket)));
      read(connections_.back());
      accept();
    });
  }
  static void read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(asio::buffer(connection->bytes),
                                       [connection](error_code error, std::size_t size) {
                                         connection->text.append(connection->bytes.data(), size);
                                         if (!error) read(connection);
                                       });
  }
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<tcp::socket>> fillers_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

// Runs only the sidecar's server for clients; the test answers the requests that the server hands over.
class ServerTest : public SidecarTest {
 protected:
  void serve(const configuration::OperatorFile& file = {}) {
    config.emplace(configure(json::object()));
    server.emplace(
        io, *config, file, *budget,
        Server::Callbacks{[this](ClientRequest request) { receivedRequests.push_back(std::move(request)); },
                          [this](balancer::RequestId id) { finishedRequests.push_back(id); },
                          [] {},
                          {},
                          {},
                          [this] { ended = true; }});
    lifecycle::Effects ready;
    ready.isReady = ready.acceptsConnections = ready.keepsConnections = true;
    server->apply(ready);
  }
  std::size_t connectionCount() const { return server->connectionLimiter().size(); }
  void answerAll() {
    for (const ClientRequest& request : receivedRequests) {
      Answer answer;
      answer.status = 200;
      server->answer(request.id, std::move(answer));
    }
    receivedRequests.clear();
  }
  static lifecycle::Effects stopping(bool accepts, bool mayEnd) {
    lifecycle::Effects effects;
    effects.acceptsConnections = accepts;
    effects.closesListeningSocket = !accepts;
    effects.closesIdleConnections = true;
    effects.mayExit = mayEnd;
    return effects;
  }

  std::optional<streaming::ByteBudget> budget{1'000'000};
  std::optional<Config> config;
  std::optional<Server> server;
  std::vector<ClientRequest> receivedRequests;
  std::vector<balancer::RequestId> finishedRequests;
  bool ended = false;
};

}  // namespace ivypost

#endif  // IVYPOST_MOMENTS_H_
