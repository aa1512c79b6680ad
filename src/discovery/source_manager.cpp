// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/source_manager.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace ivypost::discovery {
namespace {

// A source that is to take over and whose call failed is asked again between so soon and so late: nothing
// hangs on it, as the old one still counts, and a whole fleet may have been told to change at once.
constexpr double kRetry = 500'000, kLongestRetry = 8'000'000;

}  // namespace

SourceManager::SourceManager(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks)
    : io_(io), callbacks_(std::move(callbacks)), again_(io), random_(seed) {}

Source& SourceManager::begin(const Make& make) {
  SourceHandover tried = handover_;
  const SourceHandover::Number number = tried.begin();
  auto source = make({[this, number](EndpointList list) { told(number, std::move(list)); },
                      [this, number] { failed(number); }});
  handover_ = tried;
  if (!current_) {
    current_ = std::move(source);
    return *current_;
  }
  dropNext();
  next_ = std::move(source);
  next_->watch();
  return *next_;
}

void SourceManager::abandonNext() {
  handover_.abandon();
  dropNext();
}

void SourceManager::dropNext() {
  again_.cancel();
  wait_.reset();
  drop(std::move(next_));
}

void SourceManager::platformMoved(const Endpoint& address) {
  current_->platformMoved(address);
  if (next_) next_->platformMoved(address);
}

void SourceManager::told(SourceHandover::Number from, EndpointList list) {
  switch (handover_.told(from, list.whole)) {
    case SourceHandover::Verdict::Leave:
      return;
    case SourceHandover::Verdict::TakeOver:
      drop(std::exchange(current_, std::move(next_)));
      dropNext();
      break;
    case SourceHandover::Verdict::Take:
      break;
  }
  callbacks_.told(std::move(list));
}

void SourceManager::failed(SourceHandover::Number from) {
  if (from == handover_.current()) return callbacks_.failed();
  if (from != handover_.next()) return;
  const double uniform = static_cast<double>(random_() >> 11) * 0x1p-53;
  const auto wait = static_cast<Micros>(wait_.next(kRetry, kLongestRetry, uniform));
  again_.expires_after(std::chrono::microseconds(wait));
  again_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && next_) next_->watch();
  });
}

// Not at once: it may be the one that is calling.
void SourceManager::drop(std::unique_ptr<Source> source) {
  if (!source) return;
  boost::asio::post(io_, [gone = std::shared_ptr<Source>(std::move(source))] {});
}

}  // namespace ivypost::discovery
