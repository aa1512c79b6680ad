// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_ETCD_SOURCE_H_
#define IVYPOST_DISCOVERY_ETCD_ETCD_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>

#include "discovery/etcd/api_client.h"
#include "discovery/etcd/prefix_watcher.h"
#include "discovery/source.h"

namespace ivypost::discovery::etcd {

/// A source of endpoint lists that uses etcd: PrefixWatcher makes the decisions, ApiClient and a timer
/// execute them.
class EtcdSource final : public discovery::Source {
 public:
  /// `seed` seeds the random waits and the choice of the first endpoint. `log` is called with one line at a
  /// time. `io` must outlive this object. Throws settings::FormatError, with a one-line message, for
  /// invalid options (flawOf()) or files that can't be read.
  EtcdSource(boost::asio::io_context& io, const Options& options, std::uint64_t seed, Callbacks callbacks,
             discovery::Log log);

  void watch() override { handle(Start{}); }
  void fetch() override { handle(Fetch{}); }
  [[nodiscard]] discovery::Freshness freshness() const override;

 private:
  void handle(Input input);
  void execute(const RangeCall& call) { client_.range(call); }
  void execute(const WatchCall& call) { client_.watch(call); }
  void execute(const ProgressRequest& request) { client_.requestProgress(request.stream); }
  void execute(const WatchClose& close) { client_.close(close.stream); }
  void execute(const Publish& publish);
  void execute(const FetchFailure& /*failure*/) const { callbacks_.onFailure(); }
  void execute(const LogLine& line) const { log_(line.text); }
  void startTimer();

  Callbacks callbacks_;
  discovery::Log log_;
  boost::asio::steady_timer timer_;
  PrefixWatcher watcher_;
  // Inputs that arrived while actions were executed; the watcher handles them after all of those actions.
  std::deque<Input> inputs_;
  bool isHandling_ = false;
  bool hasPublished_ = false;
  Micros currentUntil_ = 0;  // until then the last published list is known to have been current
  // A timer's handler may already be queued when this object is destroyed; it holds a weak pointer to this.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>();
  ApiClient client_;  // declared last, so destroyed first: its destructor waits for its calls
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_ETCD_SOURCE_H_
