// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What a request costs a sidecar in processor time, against a bare byte relay on the same traffic, in turns
// in one run: small GETs over 16 kept connections, one node. `request_cost IVYPOST [IVYPOST-OF-BEFORE]`
#include <sys/prctl.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "one_node.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using ivypost::bench::kAny;

constexpr int kConnections = 16, kRequests = 16'000, kRounds = 7;

// Bytes from one socket to the other, and nothing else.
struct Pipe : std::enable_shared_from_this<Pipe> {
  Pipe(std::shared_ptr<tcp::socket> in, std::shared_ptr<tcp::socket> out)
      : from(std::move(in)), to(std::move(out)) {}
  void run() {
    from->async_read_some(asio::buffer(bytes),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            if (error) return self->to->close();
                            asio::async_write(*self->to, asio::buffer(self->bytes.data(), size),
                                              [self](error_code failed, std::size_t) {
                                                if (!failed) self->run();
                                              });
                          });
  }
  std::shared_ptr<tcp::socket> from, to;
  std::array<char, 16384> bytes;
};

[[noreturn]] void relay(tcp::acceptor& door, asio::io_context& io, const tcp::endpoint& node) {
  std::function<void()> accept = [&] {
    door.async_accept([&](error_code error, tcp::socket socket) {
      if (error) return;
      const auto near = std::make_shared<tcp::socket>(std::move(socket)),
                 far = std::make_shared<tcp::socket>(io);
      far->connect(node);
      for (const auto& one : {near, far}) one->set_option(tcp::no_delay(true));
      std::make_shared<Pipe>(near, far)->run();
      std::make_shared<Pipe>(far, near)->run();
      accept();
    });
  };
  accept();
  io.run();
  std::_Exit(0);
}

struct ClientLine : std::enable_shared_from_this<ClientLine> {
  ClientLine(asio::io_context& io, int& budget) : socket(io), left(budget) {}
  void run() {
    if (left-- <= 0) return socket.close();
    text = ivypost::bench::nextRequest();
    asio::async_write(
        socket, asio::buffer(text), [self = shared_from_this()](error_code failed, std::size_t) {
          if (failed) return;
          self->answer = {};
          http::async_read(self->socket, self->buffer, self->answer, [self](error_code error, std::size_t) {
            if (error || self->answer.result() != http::status::ok) {
              std::fprintf(stderr, "an answer was not 200: %s\n", error.message().c_str());
              std::exit(1);
            }
            self->run();
          });
        });
  }
  tcp::socket socket;
  int& left;
  std::string text;
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
};

double processor(pid_t process) {
  clockid_t clock{};
  timespec used{};
  if (clock_getcpuclockid(process, &clock) != 0 || clock_gettime(clock, &used) != 0) std::abort();
  return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
}

// Microseconds of the process's processor time a request.
double cost(pid_t process, std::uint16_t port) {
  asio::io_context io(1);
  int left = kRequests;
  for (int n = 0; n < kConnections; ++n) {
    const auto line = std::make_shared<ClientLine>(io, left);
    line->socket.connect({asio::ip::address_v4::loopback(), port});
    line->socket.set_option(tcp::no_delay(true));
    line->run();
  }
  const double before = processor(process);
  io.run();
  return (processor(process) - before) / kRequests;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.at(values.size() / 2);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "request_cost: name the program ivypost\n");
    return 2;
  }
  asio::io_context relayIo(1), io(1);
  tcp::acceptor door(relayIo, kAny);
  const auto relayPort = door.local_endpoint().port();
  int nodePort[2];  // from the parent, whose node's thread must not be there when it forks
  if (pipe(nodePort) != 0) std::abort();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::uint16_t port = 0;
    if (read(nodePort[0], &port, sizeof port) != sizeof port) std::_Exit(1);
    relay(door, relayIo, {asio::ip::address_v4::loopback(), port});
  }
  ivypost::bench::OneNode node;
  const std::uint16_t port = node.address().port();
  if (write(nodePort[1], &port, sizeof port) != sizeof port) std::abort();
  std::vector<std::unique_ptr<ivypost::bench::OneSidecar>> sidecars;
  for (int n = 1; n < argc; ++n)
    sidecars.push_back(std::make_unique<ivypost::bench::OneSidecar>(io, argv[n], node.address(), 1024));
  std::vector<std::vector<double>> figures(static_cast<std::size_t>(argc));
  for (int round = 0; round <= kRounds; ++round) {
    for (std::size_t n = 0; n < figures.size(); ++n) {
      const double one =
          n == 0 ? cost(child, relayPort) : cost(sidecars[n - 1]->process().id(), sidecars[n - 1]->port());
      if (round > 0) figures[n].push_back(one);  // the first warms up
    }
  }
  for (std::size_t n = 0; n < figures.size(); ++n) {
    std::vector<double> ratios;
    for (int round = 0; round < kRounds; ++round)
      ratios.push_back(figures[n][static_cast<std::size_t>(round)] /
                       figures[0][static_cast<std::size_t>(round)]);
    std::printf("%-8s %6.1f us of processor a request, %.2f times the relay's (%.2f to %.2f)\n",
                n == 0   ? "relay"
                : n == 1 ? "ivypost"
                         : "before",
                median(figures[n]), median(ratios), *std::min_element(ratios.begin(), ratios.end()),
                *std::max_element(ratios.begin(), ratios.end()));
  }
  sidecars.clear();
  kill(child, SIGKILL);
  std::fflush(stdout);
  std::_Exit(0);  // the node's thread serves for ever
}
