// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "peers/peers_io.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ivypost::peers {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kOpenAgain{1};
// One line of complaint in this time.
constexpr Micros kComplain = 1'000'000;

Micros now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

udp::endpoint endpointOf(const Address& address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

}  // namespace

PeersIo::PeersIo(asio::io_context& io, const Settings& settings, const Address& listen, const Seal& seal,
                 std::uint64_t seed, Callbacks callbacks)
    : io_(io),
      listen_(endpointOf(listen)),
      seal_(seal),
      callbacks_(std::move(callbacks)),
      members_(settings, seed, now()),
      socket_(io),
      timer_(io),
      openTimer_(io),
      pause_(io) {
  open();
  arm();
}

void PeersIo::open() {
  boost::system::error_code error;
  socket_.open(udp::v4(), error);
  if (!error) socket_.bind(listen_, error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) {
    if (openFailed_) callbacks_.log("peers: listening now");
    return receive();
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (!std::exchange(openFailed_, true))
    callbacks_.log("peers: cannot listen, and it is tried again: " + error.message());
  openTimer_.expires_after(kOpenAgain);
  openTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) open();
  });
}

void PeersIo::receive() {
  socket_.async_wait(udp::socket::wait_read, [this](const boost::system::error_code& error) {
    if (error == asio::error::operation_aborted) return;
    read();
  });
}

// Guards the requests against a flood: what is beyond the bound of a tick waits for the next one.
void PeersIo::read() {
  if (const Micros slice = now() / kTick; slice != slice_) {
    slice_ = slice;
    inSlice_ = 0;
  }
  while (inSlice_ < kMostInTick) {
    boost::system::error_code error;
    const std::size_t length = socket_.receive_from(asio::buffer(buffer_), from_, 0, error);
    if (error == asio::error::would_block) return receive();
    ++inSlice_;
    // An answer from the system that somebody is not there comes as an error of the socket; it means nothing,
    // nor does another of one call. They count, so that the loop doesn't spin on one that lasts.
    if (!error) take(length);
  }
  complain("more datagrams than are looked at");
  pause_.expires_at(Clock::time_point(std::chrono::microseconds((slice_ + 1) * kTick)));
  pause_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) read();
  });
}

void PeersIo::take(std::size_t length) {
  ++counts_.received;
  counts_.receivedBytes += length;
  const auto sealed = seal_.open(std::span(buffer_).first(length));
  if (sealed.empty()) {
    ++counts_.unsealed;
    return complain("a datagram that is not from this key");
  }
  const auto message = decode(sealed);
  if (!message) {
    ++counts_.malformed;
    return complain("a datagram that is no message of this version");
  }
  const Micros at = now();
  const auto late = members_.asked(*message, at);
  std::vector<Outgoing> out;
  if (!members_.receive(*message, at, out)) {
    if (message->sender != members_.settings().self) ++counts_.replayed;
    if (members_.full()) complain("more sidecars than are remembered (4096); those beyond are not heard");
  } else if (late && !message->facts.empty()) {
    const auto news = callbacks_.told(message->facts, *late);
    if (news && *news) members_.announce(at, out);
    if (!news) {
      ++counts_.malformed;
      complain("facts that are none");
    }
  }
  send(out);
  arm();
}

void PeersIo::arm() {
  timer_.expires_at(Clock::time_point(std::chrono::microseconds(members_.next())));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) ticked();
  });
}

void PeersIo::ticked() {
  std::vector<Outgoing> out;
  members_.tick(now(), out);
  send(out);
  arm();
}

void PeersIo::send(std::vector<Outgoing>& out) {
  for (Outgoing& one : out) {
    if (one.message.kind == Kind::Ack) {
      one.message.facts = callbacks_.tell(roomForFacts(one.message));
      members_.charge(one.message.facts.size(), now());
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
  for (const Change& change : members_.takeChanges()) callbacks_.changed(change);
}

void PeersIo::announce() {
  std::vector<Outgoing> out;
  members_.announce(now(), out);
  send(out);
}

void PeersIo::leave() {
  std::vector<Outgoing> out;
  members_.leave(now(), out);
  send(out);
  timer_.cancel();
  openTimer_.cancel();
  pause_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void PeersIo::complain(const char* what) {
  const Micros at = now();
  if (complainedAt_ != 0 && at - complainedAt_ < kComplain) return;
  complainedAt_ = at;
  callbacks_.log(std::string("peers: ") + what);
}

}  // namespace ivypost::peers
