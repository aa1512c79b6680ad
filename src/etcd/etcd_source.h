// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Membership by etcd: the watcher, its client and its timer together, as a source like any other.
#ifndef IVYPOST_ETCD_ETCD_SOURCE_H_
#define IVYPOST_ETCD_ETCD_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "discovery/source.h"
#include "etcd/api_client.h"
#include "etcd/prefix_watcher.h"

namespace ivypost::etcd {

class EtcdSource final : public discovery::Source {
 public:
  // `log` gets one line at a time. Throws settings::FormatError, one line, for options with a flaw or files
  // that can't be read.
  EtcdSource(boost::asio::io_context& io, const Options& options, std::uint64_t seed, Callbacks callbacks,
             std::function<void(const std::string&)> log);

  void watch() override { run(PrefixWatcher::Start{}); }
  void fetch() override { run(PrefixWatcher::Fetch{}); }
  discovery::Freshness freshness() const override;
  const PrefixWatcher& watcher() const { return watcher_; }

 private:
  void run(PrefixWatcher::Input input);
  void carryOut(const PrefixWatcher::RangeCall& range) { client_.range(range); }
  void carryOut(const PrefixWatcher::WatchCall& watch) { client_.watch(watch); }
  void carryOut(const PrefixWatcher::ProgressRequest& ask) { client_.askProgress(ask.stream); }
  void carryOut(const PrefixWatcher::WatchClose& close) { client_.close(close.stream); }
  void carryOut(const PrefixWatcher::Publish& publish);
  void carryOut(const PrefixWatcher::FetchFailure& /*failed*/) { callbacks_.onFailure(); }
  void carryOut(const PrefixWatcher::LogLine& report) { log_(report.text); }
  void arm();

  Callbacks callbacks_;
  std::function<void(const std::string&)> log_;
  boost::asio::steady_timer timer_;
  PrefixWatcher watcher_;
  // What came while an action was carried out: it is the watcher's turn when all of them are.
  std::deque<PrefixWatcher::Input> inputs_;
  bool running_ = false;
  bool published_ = false;
  Micros currentUntil_ = 0;  // the list that was published last
  // A timer's handler may be on its way already when this ends.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  ApiClient client_;  // the last: its end waits for its calls
};

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_ETCD_SOURCE_H_
