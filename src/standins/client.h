// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A stand-in of the application beside a sidecar: arrivals by a seed that don't wait for answers, one request
// at a time on a connection, more connections when all are busy, retries of its own, clients that lose
// patience. What it sends and hears is told to the ledger.
#ifndef IVYPOST_STANDINS_CLIENT_H_
#define IVYPOST_STANDINS_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "standins/ledger.h"

namespace ivypost::standins {

// One kind of request.
struct Call {
  std::string requestClass;
  Effect effect = Effect::Safe;
  std::string tenant;
  Micros deadline = 1'000'000;        // the client waits so long
  Micros latencyObjective = 500'000;  // and wants its answer within this
  std::size_t bodyBytes = 100;        // of those that have a body
};

class Client {
 public:
  struct Share {
    Call call;
    double share = 1;  // of all arrivals, relative to the others
  };
  struct Load {
    std::vector<Share> shares;
    double rate = 100;          // arrivals a second, exponential gaps; over 0
    std::uint32_t retries = 0;  // of what was refused or failed, each under an id of its own
    Micros backoff = 50'000;    // ahead of the first; twice as long each time, and up to half of it more
    bool honourRetryAfter = true;
    double impatient = 0;              // of the requests: their client leaves within their time
    std::size_t maxConnections = 128;  // what finds none is not sent, and counted
  };
  struct Counts {
    std::uint64_t offered = 0, sent = 0, inAim = 0, retries = 0, noConnection = 0, connections = 0;
  };
  struct Result {
    unsigned status = 0;  // 0: no whole answer
    std::string body;
    Micros took = 0;
    Micros retryAfter = 0;  // microseconds; 0: none
  };
  using Done = std::function<void(const Result&)>;

  // `name` is part of its requests' ids. `ledger` must outlive it.
  Client(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint sidecar, std::uint32_t name,
         std::uint64_t seed, Ledger& ledger);
  ~Client();  // NOLINT(bugprone-exception-escape): see there
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // One request now; its id comes back, `done` is called when it is over.
  std::string send(const Call& call, Done done = {});
  // Arrivals from now on, until stop(). May be called again to change the load.
  void start(Load load);
  void stop();
  // The sidecar was killed, or is back: what it holds when it is killed is the client's to send again, and no
  // loss.
  void sidecarGone(bool gone) { gone_ = gone; }
  // Requests that are not over.
  std::size_t open() const;

  const Counts& counts() const { return counts_; }
  struct ShareCounts {
    std::uint64_t offered = 0, inAim = 0;
  };
  // By class and tenant.
  const std::map<std::pair<std::string, std::string>, ShareCounts>& byShare() const { return byShare_; }

 private:
  class Line;

  void arrive();
  void schedule();
  void attempt(const Call& call, std::uint32_t tries);
  std::string sendOn(const Call& call, Done done, Micros patience, bool isRetry);
  std::string newId();

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint sidecar_;
  const std::uint32_t name_;
  std::mt19937_64 random_;
  Ledger& ledger_;
  Load load_;
  bool running_ = false, gone_ = false;
  Micros nextAt_ = 0;
  std::uint64_t lastId_ = 0;
  Counts counts_;
  std::map<std::pair<std::string, std::string>, ShareCounts> byShare_;
  boost::asio::steady_timer timer_;
  std::unordered_set<std::shared_ptr<Line>> lines_;
  std::vector<std::shared_ptr<Line>> idle_;
  std::unordered_set<std::shared_ptr<boost::asio::steady_timer>> backoffs_;
};

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_CLIENT_H_
