// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/source_manager.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace ivypost::discovery {
namespace {

// A source that is to take over and whose call failed is asked again between so soon and so late: nothing
// hangs on it, as the old one still counts, and a whole fleet may have been told to change at once.
constexpr double kMinBackoff = 500'000, kMaxBackoff = 8'000'000;

}  // namespace

SourceManager::SourceManager(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks)
    : io_(io), callbacks_(std::move(callbacks)), retryTimer_(io), random_(seed) {}

Source& SourceManager::start(const Factory& make) {
  SourceHandover next = handover_;
  const SourceHandover::SourceId number = next.add();
  auto source = make({[this, number](EndpointList list) { onList(number, std::move(list)); },
                      [this, number] { onFailure(number); }});
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

void SourceManager::onList(SourceHandover::SourceId from, EndpointList list) {
  switch (handover_.onList(from, list.isComplete)) {
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

void SourceManager::onFailure(SourceHandover::SourceId from) {
  if (from == handover_.active()) return callbacks_.onFailure();
  if (from != handover_.pending()) return;
  const double uniform = static_cast<double>(random_() >> 11) * 0x1p-53;
  const auto wait = static_cast<Micros>(backoff_.next(kMinBackoff, kMaxBackoff, uniform));
  retryTimer_.expires_after(std::chrono::microseconds(wait));
  retryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && pending_) pending_->watch();
  });
}

// Not at once: it may be the one that is calling.
void SourceManager::destroyLater(std::unique_ptr<Source> source) {
  if (!source) return;
  boost::asio::post(io_, [gone = std::shared_ptr<Source>(std::move(source))] {});
}

}  // namespace ivypost::discovery
