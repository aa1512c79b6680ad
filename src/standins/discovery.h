// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A stand-in of discovery: the list of nodes and its watch by generation, as the platform's protocol page has
// them, and the ways in which it fails. Each sidecar has a door of its own, as each has an agent of its own
// where lists are pushed; what has been told is told to the ledger.
#ifndef IVYPOST_STANDINS_DISCOVERY_H_
#define IVYPOST_STANDINS_DISCOVERY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/http_server.h"
#include "standins/ledger.h"

namespace ivypost::standins {

class Discovery {
 public:
  enum class State : std::uint8_t { Up, Draining, Removed };
  struct Entry {
    std::string id;
    // Where each sidecar reaches it, by the sidecar's name; "" for all that aren't named.
    std::map<std::string, boost::asio::ip::tcp::endpoint> addresses;
    std::string zone = "oviedo-dc1", kind = "nodo-medio";
    std::uint32_t cell = 0;
    State state = State::Up;
    double weight = 1;
    std::int64_t startedAtMs = 0;
  };

  // `ledger` must outlive it.
  Discovery(boost::asio::io_context& io, Ledger& ledger);

  boost::asio::ip::tcp::endpoint listen(const std::string& sidecar) { return server_.listen(sidecar); }

  // A new or changed entry; it is told `delay` later, behind all that was put before.
  void put(Entry entry, Micros delay = 0);
  // What a sidecar would be told of an entry that was put; to change it and put it again.
  Entry entry(const std::string& id) const { return entries_.at(id).entry; }
  std::int64_t generation() const { return generation_; }
  // The whole list as this sidecar has it, also for its configuration's `known`. Told to the ledger.
  nlohmann::json whole(const std::string& sidecar);

  // ---- How it fails ----
  void silent(bool on);  // takes calls and answers none; those that wait are answered when it is over
  void down();           // ends watches and refuses, until up()
  void up();
  // Every answer's text goes through this before it is written; what comes out is not told to the ledger.
  // Empty: none.
  std::function<std::string(const std::string&)> tamper;
  // Answers calls for the whole list or a watch by this status; 0: as usual.
  unsigned status = 0;

  std::uint64_t calls() const { return calls_; }

  static constexpr Micros kMaxWait = 60'000'000;

 private:
  using Exchange = std::shared_ptr<HttpServer::Exchange>;
  struct Known {
    Entry entry;
    std::int64_t generation = 0;  // in which it changed last
  };
  struct Watch {
    Exchange exchange;
    std::int64_t after = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void handle(Exchange exchange);
  void apply(Entry entry);
  void release();
  void answer(const Exchange& exchange, std::int64_t after, bool whole);
  nlohmann::json list(const std::string& sidecar, std::int64_t after, bool whole) const;
  void tell(const std::string& sidecar, std::int64_t after);

  boost::asio::io_context& io_;
  Ledger& ledger_;
  std::int64_t generation_ = 40;
  std::map<std::string, Known> entries_;
  std::list<Watch> watches_;
  bool silent_ = false;
  std::uint64_t calls_ = 0;
  HttpServer server_;  // the last: its connections' ends call back
};

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_DISCOVERY_H_
