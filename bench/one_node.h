// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// For measurements: a node that answers every GET at once, on a thread of its own, and sidecars that know it
// alone.
#ifndef IVYPOST_BENCH_ONE_NODE_H_
#define IVYPOST_BENCH_ONE_NODE_H_

#include <unistd.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fleet/process.h"

namespace ivypost::bench {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

inline const tcp::endpoint kAny(asio::ip::address_v4::loopback(), 0);

class OneNode {
 public:
  OneNode() : acceptor_(io_, kAny) {
    accept();
    std::thread([this] { io_.run(); }).detach();  // serves until the program ends by _Exit
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  struct Line : std::enable_shared_from_this<Line> {
    explicit Line(tcp::socket s) : socket(std::move(s)) {}
    void run() {
      asio::async_read_until(
          socket, buffer, "\r\n\r\n", [self = shared_from_this()](error_code error, std::size_t n) {
            if (error) return;
            self->buffer.consume(n);
            static const std::string kAnswer =
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";
            asio::async_write(self->socket, asio::buffer(kAnswer), [self](error_code failed, std::size_t) {
              if (!failed) self->run();
            });
          });
    }
    tcp::socket socket;
    asio::streambuf buffer{65536};
  };

  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      socket.set_option(tcp::no_delay(true));
      std::make_shared<Line>(std::move(socket))->run();
      accept();
    });
  }

  asio::io_context io_{1};
  tcp::acceptor acceptor_;
};

// A sidecar of one class (`consulta`, safe to repeat) with so many descriptors; ready when built.
class OneSidecar {
 public:
  OneSidecar(asio::io_context& io, const std::string& program, const tcp::endpoint& node, int descriptors)
      : config_(std::filesystem::temp_directory_path() /
                ("ivypost-bench-" + std::to_string(getpid()) + "-" + std::to_string(++count_))) {
    const nlohmann::json file = {
        {"name", "s1"},
        {"listen", "127.0.0.1:0"},
        {"discovery", "127.0.0.1:1"},
        {"seed", "5"},
        {"limits", {{"sockets", descriptors}}},
        {"known",
         {{"generation", 1},
          {"reset", true},
          {"instances",
           {{{"instanceId", "n1"},
             {"hostPort", "127.0.0.1:" + std::to_string(node.port())},
             {"lifecycle", "up"},
             {"weight", 1.0},
             {"startedAtMs", 0}}}}}},
        {"settings",
         {{"balancers", 1},
          {"classes",
           {{{"name", "consulta"}, {"aim", 500'000}, {"deadline", 1'000'000}, {"semantics", "free"}}}},
          {"limits", {{"maxAttempts", 3}, {"idleClose", 30'000'000}}}}}};
    std::ofstream(config_) << file.dump();
    process_ = std::make_unique<fleet::Process>(
        io, program, std::vector<std::string>{}, std::vector<std::string>{"GW_CONFIG=" + config_},
        [this](const std::string& line) {
          if (line.rfind("ready on port ", 0) == 0)
            port_ = static_cast<std::uint16_t>(std::stoi(line.substr(14)));
        });
    for (int tries = 0; port_ == 0 && tries < 100; ++tries) io.run_one_for(std::chrono::milliseconds(100));
  }
  ~OneSidecar() {
    process_.reset();
    std::error_code ignored;
    std::filesystem::remove(config_, ignored);
  }
  OneSidecar(const OneSidecar&) = delete;
  OneSidecar& operator=(const OneSidecar&) = delete;

  fleet::Process& process() { return *process_; }
  std::uint16_t port() const { return port_; }

 private:
  static inline int count_ = 0;
  const std::string config_;
  std::uint16_t port_ = 0;
  std::unique_ptr<fleet::Process> process_;
};

// A GET as the sidecar takes it, each under an id of its own.
inline std::string nextRequest() {
  static std::uint64_t id = 0;
  std::array<char, 17> trace{};
  std::snprintf(trace.data(), trace.size(), "%016llx", static_cast<unsigned long long>(++id));
  return "GET /consulta/7 HTTP/1.1\r\nHost: s\r\nX-Qos: consulta\r\nX-Trace-Id: " +
         std::string(trace.data()) + "\r\nX-Expires-In-Ms: 1000\r\n\r\n";
}

}  // namespace ivypost::bench

#endif  // IVYPOST_BENCH_ONE_NODE_H_
