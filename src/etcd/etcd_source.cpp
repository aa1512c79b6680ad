// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd/etcd_source.h"

#include <chrono>
#include <utility>
#include <variant>

#include "settings/settings.h"

namespace ivypost::etcd {
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
                       Callbacks callbacks, std::function<void(const std::string&)> log)
    : callbacks_(std::move(callbacks)),
      log_(std::move(log)),
      timer_(io),
      watcher_(checked(options), seed),
      client_(io, options,
              {[this](PrefixWatcher::RangeResult ranged) { run(std::move(ranged)); },
               [this](PrefixWatcher::WatchResult watched) { run(std::move(watched)); },
               [this](PrefixWatcher::WatchEnd ended) { run(std::move(ended)); }, log_}) {}

discovery::Freshness EtcdSource::freshness() const {
  return watcher_.freshness(now());
}

void EtcdSource::run(PrefixWatcher::Input input) {
  inputs_.push_back(std::move(input));
  if (std::exchange(running_, true)) return;
  while (!inputs_.empty()) {
    const PrefixWatcher::Input next = std::move(inputs_.front());
    inputs_.pop_front();
    PrefixWatcher::Actions actions;
    currentUntil_ = now() - watcher_.freshness(now()).age.count();
    watcher_.handle(next, now(), actions);
    for (const auto& action : actions) std::visit([this](const auto& one) { carryOut(one); }, action);
  }
  running_ = false;
  arm();
}

void EtcdSource::carryOut(const PrefixWatcher::Publish& publish) {
  discovery::EndpointList list{publish.revision, publish.whole, publish.instances};
  if (std::exchange(published_, true)) list.previousUntil = discovery::TimePoint(microseconds(currentUntil_));
  callbacks_.onList(std::move(list));
}

void EtcdSource::arm() {
  const auto at = watcher_.wakeAt();
  if (!at) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(std::chrono::steady_clock::time_point(microseconds(*at)));
  timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](const boost::system::error_code& cancelled) {
    if (!cancelled && !alive.expired()) run(PrefixWatcher::TimerExpired{});
  });
}

}  // namespace ivypost::etcd
