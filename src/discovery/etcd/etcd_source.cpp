// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/etcd_source.h"

#include <chrono>
#include <utility>
#include <variant>

#include "settings/format_error.h"

namespace ivypost::discovery::etcd {
namespace {

using std::chrono::microseconds;

Micros now() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<microseconds>(since).count();
}

const Options& checked(const Options& options) {
  if (const auto flaw = flawOf(options)) throw settings::FormatError("etcd: " + *flaw);
  return options;
}

}  // namespace

EtcdSource::EtcdSource(boost::asio::io_context& io, const Options& options, std::uint64_t seed,
                       Callbacks callbacks, discovery::Log log)
    : callbacks_(std::move(callbacks)),
      log_(std::move(log)),
      timer_(io),
      watcher_(checked(options), seed),
      client_(io, options,
              {[this](RangeResult result) { handle(std::move(result)); },
               [this](WatchResult result) { handle(std::move(result)); },
               [this](WatchEnd end) { handle(std::move(end)); }, log_}) {}

discovery::Freshness EtcdSource::freshness() const {
  return watcher_.freshness(now());
}

void EtcdSource::handle(Input input) {
  inputs_.push_back(std::move(input));
  if (std::exchange(isHandling_, true)) return;
  while (!inputs_.empty()) {
    const Input next = std::move(inputs_.front());
    inputs_.pop_front();
    Actions actions;
    currentUntil_ = now() - watcher_.freshness(now()).age.count();
    watcher_.handle(next, now(), actions);
    for (const auto& action : actions) std::visit([this](const auto& one) { execute(one); }, action);
  }
  isHandling_ = false;
  startTimer();
}

void EtcdSource::execute(const Publish& publish) {
  discovery::EndpointList list{publish.revision, publish.isComplete, publish.instances};
  if (std::exchange(hasPublished_, true))
    list.previousUntil = discovery::TimePoint(microseconds(currentUntil_));
  callbacks_.onList(std::move(list));
}

void EtcdSource::startTimer() {
  const auto next = watcher_.nextTimer();
  if (!next) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(std::chrono::steady_clock::time_point(microseconds(*next)));
  timer_.async_wait(
      [this, lifetime = std::weak_ptr<int>(lifetime_)](const boost::system::error_code& cancelled) {
        if (!cancelled && !lifetime.expired()) handle(TimerExpired{});
      });
}

}  // namespace ivypost::discovery::etcd
