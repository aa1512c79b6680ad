// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "gossip/transport.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ivypost::gossip {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kRebindInterval{1};
// The minimum interval between log lines about rejected datagrams, in microseconds.
constexpr Micros kLogInterval = 1'000'000;

Micros now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

udp::endpoint endpointOf(const Address& address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

}  // namespace

Transport::Transport(asio::io_context& io, const Settings& settings, const Address& listen, const Seal& seal,
                     std::uint64_t seed, Callbacks callbacks)
    : listen_(endpointOf(listen)),
      seal_(seal),
      callbacks_(std::move(callbacks)),
      members_(settings, seed, now()),
      socket_(io),
      timer_(io),
      rebindTimer_(io),
      resumeTimer_(io) {
  open();
  armTimer();
}

void Transport::open() {
  boost::system::error_code error;
  socket_.open(udp::v4(), error);
  if (!error) socket_.bind(listen_, error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) {
    if (bindFailed_) callbacks_.log("peers: listening now");
    return waitReadable();
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (!std::exchange(bindFailed_, true))
    callbacks_.log("peers: cannot listen, and it is tried again: " + error.message());
  rebindTimer_.expires_after(kRebindInterval);
  rebindTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) open();
  });
}

void Transport::waitReadable() {
  socket_.async_wait(udp::socket::wait_read, [this](const boost::system::error_code& error) {
    if (error == asio::error::operation_aborted) return;
    readDatagrams();
  });
}

// Guards the proxied requests against a flood of datagrams: once kMaxReadsPerInterval datagrams have been
// read, reading resumes in the next interval.
void Transport::readDatagrams() {
  if (const Micros interval = now() / kReadInterval; interval != readInterval_) {
    readInterval_ = interval;
    readsInInterval_ = 0;
  }
  while (readsInInterval_ < kMaxReadsPerInterval) {
    boost::system::error_code error;
    const std::size_t length = socket_.receive_from(asio::buffer(buffer_), from_, 0, error);
    if (error == asio::error::would_block) return waitReadable();
    ++readsInInterval_;
    // Errors are ignored: an ICMP "port unreachable" for an earlier datagram may be reported here, and other
    // errors concern this one call. They count towards the limit, so that a persistent error can't make the
    // loop spin.
    if (!error) handleDatagram(length);
  }
  logThrottled("more datagrams than are looked at");
  resumeTimer_.expires_at(Clock::time_point(std::chrono::microseconds((readInterval_ + 1) * kReadInterval)));
  resumeTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) readDatagrams();
  });
}

void Transport::handleDatagram(std::size_t length) {
  ++counts_.received;
  counts_.receivedBytes += length;
  const auto sealed = seal_.open(std::span(buffer_).first(length));
  if (sealed.empty()) {
    ++counts_.unsealed;
    return logThrottled("a datagram that is not from this key");
  }
  const auto message = decode(sealed);
  if (!message) {
    ++counts_.malformed;
    return logThrottled("a datagram that is no message of this version");
  }
  handleMessage(*message);
}

void Transport::handleMessage(const Message& message) {
  const Micros at = now();
  const auto delay = members_.elapsedSincePing(message, at);
  std::vector<Outgoing> out;
  if (!members_.receive(message, at, out)) {
    if (message.sender != members_.settings().self) ++counts_.replayed;
    if (members_.isFull())
      logThrottled("more sidecars than are remembered (4096); those beyond are not heard");
  } else if (delay && !message.payload.empty()) {
    const auto isNew = callbacks_.receivePayload(message.payload, *delay);
    if (isNew && *isNew) members_.announce(at, out);
    if (!isNew) {
      ++counts_.malformed;
      logThrottled("facts that are none");
    }
  }
  send(out);
  armTimer();
}

void Transport::armTimer() {
  timer_.expires_at(Clock::time_point(std::chrono::microseconds(members_.nextTick())));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) onTick();
  });
}

void Transport::onTick() {
  std::vector<Outgoing> out;
  members_.tick(now(), out);
  send(out);
  armTimer();
}

void Transport::send(std::vector<Outgoing>& out) {
  for (Outgoing& one : out) {
    if (one.message.kind == Kind::Ack) {
      one.message.payload = callbacks_.makePayload(roomForPayload(one.message));
      members_.charge(one.message.payload.size(), now());
    }
    auto bytes = encode(one.message);
    seal_.close(bytes);
    boost::system::error_code error;
    if (socket_.is_open()) socket_.send_to(asio::buffer(bytes), endpointOf(one.to), 0, error);
    if (error || !socket_.is_open()) {
      ++counts_.unsent;
      continue;
    }
    ++counts_.sent;
    counts_.sentBytes += bytes.size();
  }
  for (const Change& change : members_.takeChanges()) callbacks_.memberChanged(change);
}

void Transport::announce() {
  std::vector<Outgoing> out;
  members_.announce(now(), out);
  send(out);
}

void Transport::leave() {
  std::vector<Outgoing> out;
  members_.leave(now(), out);
  send(out);
  timer_.cancel();
  rebindTimer_.cancel();
  resumeTimer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Transport::logThrottled(const char* what) {
  const Micros at = now();
  if (loggedAt_ != 0 && at - loggedAt_ < kLogInterval) return;
  loggedAt_ = at;
  callbacks_.log(std::string("peers: ") + what);
}

}  // namespace ivypost::gossip
