// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
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

/// Executes what Members decides, over UDP: one socket, one timer.
///
/// Threads: everything on the io_context's one thread. Bounds: a datagram is kMaxDatagram bytes at the most;
/// of those that come, kMaxPerSlice are read in each kSlice, and what is beyond waits in the kernel or is
/// lost there. Lifetime: to be destroyed after leave() only once the io_context has run the handlers that
/// leave() cancels, or never runs again.
class Transport {
 public:
  /// The time over which datagrams are counted against kMaxPerSlice, in microseconds.
  static constexpr Micros kSlice = 100'000;
  /// Datagrams that are read in a slice at the most.
  static constexpr std::uint32_t kMaxPerSlice = 250;

  /// What the owner does for it; each is called on the io_context's thread, and all have to be set.
  struct Callbacks {
    /// The payload for an ack, of so many bytes at the most.
    std::function<std::vector<std::uint8_t>(std::size_t room)> makePayload;
    /// The payload of an answer that was on its way for `delay` microseconds at the most: whether it changed
    /// anything; none: it is malformed.
    std::function<std::optional<bool>(std::span<const std::uint8_t> payload, Micros delay)> receivePayload;
    /// The state of a member has changed.
    std::function<void(const Change&)> memberChanged;
    /// A line for the log, without a line's end.
    std::function<void(const std::string& line)> log;
  };
  /// What it has counted since it was made; bytes without the headers of IP and UDP.
  struct Counts {
    std::uint64_t sent = 0;           ///< datagrams
    std::uint64_t sentBytes = 0;      ///< of them
    std::uint64_t received = 0;       ///< datagrams, whatever they held
    std::uint64_t receivedBytes = 0;  ///< of them
    std::uint64_t unsealed = 0;       ///< received, not from this key or of no allowed length
    std::uint64_t malformed = 0;      ///< received, no message or no payload of this version
    std::uint64_t replayed = 0;       ///< received, dropped by Members
    std::uint64_t unsent = 0;         ///< the system would not take them
  };

  /// Begins to send and receive. `listen`: where to bind; tried again each second while it is taken, as while
  /// a process is replaced. `seed`: of the random numbers.
  Transport(boost::asio::io_context& io, const Settings& settings, const Address& listen, const Seal& seal,
            std::uint64_t seed, Callbacks callbacks);
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;
  Transport(Transport&&) = delete;
  Transport& operator=(Transport&&) = delete;
  ~Transport() = default;

  /// There is a new payload that others should not wait for.
  void announce();
  /// This sidecar ends. Nothing is sent after it.
  void leave();

  /// What is known of others.
  [[nodiscard]] const Members& members() const { return members_; }
  /// What was counted.
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// Whether it is bound.
  [[nodiscard]] bool listens() const { return socket_.is_open(); }
  /// The port that it is bound to. Throws boost::system::system_error where it is not bound.
  [[nodiscard]] std::uint16_t port() const { return socket_.local_endpoint().port(); }

 private:
  void open();
  void waitReadable();
  void readDatagrams();
  void handleDatagram(std::size_t length);
  void handleMessage(const Message& message);
  void armTimer();
  void onTick();
  void send(std::vector<Outgoing>& out);
  void logThrottled(const char* what);

  boost::asio::ip::udp::endpoint listen_;
  Seal seal_;
  Callbacks callbacks_;
  Members members_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer rebindTimer_;
  boost::asio::steady_timer resumeTimer_;
  boost::asio::ip::udp::endpoint from_;
  std::array<std::uint8_t, kMaxDatagram + 1> buffer_{};
  Counts counts_;
  Micros slice_ = 0;
  Micros loggedAt_ = 0;
  std::uint32_t takenInSlice_ = 0;
  bool bindFailed_ = false;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_TRANSPORT_H_
