// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/source_manager.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace ivypost::discovery {
namespace {

// Backoff limits in microseconds for retries of a pending source. Retries are not urgent, since the active
// source stays in use, and all sidecars of a fleet may have been reconfigured at once.
constexpr double kMinBackoff = 500'000;
constexpr double kMaxBackoff = 8'000'000;

// Returns a number in [0, 1), from 53 of the 64 bits: the precision of a double.
double uniform(std::mt19937_64& random) {
  constexpr int kUnusedBits = 11;
  constexpr double kUnit = 0x1p-53;
  return static_cast<double>(random() >> kUnusedBits) * kUnit;
}

}  // namespace

SourceManager::SourceManager(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks)
    : io_(io), callbacks_(std::move(callbacks)), retryTimer_(io), random_(seed) {}

Source& SourceManager::start(const Factory& make) {
  SourceHandover next = handover_;
  const SourceId id = next.add();
  auto source =
      make({[this, id](EndpointList list) { onList(id, std::move(list)); }, [this, id] { onFailure(id); }});
  handover_ = next;
  if (!active_) {
    active_ = std::move(source);
    return *active_;
  }
  dropPending();
  pending_ = std::move(source);
  pending_->watch();
  return *pending_;
}

void SourceManager::cancelHandover() {
  handover_.cancel();
  dropPending();
}

void SourceManager::dropPending() {
  retryTimer_.cancel();
  backoff_.reset();
  destroyLater(std::move(pending_));
}

void SourceManager::setPlatformAddress(const Endpoint& address) {
  active_->setPlatformAddress(address);
  if (pending_) pending_->setPlatformAddress(address);
}

void SourceManager::onList(SourceId source, EndpointList list) {
  switch (handover_.onList(source, list.isComplete)) {
    case SourceHandover::Decision::Ignore:
      return;
    case SourceHandover::Decision::Switch:
      destroyLater(std::exchange(active_, std::move(pending_)));
      dropPending();
      break;
    case SourceHandover::Decision::Apply:
      break;
  }
  callbacks_.onList(std::move(list));
}

void SourceManager::onFailure(SourceId source) {
  if (source == handover_.active()) return callbacks_.onFailure();
  if (source == handover_.pending()) retryPending();
}

void SourceManager::retryPending() {
  const double wait = backoff_.next(kMinBackoff, kMaxBackoff, uniform(random_));
  retryTimer_.expires_after(Duration(static_cast<Duration::rep>(wait)));
  retryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && pending_) pending_->watch();
  });
}

// Destroys the source from the event loop, since this function may run inside one of its callbacks.
void SourceManager::destroyLater(std::unique_ptr<Source> source) {
  if (!source) return;
  boost::asio::post(io_, [gone = std::move(source)] {});
}

}  // namespace ivypost::discovery
