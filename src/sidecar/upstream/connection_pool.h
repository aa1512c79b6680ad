// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The upstream side: a pool of connections, and attempts and probes over them. Each attempt ends in exactly
// one outcome, each probe in one result, always by a callback from the event loop and never from within a
// call. Nothing is sent twice by itself.
#ifndef IVYPOST_UPSTREAM_CONNECTION_POOL_H_
#define IVYPOST_UPSTREAM_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "client_request.h"
#include "clock.h"
#include "config.h"
#include "deadlines.h"

namespace ivypost {

struct AttemptId {
  balancer::RequestId request = 0;
  std::uint32_t number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

struct AttemptOrder {
  AttemptId id;
  EndpointId upstream = 0;
  std::shared_ptr<const Message> message;
  std::shared_ptr<Upload> upload;  // of the body; none: it stands in the message
  Clock::time_point deadline;      // not waited for any longer
  Clock::time_point writeBy;       // not sent any later: an upstream would no longer know it for a repeat
};

struct AttemptEnd {
  AttemptId id;
  balancer::Outcome outcome = balancer::Outcome::Ok;
  Clock::duration lag{};
  std::string body, contentType;  // of an Ok that did not begin to stream
  bool streamed = false;          // its answer was passed on by `began`
  bool spent = false;             // of the request's body, some has gone out and is no longer at hand
  Clock::duration transfer{};     // of the lag, the time in which bodies went through in pieces
  std::optional<balancer::LoadReport> report;
};

// An answer of 200 that is too large to be read whole.
struct StreamBegin {
  AttemptId id;
  std::string contentType;
  std::optional<std::uint64_t> length;  // none: it comes in chunks, or ends with its connection
  std::shared_ptr<relay::Pipe> body;
};

struct ProbeEnd {
  EndpointId upstream = 0;
  bool ok = false;
  Clock::duration lag{};
  std::optional<balancer::LoadReport> report;
};

class ConnectionPool {
 public:
  struct Callbacks {
    // Its last byte has gone out; the only one that may be called from within send().
    std::function<void(AttemptId)> written;
    std::function<void(AttemptEnd)> ended;
    // Comes before `ended`; the body that it hands out fails if the rest of the answer does not come.
    std::function<void(StreamBegin)> began;
    std::function<void(ProbeEnd)> probed;
    // Whether this request's client has closed its connection. Asked right before an attempt's first byte; it
    // must not call back into this class. If so, the attempt ends as Moot and nothing is sent. May be empty.
    std::function<bool(balancer::RequestId)> isClientGone{};
  };

  // `budget` is for answers that stream.
  ConnectionPool(boost::asio::io_context& io, const Config& config, relay::Budget& budget,
                 Callbacks callbacks);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ~ConnectionPool();

  void setAddress(EndpointId upstream, const Endpoint& address);
  // It has gone: its idle connections are closed, the others when their attempts end; what waits for one that
  // is coming up is taken back.
  void remove(EndpointId upstream);
  // Ends, as never sent, what waits for a connection to it to come up. For an upstream that wants nothing
  // new: a connection that comes up late would carry a request there after the time in which that is allowed.
  void withdrawComingUp(EndpointId upstream);
  void send(AttemptOrder order);
  void cancel(AttemptId id);  // closes its connection at once; ignored when it has ended
  // The request is over: its attempts of which the last byte has not gone out yet end as never sent, whether
  // or not those that run may be cancelled.
  void withdraw(balancer::RequestId request);
  void probe(EndpointId upstream);
  void closeIdle(EndpointId upstream);

  std::size_t connections() const { return connections_.size(); }
  std::size_t comingUp() const;  // of them, those that carry a job but are not up yet
  // Connections that carry something, of the most that there may be.
  double busyFraction() const;

 private:
  class Connection;
  struct Job;

  void start(std::shared_ptr<Job> job);
  std::shared_ptr<Connection> reuse(EndpointId upstream);
  bool ensureCapacity();
  bool isClientGone(const Job& job) const;
  void end(Job& job, balancer::Outcome outcome);

  boost::asio::io_context& io_;
  const Config& config_;
  relay::Budget& budget_;
  Callbacks callbacks_;
  const std::shared_ptr<Deadlines> deadlines_;  // of the connections
  std::size_t maxConnections_;
  Clock::duration connectTimeout_, idleTime_;
  std::vector<std::optional<Endpoint>> addresses_;              // by upstream; none: it has gone
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;  // by upstream, the last used at the back
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  std::map<AttemptId, std::shared_ptr<Job>> attempts_;  // that have not ended
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_CONNECTION_POOL_H_
