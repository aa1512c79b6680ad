// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A stand-in of a booking node: the upstream of the platform's protocol page, on loopback sockets. NodeModel
// decides what it does with its work, KeyMemory what a repeated key does; each arrival is told to the ledger.
#ifndef IVYPOST_STANDINS_NODE_H_
#define IVYPOST_STANDINS_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "standins/http_server.h"
#include "standins/key_memory.h"
#include "standins/ledger.h"
#include "standins/node_model.h"

namespace ivypost::standins {

class Node {
 public:
  struct Settings {
    std::string id;           // as discovery names it
    std::string group = "0";  // whose members drop each other's repeats
    NodeSettings model;
    std::map<std::string, Micros> work;  // by class, in microseconds of a core, the mean
    Micros defaultWork = 0;              // of other classes
    bool reportsInAnswers = false, probes = true;
    std::size_t maxConnections = 400;  // beyond them requests are turned away
    Micros idle = 30'000'000;          // a connection that stands idle for so long is closed
    std::uint64_t seed = 1;
  };

  // `ledger` and `keys` (those of its group) must outlive it.
  Node(boost::asio::io_context& io, Settings settings, Ledger& ledger, KeyMemory& keys);

  const std::string& id() const { return settings_.id; }
  const std::string& group() const { return settings_.group; }
  // A door of its own for this sidecar, so that arrivals can be told apart.
  boost::asio::ip::tcp::endpoint listen(const std::string& sidecar) { return server_.listen(sidecar); }

  // ---- What happens to it ----
  void start();        // or restart: cold, at the same addresses
  void drain();        // finishes what it has, turns away the rest
  void die();          // connections are reset, new ones refused, until start()
  void hang(bool on);  // takes requests and answers none
  // The next requests, one each, are answered by this in place of being worked on.
  enum class Once : std::uint8_t {
    Error,        // 500
    TurnAway503,  // 503 with X-Never-Ran
    TurnAway504,  // 504 with X-Never-Ran
    Bare503,      // without: promises nothing
    Bare504,
    Reset,  // after the request has come whole
    Close,
  };
  void once(Once what, int count = 1) { once_.insert(once_.end(), static_cast<std::size_t>(count), what); }

  // ---- What it saw ----
  std::uint64_t arrivals() const { return arrivals_; }
  std::uint64_t probes() const { return probes_; }
  std::uint64_t arrivalsWhileHung() const { return arrivalsWhileHung_; }
  std::uint32_t arrivalsOf(const std::string& trace) const;
  std::uint32_t arrivalsOfKey(const std::string& key) const;  // an Idempotency-Key
  std::uint64_t connectionsAccepted() const { return server_.accepted(); }
  std::size_t connections() const { return server_.connections(); }
  const NodeModel& model() const { return model_; }

 private:
  using Exchange = std::shared_ptr<HttpServer::Exchange>;
  struct Job {
    Exchange exchange;
    std::uint64_t arrival = 0;
  };

  void handle(Exchange exchange);
  void probe(const Exchange& exchange);
  bool answerOnce(const Exchange& exchange, std::uint64_t arrival);
  void turnAway(const Exchange& exchange, std::uint64_t arrival, unsigned status);
  void run();
  std::string figures() const;
  Micros workOf(const std::string& requestClass, const std::string& trace) const;

  const Settings settings_;
  Ledger& ledger_;
  KeyMemory& keys_;
  NodeModel model_;
  boost::asio::steady_timer timer_;
  std::deque<Once> once_;
  std::unordered_map<NodeModel::Job, Job> jobs_;
  std::unordered_map<std::string, std::uint32_t> seen_, seenKeys_;
  std::uint64_t arrivals_ = 0, probes_ = 0, arrivalsWhileHung_ = 0;
  bool hung_ = false;
  HttpServer server_;  // the last: its connections' ends call back
};

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_NODE_H_
