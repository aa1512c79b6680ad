// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "listener.h"

#include <boost/asio/error.hpp>
#include <chrono>
#include <utility>

#include "clock.h"
#include "network/nonblocking_io.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// When the kernel has no descriptor for a new connection, accepting waits this long; and when so many
// connections in a row ended while they stood in its queue.
constexpr milliseconds kAcceptPause{10};
constexpr int kMaxFailuresInARow = 16;

// accept() failed since the system is short of something, not since the connection had ended already.
bool isSystemShortage(const error_code& error) {
  return error == asio::error::no_descriptors ||
         error == boost::system::errc::too_many_files_open_in_system || network::isShortage(error);
}

}  // namespace

Listener::Listener(asio::io_context& io, const Config& config, const admission::ConnectionLimiter& limiter,
                   Callbacks callbacks)
    : io_(io),
      limiter_(limiter),
      callbacks_(std::move(callbacks)),
      isInherited_(config.listener.has_value()),
      acceptor_(io),
      timer_(io) {
  if (config.listener) {
    acceptor_.assign(config.listen.protocol(), *config.listener);
  } else {
    acceptor_.open(config.listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(config.listen);
    acceptor_.listen();
  }
  acceptor_.non_blocking(true);
  // Asio would pass over a connection that ended in the queue and wait for the next one to come, while others
  // stand there already.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
}

void Listener::start() {
  isStarted_ = true;
  accept();
}

void Listener::stop() {
  isStarted_ = false;
  // Whatever stands in the queue counts as taken, unless another process reads it too.
  // One that has ended there, or the want of a descriptor, says nothing of those behind.
  for (int failures = 0; !isInherited_ && failures < kMaxFailuresInARow;) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) break;
    failures = error ? failures + 1 : 0;
    if (isSystemShortage(error)) callbacks_.evictConnection();
    if (!error) callbacks_.onAccepted(std::move(socket));
  }
  // Closed, and never shut down: an inherited one stays open for the other process.
  error_code ignored;
  acceptor_.close(ignored);
  waitsForCapacity_ = false;
}

void Listener::onCapacity() {
  if (!waitsForCapacity_ || limiter_.isFull()) return;
  waitsForCapacity_ = false;
  timer_.cancel();
  accept();
}

void Listener::accept() {
  if (!isStarted_ || !acceptor_.is_open()) return;
  if (limiter_.isFull() && !callbacks_.evictConnection()) return waitForEviction();
  if (std::exchange(isAccepting_, true)) return;
  acceptor_.async_accept(
      [this](const error_code& error, tcp::socket socket) { onAccept(error, std::move(socket)); });
}

void Listener::onAccept(const error_code& error, tcp::socket socket) {
  isAccepting_ = false;
  // What was accepted counts as taken, also when the acceptor has been closed since.
  if (!error) callbacks_.onAccepted(std::move(socket));
  if (!acceptor_.is_open()) return;
  failuresInARow_ = error ? failuresInARow_ + 1 : 0;
  const bool isShort = isSystemShortage(error);
  if (!isShort && failuresInARow_ < kMaxFailuresInARow) return accept();
  // Guards against a loop that spins when descriptors have run out.
  if (isShort) callbacks_.evictConnection();
  failuresInARow_ = 0;
  timer_.expires_after(kAcceptPause);
  waitForCapacity();
}

void Listener::waitForEviction() {
  const Micros time = now();
  timer_.expires_after(std::chrono::microseconds(limiter_.nextEvictionAt(time) - time));
  waitForCapacity();
}

void Listener::waitForCapacity() {
  waitsForCapacity_ = true;
  timer_.async_wait([this](const error_code& cancelled) {
    if (!cancelled && std::exchange(waitsForCapacity_, false)) accept();
  });
}

}  // namespace ivypost
