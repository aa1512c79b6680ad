// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/datagram_switch.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "fault/clock.h"

namespace ivypost::fault {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kLargest = 2048;
// Looked at before the loop sees to everything else.
constexpr int kAtOnce = 64;

}  // namespace

udp::endpoint DatagramSwitch::add(const udp::endpoint& own) {
  auto end = std::make_unique<End>(io_, own);
  end->socket.open(udp::v4());
  end->socket.bind(udp::endpoint(asio::ip::address_v4::loopback(), 0));
  end->socket.non_blocking(true);
  ends_.push_back(std::move(end));
  receive(ends_.size() - 1);
  return ends_.back()->socket.local_endpoint();
}

DatagramLink& DatagramSwitch::link(std::size_t from, std::size_t to) {
  return links_.try_emplace({from, to}, seed_ + from * 0x9e3779b97f4a7c15u + to).first->second;
}

void DatagramSwitch::apply(std::size_t from, std::size_t to, const DatagramPlan& plan) {
  if (from < ends_.size() && to < ends_.size()) link(from, to).apply(plan);
}

void DatagramSwitch::receive(std::size_t end) {
  ends_[end]->socket.async_wait(udp::socket::wait_read, [this, end](const boost::system::error_code& error) {
    if (error == asio::error::operation_aborted) return;
    read(end);
    receive(end);
  });
}

void DatagramSwitch::read(std::size_t end) {
  std::array<std::uint8_t, kLargest> buffer{};
  for (int n = 0; n < kAtOnce; ++n) {
    udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t length = ends_[end]->socket.receive_from(asio::buffer(buffer), sender, 0, error);
    if (error == asio::error::connection_refused) continue;
    if (error) break;
    ++counts_.taken;
    counts_.bytes += length;
    const auto from =
        std::find_if(ends_.begin(), ends_.end(), [&](const auto& one) { return one->own == sender; });
    // Whoever is no end has no faults: a test's own sender.
    const auto number = static_cast<std::size_t>(from - ends_.begin());
    for (auto& passed : link(number, end).take(std::span(buffer).first(length), now())) {
      if (pending_.size() >= kMaxPending) {
        ++counts_.overflown;
        continue;
      }
      pending_.emplace(passed.at, Pending{end, std::move(passed.bytes)});
    }
  }
  pass();
}

void DatagramSwitch::pass() {
  while (!pending_.empty() && pending_.begin()->first <= now()) {
    const Pending one = std::move(pending_.begin()->second);
    pending_.erase(pending_.begin());
    boost::system::error_code ignored;
    ends_[one.to]->socket.send_to(asio::buffer(one.bytes), ends_[one.to]->own, 0, ignored);
    ++counts_.passed;
  }
  passLater();
}

void DatagramSwitch::passLater() {
  if (pending_.empty()) return;
  timer_.expires_at(Clock::time_point(std::chrono::microseconds(pending_.begin()->first)));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) pass();
  });
}

}  // namespace ivypost::fault
