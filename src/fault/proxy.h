// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Carries fault plans out between sockets: accepts on one address, connects on to another, TCP or Unix. All
// that is decided is decided by Connection (connection.h).
//
// Threads: everything on the io_context's one thread. Ownership: connections that are open when the proxy is
// destroyed are closed; their handlers run to nothing.
#ifndef IVYPOST_FAULT_PROXY_H_
#define IVYPOST_FAULT_PROXY_H_

#include <boost/asio/generic/stream_protocol.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fault/connection.h"
#include "fault/plan.h"

namespace ivypost::fault {

using Stream = boost::asio::generic::stream_protocol;
using Address = Stream::endpoint;

// "127.0.0.1:80", "[::1]:80", "unix:/path", "unix:@abstract". Throws std::invalid_argument with one line.
Address parseAddress(const std::string& text);
std::string formatAddress(const Address& address);

// At so many connections no more are accepted; one whose client has left gives way first.
constexpr std::size_t kMaxConnections = 4096;

class Proxy {
 public:
  struct Options {  // NOLINT(bugprone-exception-escape): Asio's endpoints have no noexcept moves
    Address listen, to;
    Plan plan;
    std::uint64_t seed = 0;
    // Of sockets that are accepted, in bytes as SO_RCVBUF takes them; 0: the system's. A small one makes a
    // sender notice sooner that nothing is read.
    int receiveBuffer = 0;
    // A fault was done on this connection; may be empty. Must not destroy the proxy.
    std::function<void(std::uint64_t connection, const Done&)> log;
  };
  struct Counts {
    std::uint64_t accepted = 0, open = 0, unreachable = 0;  // unreachable: the connect on failed
    std::uint64_t requestBytes = 0, answerBytes = 0;        // read
    std::map<std::string, std::uint64_t> faults;            // by action
  };
  struct Open {
    std::uint64_t number = 0;
    std::uint64_t requestBytes = 0, answerBytes = 0;  // read
    std::size_t held = 0;                             // in both directions
  };

  // Listens at once. Throws boost::system::system_error when it can't. A Unix path that is left over from an
  // earlier run is replaced; any other file is an error.
  Proxy(boost::asio::io_context& io, Options options);
  ~Proxy();  // NOLINT(bugprone-exception-escape): see there
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  Address address() const { return address_; }

  // For connections to come and, from here on, for those that are open: Connection::replace().
  void apply(Plan plan);
  void command(const std::string& name);
  Counts counts() const;
  std::vector<Open> list(std::size_t atMost) const;  // the oldest first

 private:
  class Link;

  void listen(Listener mode);
  void open(bool listening, int backlog);
  void accept();
  void admit(Stream::socket socket);
  bool makeRoom();
  void fill();

  boost::asio::io_context& io_;
  Options options_;
  Address address_;
  Listener mode_ = Listener::Accept;
  std::shared_ptr<Stream::socket> listener_, waiting_;  // the second: the one that is waited on
  boost::asio::steady_timer retry_;
  std::vector<Stream::socket> fillers_;  // that keep the backlog full
  std::map<std::uint64_t, std::shared_ptr<Link>> links_;
  Counts counts_;
};

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_PROXY_H_
