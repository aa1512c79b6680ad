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

// Accepting pauses for this time when the system has no descriptor or memory for a new connection, and after
// kMaxFailuresInARow consecutive failures, for example because connections ended in the kernel's queue.
constexpr milliseconds kAcceptPause{10};
constexpr int kMaxFailuresInARow = 16;

// Whether accept() failed because the system lacks resources, and not because the connection had already
// ended.
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
  // Without this option, Asio skips a connection that ended in the queue and waits for a new one, although
  // others are already in the queue.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
}

void Listener::start() {
  isStarted_ = true;
  accept();
}

void Listener::pause() {
  isStarted_ = false;
  waitsForCapacity_ = false;
  timer_.cancel();
  error_code ignored;
  acceptor_.cancel(ignored);
}

void Listener::close() {
  pause();
  // A connection that has ended in the queue, or a lack of descriptors, does not mean that the queue is
  // empty.
  for (int failures = 0; !isInherited_ && failures < kMaxFailuresInARow;) {
    const bool hasCapacity = !limiter_.isFull() || callbacks_.evictConnection();
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) break;
    failures = error ? failures + 1 : 0;
    if (isSystemShortage(error)) callbacks_.evictConnection();
    if (error) continue;
    if (hasCapacity) {
      callbacks_.onAccepted(std::move(socket));
    } else {
      callbacks_.onRejected(std::move(socket));
    }
  }
  // The socket is closed but never shut down: an inherited one stays open for the other process.
  error_code ignored;
  acceptor_.close(ignored);
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
  // An accepted connection is served even if the listener has been paused or closed since.
  if (!error) callbacks_.onAccepted(std::move(socket));
  if (!isStarted_) return;
  failuresInARow_ = error ? failuresInARow_ + 1 : 0;
  const bool isShort = isSystemShortage(error);
  if (!isShort && failuresInARow_ < kMaxFailuresInARow) return accept();
  // Without a pause the loop would spin when descriptors have run out.
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
