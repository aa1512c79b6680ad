// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// 100,000 hostile connections in sequence, 32 at a time, with a usual request after every 500: whether memory
// or descriptors grow, and whether the usual ones are served. `hostile_connections IVYPOST [CONNECTIONS]`
#include <algorithm>
#include <boost/beast.hpp>
#include <cstdlib>

#include "one_node.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using ivypost::bench::nextRequest;

constexpr int kAtOnce = 32, kDescriptors = 256, kUsualEvery = 500;
// Nobody waits longer for an error or a close than the platform's page asks for.
constexpr std::chrono::seconds kOwed{3};

struct Kind {
  const char* name;
  std::string bytes;
  bool waits;          // for an answer or a close; else it leaves at once
  bool whole = false;  // sends a request as usual clients do
};

std::vector<Kind> kinds() {
  const std::string head = "GET /consulta/7 HTTP/1.1\r\nHost: s\r\nX-Qos: consulta\r\n";
  return {
      {"says nothing and leaves", "", false},
      {"garbage", std::string(600, '\x01') + "\r\n\r\n", true},
      {"half a head, then leaves", head, false},
      {"a head without end", head + "X-Long: " + std::string(40'000, 'a'), true},
      {"both lengths",
       "POST /consulta/7 HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       true},
      {"a negative length", "POST /consulta/7 HTTP/1.1\r\nHost: s\r\nContent-Length: -5\r\n\r\n", true},
      {"a huge length",
       "POST /consulta/7 HTTP/1.1\r\nHost: s\r\nContent-Length: 60000000\r\n\r\n" + std::string(20'000, 'b'),
       true},
      {"no such class", "GET /nada/7 HTTP/1.1\r\nHost: s\r\nX-Qos: nada\r\n\r\n", true},
      {"no id", head + "X-Expires-In-Ms: 100\r\n\r\n", true},
      {"asks /ready and leaves", "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n", false},
      {"a whole request, then leaves", "", false, true},
  };
}

struct Guest : std::enable_shared_from_this<Guest> {
  Guest(asio::io_context& io, const Kind& k, std::function<void(bool)> then)
      : socket(io), timer(io), kind(k), over(std::move(then)) {}
  void run(std::uint16_t port) {
    socket.async_connect(
        {asio::ip::address_v4::loopback(), port}, [self = shared_from_this()](error_code error) {
          if (error) return self->end(true);
          self->bytes = self->kind.whole ? nextRequest() : self->kind.bytes;
          asio::async_write(self->socket, asio::buffer(self->bytes), [self](error_code, std::size_t) {
            if (!self->kind.waits) return self->end(true);
            self->timer.expires_after(kOwed);
            self->timer.async_wait([self](error_code cancelled) {
              if (!cancelled) self->end(false);
            });
            self->socket.async_read_some(asio::buffer(self->answer),
                                         [self](error_code, std::size_t) { self->end(true); });
          });
        });
  }
  void end(bool owedNothing) {
    if (!over) return;
    error_code ignored;
    timer.cancel();
    socket.close(ignored);
    std::exchange(over, nullptr)(owedNothing);
  }
  tcp::socket socket;
  asio::steady_timer timer;
  const Kind& kind;
  std::string bytes;
  std::array<char, 512> answer{};
  std::function<void(bool)> over;
};

std::size_t residentKilobytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stoul(line.substr(6));
  }
  return 0;
}

std::size_t descriptors(pid_t process) {
  const std::string path = "/proc/" + std::to_string(process) + "/fd";
  return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(path), {}));
}

// Whether a usual client's request is answered by 200.
bool served(asio::io_context& io, std::uint16_t port) {
  tcp::socket socket(io);
  error_code error;
  socket.connect({asio::ip::address_v4::loopback(), port}, error);
  if (error) return false;
  asio::write(socket, asio::buffer(nextRequest()), error);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  http::read(socket, buffer, answer, error);
  return !error && answer.result() == http::status::ok;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "hostile_connections: name the program ivypost\n");
    return 2;
  }
  const int most = argc > 2 ? std::clamp(std::atoi(argv[2]), 1, 1'000'000) : 100'000;
  asio::io_context io(1), usual(1);
  const ivypost::bench::OneNode node;
  {
    ivypost::bench::OneSidecar sidecar(io, argv[1], node.address(), kDescriptors);
    const auto table = kinds();
    int begun = 0, over = 0, unanswered = 0, asked = 0, answered = 0;
    std::vector<int> owed(table.size());
    std::function<void()> next = [&] {
      if (begun >= most) return;
      const auto kind = static_cast<std::size_t>(begun++) % table.size();
      std::make_shared<Guest>(io, table[kind], [&, kind](bool fine) {
        ++over;
        if (!fine) {
          ++unanswered;
          ++owed[kind];
        }
        asio::post(io, next);
      })->run(sidecar.port());
    };
    std::printf("connections  resident KiB  descriptors  usual requests served\n");
    const auto tell = [&] {
      std::printf("%11d  %12zu  %11zu  %d of %d\n", over, residentKilobytes(sidecar.process().id()),
                  descriptors(sidecar.process().id()), answered, asked);
      std::fflush(stdout);
    };
    tell();
    for (int n = 0; n < kAtOnce; ++n) next();
    for (int told = 0, asks = 0; over < most;) {
      io.run_one();
      if (over / kUsualEvery > asks) {
        ++asks;
        ++asked;
        answered += served(usual, sidecar.port());
      }
      if (over * 10LL / most > told) {
        ++told;
        tell();
      }
    }
    std::printf("neither an answer nor a close within %d s: %d\n", static_cast<int>(kOwed.count()),
                unanswered);
    for (std::size_t n = 0; n < table.size(); ++n) {
      if (owed[n] > 0) std::printf("  %s: %d\n", table[n].name, owed[n]);
    }
  }
  std::fflush(stdout);
  std::_Exit(0);
}
