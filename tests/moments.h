// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// For tests of rare moments: the orders in which a request, an answer, a client's leaving, a deadline and the
// end of the process can cross each other, on real connections. The bad order comes every time: by the bytes
// that a peer holds back, by what is written while the loop stands still, or by a handler that is queued
// ahead of the tested one.
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

// Everything that is ready is handled, and what comes of it.
inline void pollAll(asio::io_context& io) {
  for (int n = 0; n < 50; ++n) {
    io.restart();
    io.poll();
  }
}

// The loop stands still until then; what the peers do meanwhile it finds when it goes on.
inline void standStill(Clock::duration span) {
  std::this_thread::sleep_until(Clock::now() + span);
}

// A listener whose queue is full, so that connections to it come up only when it is let go.
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

  // Takes everybody from now on, and keeps what they write.
  void letGo() {
    fillers_.clear();
    accept();
  }
  std::string got() const {
    std::string all;
    for (const auto& line : lines_) all += line->text;
    return all;
  }
  std::size_t connections() const { return lines_.size(); }
  // Takes those that stand in the queue, without the loop, so that the next one's connection comes up while
  // it stands still.
  void emptyTheQueue() {
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (!error) lines_.push_back(std::make_shared<Line>(std::move(socket)));
    }
  }
  void readAll() {
    for (const auto& line : lines_) read(line);
    accept();
  }

 private:
  struct Line {
    explicit Line(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::array<char, 4096> bytes{};
    std::string text;
  };
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      lines_.push_back(std::make_shared<Line>(std::move(socket)));
      read(lines_.back());
      accept();
    });
  }
  static void read(const std::shared_ptr<Line>& line) {
    line->socket.async_read_some(asio::buffer(line->bytes), [line](error_code error, std::size_t size) {
      line->text.append(line->bytes.data(), size);
      if (!error) read(line);
    });
  }
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<tcp::socket>> fillers_;
  std::vector<std::shared_ptr<Line>> lines_;
};

// The client side alone: what it takes, a test answers by hand.
class ServerTest : public SidecarTest {
 protected:
  void serve(const configuration::OperatorFile& file = {}) {
    config.emplace(configure(json::object()));
    server.emplace(io, *config, file, *budget,
                   Server::Callbacks{[this](ClientRequest request) { taken.push_back(std::move(request)); },
                                     [this](balancer::RequestId id) { over.push_back(id); },
                                     {},
                                     {},
                                     [this] { ended = true; }});
    lifecycle::Effects ready;
    ready.isReady = ready.acceptsConnections = ready.keepsConnections = true;
    server->apply(ready);
  }
  std::size_t inside() const { return server->connectionLimiter().size(); }
  void answerAll() {
    for (const ClientRequest& request : taken) {
      Answer answer;
      answer.status = 200;
      server->answer(request.id, std::move(answer));
    }
    taken.clear();
  }
  static lifecycle::Effects stopping(bool accepts, bool mayEnd) {
    lifecycle::Effects effects;
    effects.acceptsConnections = accepts;
    effects.closesIdleConnections = true;
    effects.mayExit = mayEnd;
    return effects;
  }

  std::optional<streaming::ByteBudget> budget{1'000'000};
  std::optional<Config> config;
  std::optional<Server> server;
  std::vector<ClientRequest> taken;
  std::vector<balancer::RequestId> over;
  bool ended = false;
};

}  // namespace ivypost

#endif  // IVYPOST_MOMENTS_H_
