// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Membership by etcd: the follower, its client and its timer together, as a source like any other.
#ifndef IVYPOST_ETCD_SOURCE_H_
#define IVYPOST_ETCD_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "discovery/source.h"
#include "etcd/client.h"
#include "etcd/follower.h"

namespace ivypost::etcd {

class Source final : public discovery::Source {
 public:
  // `log` gets one line at a time. Throws settings::FormatError, one line, for options with a flaw or files
  // that can't be read.
  Source(boost::asio::io_context& io, const Options& options, std::uint64_t seed, Callbacks callbacks,
         std::function<void(const std::string&)> log);

  void watch() override { run(Follower::Start{}); }
  void fetch() override { run(Follower::Fetch{}); }
  discovery::Freshness freshness() const override;
  const Follower& follower() const { return follower_; }

 private:
  void run(Follower::Input input);
  void carryOut(const Follower::Range& range) { client_.range(range); }
  void carryOut(const Follower::Watch& watch) { client_.watch(watch); }
  void carryOut(const Follower::AskProgress& ask) { client_.askProgress(ask.stream); }
  void carryOut(const Follower::Close& close) { client_.close(close.stream); }
  void carryOut(const Follower::Publish& publish);
  void carryOut(const Follower::FetchFailed& /*failed*/) { callbacks_.onFailure(); }
  void carryOut(const Follower::Report& report) { log_(report.text); }
  void arm();

  Callbacks callbacks_;
  std::function<void(const std::string&)> log_;
  boost::asio::steady_timer timer_;
  Follower follower_;
  // What came while an action was carried out: it is the follower's turn when all of them are.
  std::deque<Follower::Input> inputs_;
  bool running_ = false;
  bool published_ = false;
  Micros currentUntil_ = 0;  // the list that was published last
  // A timer's handler may be on its way already when this ends.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  Client client_;  // the last: its end waits for its calls
};

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_SOURCE_H_
