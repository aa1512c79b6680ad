// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What a fault proxy with an empty plan costs against a direct connection, both in one run and in turns: the
// time of a round trip of 64 bytes, and bytes a second in one direction. Run by hand; see bench/README.md.
#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "fault/proxy.h"

namespace {

namespace asio = boost::asio;
namespace fault = ivypost::fault;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr int kRounds = 20, kTripsARound = 2000;
constexpr std::size_t kBytesARound = 256UL * 1024 * 1024, kBlock = 64UL * 1024;

// Echoes blocks of 64 bytes behind a first byte 'e', and swallows all behind an 's', with one byte back at
// its end.
void serve(tcp::socket socket) {
  socket.set_option(tcp::no_delay(true));
  std::string block(kBlock, 0);
  boost::system::error_code error;
  asio::read(socket, asio::buffer(block, 1), error);
  if (block[0] == 'e') {
    for (;;) {
      asio::read(socket, asio::buffer(block, 64), error);
      if (error) return;
      asio::write(socket, asio::buffer(block, 64), error);
    }
  }
  while (!error) socket.read_some(asio::buffer(block), error);
  asio::write(socket, asio::buffer(block, 1), error);
}

double microseconds(Clock::duration span) {
  return std::chrono::duration<double, std::micro>(span).count();
}

std::vector<double> trips(tcp::socket& socket) {
  std::string block(64, 'x');
  std::vector<double> times;
  for (int n = 0; n < kTripsARound; ++n) {
    const auto start = Clock::now();
    asio::write(socket, asio::buffer(block));
    asio::read(socket, asio::buffer(block));
    times.push_back(microseconds(Clock::now() - start));
  }
  return times;
}

double bytesASecond(const tcp::endpoint& to) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(to);
  const std::string block(kBlock, 'x');
  asio::write(socket, asio::buffer("s", 1));
  const auto start = Clock::now();
  for (std::size_t sent = 0; sent < kBytesARound; sent += kBlock) asio::write(socket, asio::buffer(block));
  socket.shutdown(tcp::socket::shutdown_send);
  char last = 0;
  asio::read(socket, asio::buffer(&last, 1));
  return static_cast<double>(kBytesARound) / microseconds(Clock::now() - start) * 1e6;
}

double quantile(std::vector<double> values, double part) {
  std::sort(values.begin(), values.end());
  return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1)));
}

}  // namespace

int main() {
  asio::io_context serverIo;
  tcp::acceptor acceptor(serverIo, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::thread([&acceptor] {
    for (;;) std::thread(serve, acceptor.accept()).detach();
  }).detach();
  asio::io_context proxyIo;
  fault::Proxy::Options options;
  options.listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
  options.to = acceptor.local_endpoint();
  fault::Proxy proxy(proxyIo, std::move(options));
  std::thread([&proxyIo] { proxyIo.run(); }).detach();
  const std::string text = fault::formatAddress(proxy.address());
  const tcp::endpoint direct = acceptor.local_endpoint(),
                      through(asio::ip::address_v4::loopback(),
                              static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1))));
  asio::io_context io;
  tcp::socket one(io), two(io);
  one.connect(direct);
  two.connect(through);
  for (tcp::socket* socket : {&one, &two}) {
    socket->set_option(tcp::no_delay(true));
    asio::write(*socket, asio::buffer("e", 1));
  }
  std::vector<double> directTrips, throughTrips, directRates, throughRates;
  for (int n = 0; n < kRounds; ++n) {
    for (const double t : trips(one)) directTrips.push_back(t);
    for (const double t : trips(two)) throughTrips.push_back(t);
    if (n % 2 == 1) continue;
    directRates.push_back(bytesASecond(direct));
    throughRates.push_back(bytesASecond(through));
  }
  for (const double part : {0.5, 0.99})
    std::printf("round trip of 64 B, p%.0f: direct %.1f us, through %.1f us, ratio %.2f, added %.1f us\n",
                part * 100, quantile(directTrips, part), quantile(throughTrips, part),
                quantile(throughTrips, part) / quantile(directTrips, part),
                quantile(throughTrips, part) - quantile(directTrips, part));
  std::printf("one way, median of %d rounds of 256 MiB: direct %.0f MB/s, through %.0f MB/s, ratio %.2f\n",
              kRounds / 2, quantile(directRates, 0.5) / 1e6, quantile(throughRates, 0.5) / 1e6,
              quantile(throughRates, 0.5) / quantile(directRates, 0.5));
  std::fflush(stdout);
  std::quick_exit(0);  // the threads serve on
}
