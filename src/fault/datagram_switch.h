// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Stands between processes that send each other datagrams on loopback: each is reached through a socket of
// the switch, and each way between two of them has faults of its own (datagram.h).
//
// Threads: everything on the io_context's one thread. Bound: kMaxPending datagrams on their way, all ways
// together; beyond it the newest is lost.
#ifndef IVYPOST_FAULT_DATAGRAM_SWITCH_H_
#define IVYPOST_FAULT_DATAGRAM_SWITCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <utility>
#include <vector>

#include "fault/datagram.h"

namespace ivypost::fault {

class DatagramSwitch {
 public:
  static constexpr std::size_t kMaxPending = 65536;
  struct Counts {
    std::uint64_t taken = 0, passed = 0, overflown = 0;
    std::uint64_t bytes = 0;  // taken
  };

  DatagramSwitch(boost::asio::io_context& io, std::uint64_t seed) : io_(io), seed_(seed), timer_(io) {}
  DatagramSwitch(const DatagramSwitch&) = delete;
  DatagramSwitch& operator=(const DatagramSwitch&) = delete;

  // The process that listens at `own` is reached, from now on, at what this gives. Throws
  // boost::system::system_error where no socket is left. Ends are numbered from 0.
  boost::asio::ip::udp::endpoint add(const boost::asio::ip::udp::endpoint& own);
  // For datagrams of one end to another. Between ends that are not there it does nothing.
  void apply(std::size_t from, std::size_t to, const DatagramPlan& plan);
  std::size_t ends() const { return ends_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  struct End {
    End(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listens)
        : own(listens), socket(io) {}
    boost::asio::ip::udp::endpoint own;
    boost::asio::ip::udp::socket socket;
  };
  struct Pending {
    std::size_t to = 0;
    std::vector<std::uint8_t> bytes;
  };

  void receive(std::size_t end);
  void read(std::size_t end);
  void pass();
  void passLater();
  DatagramLink& link(std::size_t from, std::size_t to);

  boost::asio::io_context& io_;
  const std::uint64_t seed_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<End>> ends_;
  std::map<std::pair<std::size_t, std::size_t>, DatagramLink> links_;
  std::multimap<Micros, Pending> pending_;
  Counts counts_;
};

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_DATAGRAM_SWITCH_H_
