// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Carries the membership of sidecars out over UDP: one socket, one timer. What is decided is Members'.
//
// Threads: everything on the io_context's one thread. Bounds: a datagram is 256 bytes at the most; of those
// that come, kMaxPerSlice are looked at in each kSlice, and what is beyond waits in the kernel or is lost
// there.
#ifndef IVYPOST_GOSSIP_TRANSPORT_H_
#define IVYPOST_GOSSIP_TRANSPORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gossip/members.h"
#include "gossip/seal.h"

namespace ivypost::gossip {

class Transport {
 public:
  static constexpr Micros kSlice = 100'000;
  static constexpr std::uint32_t kMaxPerSlice = 250;

  struct Callbacks {
    // Facts for a message, of so many bytes at the most.
    std::function<std::vector<std::uint8_t>(std::size_t room)> makePayload;
    // Facts of an answer, that were on the way for so long at the most: whether they were news; none: they
    // are no facts.
    std::function<std::optional<bool>(std::span<const std::uint8_t> payload, Micros delay)> receivePayload;
    std::function<void(const Change&)> memberChanged;
    std::function<void(const std::string& line)> log;
  };
  struct Counts {
    std::uint64_t sent = 0, sentBytes = 0, received = 0, receivedBytes = 0;
    std::uint64_t unsealed = 0;  // not from this key, or of no allowed length
    std::uint64_t malformed = 0, replayed = 0;
    std::uint64_t unsent = 0;  // the system would not take them
  };

  // `listen`: where to bind; tried again each second while it is taken, as while a process is replaced.
  Transport(boost::asio::io_context& io, const Settings& settings, const Address& listen, const Seal& seal,
            std::uint64_t seed, Callbacks callbacks);
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // There are new facts.
  void announce();
  // This sidecar ends. Nothing is sent after it.
  void leave();

  const Members& members() const { return members_; }
  const Counts& counts() const { return counts_; }
  bool listens() const { return socket_.is_open(); }
  std::uint16_t port() const { return socket_.local_endpoint().port(); }

 private:
  void open();
  void waitReadable();
  void readDatagrams();
  void handleDatagram(std::size_t length);
  void armTimer();
  void onTick();
  void send(std::vector<Outgoing>& out);
  void logThrottled(const char* what);

  boost::asio::io_context& io_;
  boost::asio::ip::udp::endpoint listen_;
  Seal seal_;
  Callbacks callbacks_;
  Members members_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_, rebindTimer_, resumeTimer_;
  boost::asio::ip::udp::endpoint from_;
  std::array<std::uint8_t, kMaxDatagram + 1> buffer_{};
  Counts counts_;
  Micros slice_ = 0, loggedAt_ = 0;
  std::uint32_t takenInSlice_ = 0;
  bool bindFailed_ = false;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_TRANSPORT_H_
