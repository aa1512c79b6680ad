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

/// Runs Members over UDP, with one socket and one timer.
///
/// Threads: everything runs on the io_context's one thread. Bounds: a datagram has kMaxDatagram bytes at the
/// most; kMaxReadsPerInterval datagrams are read in each kReadInterval, and further ones wait in the kernel
/// or are dropped there. Lifetime: may be destroyed after leave() only when the io_context has run the
/// handlers that leave() cancelled, or will not run again.
class Transport {
 public:
  /// The interval to which kMaxReadsPerInterval applies, in microseconds.
  static constexpr Micros kReadInterval = 100'000;
  /// The maximum number of datagrams read per kReadInterval.
  static constexpr std::uint32_t kMaxReadsPerInterval = 250;

  /// The owner's callbacks, all required; they run on the io_context's thread.
  struct Callbacks {
    /// Returns the payload for an ack, of `room` bytes at the most.
    std::function<std::vector<std::uint8_t>(std::size_t room)> makePayload;
    /// Takes the payload of an answer that was in transit for `delay` microseconds at the most. Returns
    /// whether it held anything new; none if it is malformed.
    std::function<std::optional<bool>(std::span<const std::uint8_t> payload, Micros delay)> receivePayload;
    /// Called when the state of a member has changed.
    std::function<void(const Change&)> memberChanged;
    /// Logs a line, given without a line end.
    std::function<void(const std::string& line)> log;
  };
  /// Counters since construction; bytes exclude the headers of IP and UDP.
  struct Counts {
    std::uint64_t sent = 0;           ///< datagrams sent
    std::uint64_t sentBytes = 0;      ///< bytes in them
    std::uint64_t received = 0;       ///< datagrams received, valid or not
    std::uint64_t receivedBytes = 0;  ///< bytes in them
    std::uint64_t unsealed = 0;       ///< received with an invalid seal or length
    std::uint64_t malformed = 0;      ///< received with a message or payload that can't be decoded
    std::uint64_t replayed = 0;       ///< received messages that Members dropped
    std::uint64_t unsent = 0;         ///< datagrams that the system refused to send
  };

  /// Begins to send and receive. `listen`: the address to bind to; binding is retried every second while it
  /// is in use, for instance while a process is replaced. `seed` initialises the random numbers.
  Transport(boost::asio::io_context& io, const Settings& settings, const Address& listen, const Seal& seal,
            std::uint64_t seed, Callbacks callbacks);
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;
  Transport(Transport&&) = delete;
  Transport& operator=(Transport&&) = delete;
  ~Transport() = default;

  /// Announces to some members that there is a new payload, so that they fetch it at once.
  void announce();
  /// Announces that this sidecar leaves, and closes the socket. Nothing is sent afterwards.
  void leave();

  /// The membership.
  [[nodiscard]] const Members& members() const { return members_; }
  /// The counters.
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// Whether the socket is bound.
  [[nodiscard]] bool listens() const { return socket_.is_open(); }
  /// The port that the socket is bound to. Throws boost::system::system_error if it is not bound.
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
  Micros readInterval_ = 0;
  Micros loggedAt_ = 0;
  std::uint32_t readsInInterval_ = 0;
  bool bindFailed_ = false;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_TRANSPORT_H_
